# SPDX-License-Identifier: MIT

"""
Replay: feeds a recorded trace to the library's decisions and checks its promises.

A check looks at each event in turn and says what it breaks. Where an event is a
node's decision, the check makes the same decision from the recorded inputs.
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
    The first event that breaks a promise.

    :param index: Its place in the trace, from 1; one behind the last for what is
        missing at the end.
    """

    promise: str
    index: int
    reason: str


@dataclass(frozen=True)
class ExpectedOutcomes:
    """
    What is stated of a trace.

    :param promises: Names of the checks that must hold.
    :param counts: How many events of a kind there are.
    """

    promises: tuple[str, ...]
    counts: dict[str, int]


def replay(
    events: Iterable[TracedEvent], outcomes: ExpectedOutcomes
) -> Violation | None:
    """
    Check a trace against its stated outcomes.

    :returns: The first break, or none.
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
            reason = f"{counts[kind]} events of kind {kind}, stated {count}"
            return Violation("counts", index + 1, reason)
    return None


#: Checks by promise, in the order in which the promises were taken.
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
