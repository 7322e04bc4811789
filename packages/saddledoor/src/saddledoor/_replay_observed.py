# SPDX-License-Identifier: MIT

"""
Checks of a replay that look at what was observed: labels, outcomes, stops.
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

#: Seconds after which a leaving back end must get no new work from anyone.
LEAVING_LIMIT = 5.0


def labels() -> Check:
    """
    Labels follow from the parts, and are what the engine wrote into the tokens.
    """

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case AnswerStreamed(runs=told) as event if told is not None:
                runs: tuple[VersionRun, ...] = ()
                for version, tokens in event.parts:
                    runs = append_part(runs, None if version < 0 else version, tokens)
                if as_runs(told) != runs:
                    return f"label of {event.attempt_id} does not follow from its parts"
            case SampleKept() as event:
                told = [v for v, a, b in event.runs for _ in range(a, b + 1)]
                if told != list(event.made):
                    return f"slot {event.slot} is labelled {event.runs}, untruly"
        return None

    return Check(on_event)


def not_run() -> Check:
    """
    Whatever was told as "not run" was run by no service, before or after.
    """
    ran: set[str] = set()
    told: set[str] = set()

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case CallRan(request_id=attempt):
                ran.add(attempt.rpartition(".")[0])
            case CallEnded(request_id=request, code=code) if 200 <= code < 300:
                told.add(request)
        for request in ran & told:
            return f"request {request} ran and was told as not run"
        return None

    return Check(on_event)


def staleness() -> Check:
    """
    Every sample kept is within the bound, by its oldest run.
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
    What is passed as whole has the length asked for.
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
    A node gives no new work to what it knows to leave, and nobody does for long.
    """
    known: dict[tuple[str, str], float] = {}
    first: dict[str, float] = {}

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case LeavingSeen(backend=backend):
                known.setdefault((traced.node, backend), traced.at)
                first.setdefault(backend, traced.at)
            case SlotGranted(backend=backend):
                if (traced.node, backend) in known:
                    return f"gave new work to {backend}, which it knew to leave"
                late = traced.at - first.get(backend, traced.at)
                if late > LEAVING_LIMIT:
                    return f"gave new work to {backend} {late:.1f} s after the mark"
        return None

    return Check(on_event)


def planned_stop() -> Check:
    """
    A node that stops as planned has given every request its last byte.
    """
    open_requests: dict[str, set[int]] = {}
    told: set[str] = set()

    def on_event(traced: TracedEvent) -> str | None:
        node = traced.node
        match traced.event:
            case NodeStarted():
                open_requests[node] = set()
            case RequestIn(number=number):
                open_requests.setdefault(node, set()).add(number)
            case RequestOut(number=number):
                open_requests.setdefault(node, set()).discard(number)
            case StageChanged(stage="draining"):
                told.add(node)
            case StageChanged(stage="stopped"):
                left = open_requests.get(node, set())
                if node in told and left:
                    return f"stopped with {len(left)} requests in flight"
        return None

    return Check(on_event)
