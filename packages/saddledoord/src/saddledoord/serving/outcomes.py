# SPDX-License-Identifier: MIT

"""
What an attempt's outcome says of the request and of the engine.
"""

from __future__ import annotations

from saddledoor import (
    AttemptEnd,
    EngineEntry,
    GatewayRoute,
    NotRun,
    OutcomeUnknown,
    RouteKind,
)

from ..ports import EngineAnswer, UnusableAnswer
from .engine_ends import RunAtEngine


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


def note_end(run: RunAtEngine, engine: EngineEntry, outcome: Outcome) -> None:
    """
    Tell the watch over engines that end what became of a request there.
    """
    match outcome:
        case EngineAnswer():
            run.survived()
        case NotRun():
            run.not_run()
        case UnusableAnswer():
            # It answered, so it need not be asked whether it has ended.
            pass
        case OutcomeUnknown():
            run.broke_off(engine)


def end_of(outcome: Outcome) -> AttemptEnd:
    """
    Return how an attempt ended that had an outcome which is not final.
    """
    match outcome:
        case EngineAnswer():
            return AttemptEnd.FAILED
        case NotRun():
            return AttemptEnd.NOT_RUN
        case UnusableAnswer():
            return AttemptEnd.UNUSABLE
        case OutcomeUnknown():
            return AttemptEnd.BROKEN


def describe(outcome: Outcome) -> str:
    """
    Return an outcome in words, for logs.
    """
    if isinstance(outcome, EngineAnswer):
        return f"status {outcome.status}"
    return f"{outcome.code.name.lower()}: {outcome.detail}"
