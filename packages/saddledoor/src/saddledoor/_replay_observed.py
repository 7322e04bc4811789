# SPDX-License-Identifier: MIT

"""
Replay checks of observed behaviour: labels, outcomes, planned stops.
"""

from __future__ import annotations

from ._labels import VersionRun, append_part, is_fresh, is_fully_labelled
from ._replay_check import Check, as_runs
from ._trace import (
    AnswerStreamed,
    CallEnded,
    CallRan,
    LeavingSeen,
    NodeStarted,
    RequestIn,
    RequestOut,
    SampleKept,
    SlotGranted,
    StageChanged,
    TracedEvent,
)


__all__ = [
    "labels",
    "leaving",
    "not_run",
    "planned_stop",
    "staleness",
    "whole_answer",
]

#: How long nodes may still send new work to a back end after a node has learned that
#: it is leaving, in seconds.
_LEAVING_GRACE = 5.0


def labels() -> Check:
    """
    Labels follow from the parts of the stream and match the engine's own tokens.
    """

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case AnswerStreamed(runs=label) as event if label is not None:
                runs: tuple[VersionRun, ...] = ()
                for version, tokens in event.parts:
                    runs = append_part(runs, None if version < 0 else version, tokens)
                if as_runs(label) != runs:
                    return f"label of {event.attempt_id} does not match its parts"
            case SampleKept() as event:
                versions = [v for v, a, b in event.runs for _ in range(a, b + 1)]
                if versions != list(event.made):
                    return f"slot {event.slot} has label {event.runs}, which is wrong"
        return None

    return Check(on_event)


def not_run() -> Check:
    """
    A request that was refused as not run is run by no service, before or after.
    """
    ran: set[str] = set()
    refused: set[str] = set()

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case CallRan(request_id=attempt):
                ran.add(attempt.rpartition(".")[0])
            case CallEnded(request_id=request, code=code) if 200 <= code < 300:
                refused.add(request)
        for request in ran & refused:
            return f"request {request} ran and was refused as not run"
        return None

    return Check(on_event)


def staleness() -> Check:
    """
    The oldest run of each kept sample is within the staleness bound.
    """

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case SampleKept() as event:
                oldest = min(event.made, default=event.version)
                fresh = is_fresh(as_runs(event.runs), event.version, event.bound)
                if not fresh or oldest < event.version - event.bound:
                    return f"slot {event.slot}: version {oldest} at {event.version}"
        return None

    return Check(on_event)


def whole_answer() -> Check:
    """
    An answer that is passed on as complete has the requested length.
    """

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case AnswerStreamed(runs=runs) as event if runs is not None:
                tokens = sum(count for _, count in event.parts)
                if tokens != event.asked:
                    return f"{event.attempt_id}: {tokens} tokens of {event.asked}"
            case SampleKept() as event:
                whole = is_fully_labelled(as_runs(event.runs), event.asked)
                if len(event.made) != event.asked or not whole:
                    return f"slot {event.slot}: {len(event.made)} of {event.asked}"
        return None

    return Check(on_event)


def leaving() -> Check:
    """
    A node sends no new work to a back end that it knows to be leaving, and no node
    does so after a short time.
    """
    marked_at: dict[tuple[str, str], float] = {}
    first_marked_at: dict[str, float] = {}

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case LeavingSeen(backend=backend):
                marked_at.setdefault((traced.node, backend), traced.at)
                first_marked_at.setdefault(backend, traced.at)
            case SlotGranted(backend=backend):
                if (traced.node, backend) in marked_at:
                    return f"sent new work to {backend}, known to be leaving"
                delay = traced.at - first_marked_at.get(backend, traced.at)
                if delay > _LEAVING_GRACE:
                    return f"sent new work to {backend} {delay:.1f} s after the mark"
        return None

    return Check(on_event)


def planned_stop() -> Check:
    """
    A node that stops as planned has completed every request.
    """
    in_flight: dict[str, set[int]] = {}
    draining: set[str] = set()

    def on_event(traced: TracedEvent) -> str | None:
        node = traced.node
        match traced.event:
            case NodeStarted():
                in_flight[node] = set()
            case RequestIn(number=number):
                in_flight.setdefault(node, set()).add(number)
            case RequestOut(number=number):
                in_flight.setdefault(node, set()).discard(number)
            case StageChanged(stage="draining"):
                draining.add(node)
            case StageChanged(stage="stopped"):
                unanswered = in_flight.get(node, set())
                if node in draining and unanswered:
                    return f"stopped with {len(unanswered)} requests in flight"
        return None

    return Check(on_event)
