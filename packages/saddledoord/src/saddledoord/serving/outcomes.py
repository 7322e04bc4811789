# SPDX-License-Identifier: MIT

"""
What an attempt's outcome says of the request and of the engine.
"""

from __future__ import annotations

from saddledoor import (
    AttemptOutcome,
    EngineEntry,
    GatewayRoute,
    NotRun,
    OutcomeUnknown,
    RouteKind,
)

from ..ports import EngineAnswer, UnusableAnswer
from .engine_crash_watch import EngineRun


__all__ = ["Outcome", "describe", "end_of", "is_final", "note_end"]

Outcome = EngineAnswer | NotRun | OutcomeUnknown


def is_final(route: GatewayRoute, outcome: Outcome) -> bool:
    """
    Whether the caller gets this, and no other engine the request.
    """
    match outcome:
        case EngineAnswer(status=status):
            return status < 500 or route.kind is not RouteKind.SAFE
        case NotRun():
            return False
        case OutcomeUnknown():
            return route.kind is not RouteKind.SAFE


def note_end(run: EngineRun, engine: EngineEntry, outcome: Outcome) -> None:
    """
    Tell the watch over engines that end what became of a request there.
    """
    match outcome:
        case EngineAnswer():
            run.record_completed()
        case NotRun():
            run.record_not_started()
        case UnusableAnswer():
            # It answered, so it need not be asked whether it has ended.
            pass
        case OutcomeUnknown():
            run.record_interrupted(engine)


def end_of(outcome: Outcome) -> AttemptOutcome:
    """
    Return how an attempt ended that had an outcome which is not final.
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
    Return an outcome in words, for logs.
    """
    if isinstance(outcome, EngineAnswer):
        return f"status {outcome.status}"
    return f"{outcome.code.name.lower()}: {outcome.detail}"
