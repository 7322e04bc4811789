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

from ._claims import ClaimFold
from ._config_fold import Accepted, ConfigFold, InForce
from ._delivery import FetchRequest, Resync, Sample, SampleSpec, Slot, StepBook
from ._labels import VersionRun, append_part, is_fresh, is_wholly_labelled
from ._records import Record, decode_record
from ._trace import (
    ClaimDecided,
    Ended,
    Fetched,
    Folded,
    Granted,
    HandedOver,
    HeardConfig,
    Kept,
    NodeBegan,
    PutInForce,
    Ran,
    RequestIn,
    RequestOut,
    SampleAdded,
    SawLeaving,
    StageChanged,
    StaleDropped,
    StepOpened,
    Streamed,
    Traced,
)
from .exceptions import UndecodableRecordError


__all__ = ["CHECKS", "Broken", "Outcomes", "replay"]

#: Seconds after which a leaving back end must get no new work from anyone.
LEAVING_LIMIT = 5.0

_ABSENT = -1
_REMEMBER = 1e9


@dataclass(frozen=True)
class Broken:
    """
    The first event that breaks a promise.

    :param index: Its place in the trace, from 1; one behind the last for what is
        missing at the end.
    """

    promise: str
    index: int
    reason: str


@dataclass(frozen=True)
class Outcomes:
    """
    What is stated of a trace.

    :param promises: Names of the checks that must hold.
    :param counts: How many events of a kind there are.
    """

    promises: tuple[str, ...]
    counts: dict[str, int]


@dataclass(frozen=True)
class Check:
    """
    One promise.

    :param on_event: Returns what the event breaks, or none.
    :param at_end: Returns what is missing at the end, or none.
    """

    on_event: Callable[[Traced], str | None]
    at_end: Callable[[], str | None] = lambda: None


def replay(events: Iterable[Traced], outcomes: Outcomes) -> Broken | None:
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
                return Broken(name, index, f"{traced.node}: {reason}")
    for name, check in checks.items():
        reason = check.at_end()
        if reason is not None:
            return Broken(name, index + 1, reason)
    for kind, count in outcomes.counts.items():
        if counts[kind] != count:
            reason = f"{counts[kind]} events of kind {kind}, stated {count}"
            return Broken("counts", index + 1, reason)
    return None


def _labels() -> Check:
    """
    Labels follow from the parts, and are what the engine wrote into the tokens.
    """

    def on_event(traced: Traced) -> str | None:
        match traced.event:
            case Streamed(runs=told) as event if told is not None:
                runs: tuple[VersionRun, ...] = ()
                for version, tokens in event.parts:
                    runs = append_part(runs, None if version < 0 else version, tokens)
                if _as_runs(told) != runs:
                    return f"label of {event.attempt_id} does not follow from its parts"
            case Kept() as event:
                told = [v for v, a, b in event.runs for _ in range(a, b + 1)]
                if told != list(event.made):
                    return f"slot {event.slot} is labelled {event.runs}, untruly"
        return None

    return Check(on_event)


def _at_most_once() -> Check:
    """
    Verdicts follow from the log, and a key's calls ran at most once.
    """
    folds: dict[tuple[str, str], ClaimFold] = {}
    once_of: dict[str, str] = {}
    runs: Counter[str] = Counter()

    def on_event(traced: Traced) -> str | None:
        match traced.event:
            case NodeBegan():
                for key in [k for k in folds if k[0] == traced.node]:
                    del folds[key]
            case Folded(stream=stream) as event if stream.startswith("claims-"):
                key = (traced.node, stream)
                fold = folds.setdefault(key, ClaimFold(_REMEMBER, event.first))
                fold.apply(event.offset, event.at, _record(event.data))
            case ClaimDecided() as event:
                fold = folds.get((traced.node, event.stream))
                owner = fold.owner(event.key) if fold else None
                if owner is None or owner.claim_id != event.owner:
                    return f"key {event.key} does not belong to claim {event.owner}"
            case HandedOver() as event:
                once_of[event.request_id] = event.once
            case Ran() as event:
                once = once_of.get(event.request_id, "")
                runs[once] += bool(once)
                if runs[once] > 1:
                    return f"{once} ran {runs[once]} times"
        return None

    return Check(on_event)


def _not_run() -> Check:
    """
    Whatever was told as "not run" was run by no service, before or after.
    """
    ran: set[str] = set()
    told: set[str] = set()

    def on_event(traced: Traced) -> str | None:
        match traced.event:
            case Ran(request_id=attempt):
                ran.add(attempt.rpartition(".")[0])
            case Ended(request_id=request, code=code) if 200 <= code < 300:
                told.add(request)
        for request in ran & told:
            return f"request {request} ran and was told as not run"
        return None

    return Check(on_event)


def _exactly_once() -> Check:
    """
    Collectors answer as the library would; the trainer holds each slot once.
    """
    books: dict[tuple[str, str, int], StepBook] = {}
    kept: set[tuple] = set()
    asked: set[tuple] = set()

    def on_event(traced: Traced) -> str | None:
        event = traced.event
        match event:
            case NodeBegan():
                for key in [k for k in books if k[0] == traced.node]:
                    del books[key]
            case StepOpened():
                key = (traced.node, event.trainer, event.step)
                books[key] = _open(event, books.get(key) if event.reopened else None)
                asked.update((event.trainer, event.step, s) for s in event.slots)
            case SampleAdded():
                book = books.get((traced.node, event.trainer, event.step))
                if book is not None:
                    runs = _as_runs(event.runs)
                    book.add(Sample(Slot(*event.slot), "", event.tokens, runs))
            case StaleDropped():
                book = books.get((traced.node, event.trainer, event.step))
                if book is not None:
                    book.drop_stale(event.version)
            case Fetched():
                book = books.get((traced.node, event.trainer, event.step))
                return _compare_fetch(event, book)
            case Kept():
                slot = (event.trainer, event.step, event.slot)
                if slot in kept:
                    return f"slot {event.slot} came a second time"
                kept.add(slot)
        return None

    def at_end() -> str | None:
        missing = asked - kept
        return f"{len(missing)} slots never came" if missing else None

    return Check(on_event, at_end)


def _open(event: StepOpened, before: StepBook | None) -> StepBook:
    specs = [SampleSpec(Slot(*slot), "", 0) for slot in event.slots]
    received = [Slot(*slot) for slot in event.received]
    return StepBook.open(event.fence, event.bound, specs, received, before=before)


def _compare_fetch(event: Fetched, book: StepBook | None) -> str | None:
    if book is None:
        return "a fetch was answered without a book"
    request = FetchRequest(event.fence, event.cursor, event.version, event.limit)
    answer = book.fetch(request)
    if isinstance(answer, Resync):
        return None if event.number == _ABSENT else "answered where a resync was due"
    slots = tuple((s.slot.group, s.slot.index) for s in answer.samples)
    if (answer.number, slots) != (event.number, event.slots):
        return f"answer {event.number} with {event.slots}, not as the library decides"
    return None


def _staleness() -> Check:
    """
    Every sample kept is within the bound, by its oldest run.
    """

    def on_event(traced: Traced) -> str | None:
        match traced.event:
            case Kept() as event:
                oldest = min(event.made, default=event.version)
                fresh = is_fresh(_as_runs(event.runs), event.version, event.bound)
                if not fresh or oldest < event.version - event.bound:
                    return f"slot {event.slot}: version {oldest} at {event.version}"
        return None

    return Check(on_event)


def _configuration() -> Check:
    """
    What is in force follows from the log or a peer, and never goes back.
    """
    folds: dict[str, ConfigFold] = {}
    in_force: dict[str, InForce] = {}
    shown: dict[str, int] = {}
    accepted_somewhere: set[int] = set()

    def on_event(traced: Traced) -> str | None:
        node, event = traced.node, traced.event
        match event:
            case NodeBegan():
                folds.pop(node, None)
                in_force[node] = InForce()
                shown[node] = _ABSENT
            case Folded(stream="config"):
                fold = folds.get(node) or ConfigFold.starting_at(event.first)
                record = _record(event.data)
                folds[node] = fold.apply(event.offset, record) if record else fold
                accepted = folds[node].accepted
                if accepted is not None:
                    accepted_somewhere.add(accepted.offset)
                    in_force[node] = in_force[node].offer(accepted)
            case HeardConfig():
                in_force[node] = in_force[node].offer(Accepted(event.offset, ""))
            case PutInForce():
                if event.offset <= shown[node]:
                    return f"went from {shown[node]} to {event.offset}"
                if in_force[node].offset != event.offset:
                    decided = in_force[node].offset
                    return f"put {event.offset} in force, the library {decided}"
                shown[node] = event.offset
        return None

    def at_end() -> str | None:
        wrong = {o for o in shown.values() if o >= 0} - accepted_somewhere
        if wrong:
            return f"in force but accepted nowhere: {sorted(wrong)}"
        if len(set(shown.values())) > 1:
            return f"nodes end with different configurations: {shown}"
        return None

    return Check(on_event, at_end)


def _whole_answer() -> Check:
    """
    What is passed as whole has the length asked for.
    """

    def on_event(traced: Traced) -> str | None:
        match traced.event:
            case Streamed(runs=runs) as event if runs is not None:
                tokens = sum(count for _, count in event.parts)
                if tokens != event.asked:
                    return f"{event.attempt_id}: {tokens} tokens of {event.asked}"
            case Kept() as event:
                whole = is_wholly_labelled(_as_runs(event.runs), event.asked)
                if len(event.made) != event.asked or not whole:
                    return f"slot {event.slot}: {len(event.made)} of {event.asked}"
        return None

    return Check(on_event)


def _leaving() -> Check:
    """
    A node gives no new work to what it knows to leave, and nobody does for long.
    """
    known: dict[tuple[str, str], float] = {}
    first: dict[str, float] = {}

    def on_event(traced: Traced) -> str | None:
        match traced.event:
            case SawLeaving(backend=backend):
                known.setdefault((traced.node, backend), traced.at)
                first.setdefault(backend, traced.at)
            case Granted(backend=backend):
                if (traced.node, backend) in known:
                    return f"gave new work to {backend}, which it knew to leave"
                late = traced.at - first.get(backend, traced.at)
                if late > LEAVING_LIMIT:
                    return f"gave new work to {backend} {late:.1f} s after the mark"
        return None

    return Check(on_event)


def _planned_stop() -> Check:
    """
    A node that stops as planned has given every request its last byte.
    """
    open_requests: dict[str, set[int]] = {}
    told: set[str] = set()

    def on_event(traced: Traced) -> str | None:
        node = traced.node
        match traced.event:
            case NodeBegan():
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


#: Checks by promise, in the order in which the promises were taken.
CHECKS: dict[str, Callable[[], Check]] = {
    "labels": _labels,
    "at_most_once": _at_most_once,
    "not_run": _not_run,
    "exactly_once": _exactly_once,
    "staleness": _staleness,
    "configuration": _configuration,
    "whole_answer": _whole_answer,
    "leaving": _leaving,
    "planned_stop": _planned_stop,
}


def _as_runs(runs: Iterable[tuple[int, int, int]]) -> tuple[VersionRun, ...]:
    return tuple(VersionRun(*run) for run in runs)


def _record(data: str) -> Record | None:
    try:
        return decode_record(data)
    except UndecodableRecordError:
        return None
