# SPDX-License-Identifier: MIT

"""
Replays a recorded trace against the library and checks the expected promises.

A check receives each event in order and reports a violation. For an event that records
a decision of a node, the check repeats the decision from the recorded inputs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ._replay_check import Check
from ._replay_decided import at_most_once, configuration, exactly_once
from ._replay_observed import (
    labels,
    leaving,
    not_run,
    planned_stop,
    staleness,
    whole_answer,
)
from ._trace import TracedEvent


__all__ = ["CHECKS", "Violation", "ExpectedOutcomes", "replay"]


@dataclass(frozen=True)
class Violation:
    """
    The first violation of a promise in a trace.

    :param promise: Name of the check that failed, or ``counts``.
    :param index: Number of the event in the trace, from 1; one more than the last for
        a violation found at the end.
    """

    promise: str
    index: int
    reason: str


@dataclass(frozen=True)
class ExpectedOutcomes:
    """
    Expected outcomes of a trace.

    :param promises: Names of the checks that must pass.
    :param counts: Number of events by kind.
    """

    promises: tuple[str, ...]
    counts: dict[str, int]


def replay(
    events: Iterable[TracedEvent], outcomes: ExpectedOutcomes
) -> Violation | None:
    """
    Check a trace against its expected outcomes.

    :returns: The first violation, or None.
    """
    checks = {name: CHECKS[name]() for name in outcomes.promises}
    counts: Counter[str] = Counter()
    index = 0
    for index, traced in enumerate(events, 1):
        counts[traced.event.kind] += 1
        for name, check in checks.items():
            reason = check.on_event(traced)
            if reason is not None:
                return Violation(name, index, f"{traced.node}: {reason}")
    for name, check in checks.items():
        reason = check.at_end()
        if reason is not None:
            return Violation(name, index + 1, reason)
    for kind, count in outcomes.counts.items():
        if counts[kind] != count:
            reason = f"{counts[kind]} events of kind {kind}, expected {count}"
            return Violation("counts", index + 1, reason)
    return None


#: Checks by promise.
CHECKS: dict[str, Callable[[], Check]] = {
    "labels": labels,
    "at_most_once": at_most_once,
    "not_run": not_run,
    "exactly_once": exactly_once,
    "staleness": staleness,
    "configuration": configuration,
    "whole_answer": whole_answer,
    "leaving": leaving,
    "planned_stop": planned_stop,
}
