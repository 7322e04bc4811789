# SPDX-License-Identifier: MIT

"""
Classifies the outcome of an attempt for the request and for the engine.
"""

from __future__ import annotations

from saddledoor import (
    AttemptOutcome,
    EngineEntry,
    GatewayRoute,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    RouteKind,
)

from ..ports import EngineAnswer, UnusableAnswer
from .engine_crash_watch import EngineRun


__all__ = [
    "Outcome",
    "attempt_end",
    "describe",
    "is_final",
    "record_run",
    "refuse_without_region",
]

Outcome = EngineAnswer | NotRun | OutcomeUnknown

#: Retry delay told to a caller whose request no region may serve, in seconds; only a
#: change of the configuration can help.
_NO_REGION_RETRY_AFTER = 5.0


def refuse_without_region() -> NotRun:
    """
    Return the refusal of a request whose route and workspace have no region in common.
    """
    reason = "no region is allowed by both the route and the workspace"
    return NotRun(ResultCode.NO_BACKEND, reason, _NO_REGION_RETRY_AFTER)


def is_final(route: GatewayRoute, outcome: Outcome) -> bool:
    """
    Whether the outcome is returned to the caller rather than retried at another engine.
    """
    match outcome:
        case EngineAnswer(status=status):
            return status < 500 or route.kind is not RouteKind.SAFE
        case NotRun():
            return False
        case OutcomeUnknown():
            return route.kind is not RouteKind.SAFE


def record_run(run: EngineRun, engine: EngineEntry, outcome: Outcome) -> None:
    """
    Record how a tracked request ended.
    """
    match outcome:
        case EngineAnswer():
            run.record_completed()
        case NotRun():
            run.record_not_started()
        case UnusableAnswer():
            # The engine answered, so it need not be checked for a crash.
            pass
        case OutcomeUnknown():
            run.record_interrupted(engine)


def attempt_end(outcome: Outcome) -> AttemptOutcome:
    """
    Return the kind of an outcome, for the choice of the next engine.
    """
    match outcome:
        case EngineAnswer():
            return AttemptOutcome.FAILED
        case NotRun():
            return AttemptOutcome.NOT_RUN
        case UnusableAnswer():
            return AttemptOutcome.UNUSABLE
        case OutcomeUnknown():
            return AttemptOutcome.BROKEN


def describe(outcome: Outcome) -> str:
    """
    Return a description of an outcome for the log.
    """
    if isinstance(outcome, EngineAnswer):
        return f"status {outcome.status}"
    return f"{outcome.code.name.lower()}: {outcome.detail}"
