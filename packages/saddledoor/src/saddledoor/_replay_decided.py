# SPDX-License-Identifier: MIT

"""
Checks of a replay that make the nodes' decisions again from what they read.
"""

from __future__ import annotations

from collections import Counter

from ._claims import ClaimFold
from ._config_fold import AcceptedConfig, ActiveConfig, ConfigFold
from ._delivery import FetchRequest, Resync, Sample, SampleSpec, Slot, StepDelivery
from ._replay_check import Check, as_record, as_runs
from ._trace import (
    CallRan,
    ClaimDecided,
    ConfigActivated,
    ConfigReceived,
    FetchAnswered,
    HandedOver,
    NodeStarted,
    RecordFolded,
    SampleAdded,
    SampleKept,
    StaleDropped,
    StepOpened,
    TracedEvent,
)


__all__ = ["at_most_once", "configuration", "exactly_once"]

_ABSENT = -1
_REMEMBER = 1e9


def at_most_once() -> Check:
    """
    Verdicts follow from the log, and a key's calls ran at most once.
    """
    folds: dict[tuple[str, str], ClaimFold] = {}
    once_of: dict[str, str] = {}
    runs: Counter[str] = Counter()

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case NodeStarted():
                for key in [k for k in folds if k[0] == traced.node]:
                    del folds[key]
            case RecordFolded(stream=stream) as event if stream.startswith("claims-"):
                key = (traced.node, stream)
                fold = folds.setdefault(key, ClaimFold(_REMEMBER, event.first))
                fold.apply(event.offset, event.at, as_record(event.data))
            case ClaimDecided() as event:
                fold = folds.get((traced.node, event.stream))
                owner = fold.owner(event.key) if fold else None
                if owner is None or owner.claim_id != event.owner:
                    return f"key {event.key} does not belong to claim {event.owner}"
            case HandedOver() as event:
                once_of[event.request_id] = event.once
            case CallRan() as event:
                once = once_of.get(event.request_id, "")
                runs[once] += bool(once)
                if runs[once] > 1:
                    return f"{once} ran {runs[once]} times"
        return None

    return Check(on_event)


def exactly_once() -> Check:
    """
    Collectors answer as the library would; the trainer holds each slot once.
    """
    books: dict[tuple[str, str, int], StepDelivery] = {}
    kept: set[tuple] = set()
    asked: set[tuple] = set()

    def on_event(traced: TracedEvent) -> str | None:
        event = traced.event
        match event:
            case NodeStarted():
                for key in [k for k in books if k[0] == traced.node]:
                    del books[key]
            case StepOpened():
                key = (traced.node, event.trainer, event.step)
                books[key] = _open(event, books.get(key) if event.reopened else None)
                asked.update((event.trainer, event.step, s) for s in event.slots)
            case SampleAdded():
                book = books.get((traced.node, event.trainer, event.step))
                if book is not None:
                    runs = as_runs(event.runs)
                    book.add(Sample(Slot(*event.slot), "", event.tokens, runs))
            case StaleDropped():
                book = books.get((traced.node, event.trainer, event.step))
                if book is not None:
                    book.drop_stale(event.version)
            case FetchAnswered():
                book = books.get((traced.node, event.trainer, event.step))
                return _compare_fetch(event, book)
            case SampleKept():
                slot = (event.trainer, event.step, event.slot)
                if slot in kept:
                    return f"slot {event.slot} came a second time"
                kept.add(slot)
        return None

    def at_end() -> str | None:
        missing = asked - kept
        return f"{len(missing)} slots never came" if missing else None

    return Check(on_event, at_end)


def _open(event: StepOpened, before: StepDelivery | None) -> StepDelivery:
    specs = [SampleSpec(Slot(*slot), "", 0) for slot in event.slots]
    received = [Slot(*slot) for slot in event.received]
    return StepDelivery.open(event.fence, event.bound, specs, received, before=before)


def _compare_fetch(event: FetchAnswered, book: StepDelivery | None) -> str | None:
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


def configuration() -> Check:
    """
    What is in force follows from the log or a peer, and never goes back.
    """
    folds: dict[str, ConfigFold] = {}
    in_force: dict[str, ActiveConfig] = {}
    shown: dict[str, int] = {}
    accepted_somewhere: set[int] = set()

    def on_event(traced: TracedEvent) -> str | None:
        node, event = traced.node, traced.event
        match event:
            case NodeStarted():
                folds.pop(node, None)
                in_force[node] = ActiveConfig()
                shown[node] = _ABSENT
            case RecordFolded(stream="config"):
                fold = folds.get(node) or ConfigFold.starting_at(event.first)
                record = as_record(event.data)
                folds[node] = fold.apply(event.offset, record) if record else fold
                accepted = folds[node].accepted
                if accepted is not None:
                    accepted_somewhere.add(accepted.offset)
                    in_force[node] = in_force[node].offer(accepted)
            case ConfigReceived():
                in_force[node] = in_force[node].offer(AcceptedConfig(event.offset, ""))
            case ConfigActivated():
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
