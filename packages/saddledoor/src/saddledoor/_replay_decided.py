# SPDX-License-Identifier: MIT

"""
Replay checks that repeat the nodes' decisions from the inputs that they recorded.
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

#: Batch number of a resync, and offset of a node without a configuration.
_MISSING = -1
#: Retention of keys, in seconds; longer than any trace.
_RETENTION = 1e9


def at_most_once() -> Check:
    """
    Claims are decided as the log says, and a key's calls ran at most once.
    """
    folds: dict[tuple[str, str], ClaimFold] = {}
    unrepeatable_keys: dict[str, str] = {}
    runs: Counter[str] = Counter()

    def on_event(traced: TracedEvent) -> str | None:
        match traced.event:
            case NodeStarted():
                for key in [k for k in folds if k[0] == traced.node]:
                    del folds[key]
            case RecordFolded(stream=stream) as event if stream.startswith("claims-"):
                key = (traced.node, stream)
                fold = folds.setdefault(key, ClaimFold(_RETENTION, event.first))
                fold.apply(event.offset, event.at, as_record(event.data))
            case ClaimDecided() as event:
                fold = folds.get((traced.node, event.stream))
                owner = fold.owner(event.key) if fold else None
                if owner is None or owner.claim_id != event.owner:
                    return f"key {event.key} is not owned by claim {event.owner}"
            case HandedOver() as event:
                unrepeatable_keys[event.request_id] = event.once
            case CallRan() as event:
                unrepeatable_key = unrepeatable_keys.get(event.request_id, "")
                runs[unrepeatable_key] += bool(unrepeatable_key)
                if runs[unrepeatable_key] > 1:
                    return f"{unrepeatable_key} ran {runs[unrepeatable_key]} times"
        return None

    return Check(on_event)


def exactly_once() -> Check:
    """
    Collectors answer as the library decides; a trainer receives each slot once.
    """
    deliveries: dict[tuple[str, str, int], StepDelivery] = {}
    received_slots: set[tuple] = set()
    requested_slots: set[tuple] = set()

    def on_event(traced: TracedEvent) -> str | None:
        event = traced.event
        match event:
            case NodeStarted():
                for key in [k for k in deliveries if k[0] == traced.node]:
                    del deliveries[key]
            case StepOpened():
                key = (traced.node, event.trainer, event.step)
                deliveries[key] = _open_delivery(
                    event, deliveries.get(key) if event.reopened else None
                )
                requested_slots.update(
                    (event.trainer, event.step, s) for s in event.slots
                )
            case SampleAdded():
                delivery = deliveries.get((traced.node, event.trainer, event.step))
                if delivery is not None:
                    runs = as_runs(event.runs)
                    delivery.add(Sample(Slot(*event.slot), "", event.tokens, runs))
            case StaleDropped():
                delivery = deliveries.get((traced.node, event.trainer, event.step))
                if delivery is not None:
                    delivery.drop_stale(event.version)
            case FetchAnswered():
                delivery = deliveries.get((traced.node, event.trainer, event.step))
                return _check_fetch(event, delivery)
            case SampleKept():
                slot = (event.trainer, event.step, event.slot)
                if slot in received_slots:
                    return f"slot {event.slot} was delivered twice"
                received_slots.add(slot)
        return None

    def at_end() -> str | None:
        missing = requested_slots - received_slots
        return f"{len(missing)} slots were not delivered" if missing else None

    return Check(on_event, at_end)


def _open_delivery(event: StepOpened, before: StepDelivery | None) -> StepDelivery:
    specs = [SampleSpec(Slot(*slot), "", 0) for slot in event.slots]
    received = [Slot(*slot) for slot in event.received]
    return StepDelivery.open(event.fence, event.bound, specs, received, before=before)


def _check_fetch(event: FetchAnswered, delivery: StepDelivery | None) -> str | None:
    if delivery is None:
        return "a fetch was answered for a step that is not open"
    request = FetchRequest(event.fence, event.cursor, event.version, event.limit)
    answer = delivery.fetch(request)
    if isinstance(answer, Resync):
        return (
            None if event.number == _MISSING else "answered where a resync was required"
        )
    slots = tuple((s.slot.group, s.slot.index) for s in answer.samples)
    if (answer.number, slots) != (event.number, event.slots):
        return f"batch {event.number} with {event.slots} differs from the library's"
    return None


def configuration() -> Check:
    """
    The active configuration follows from the log or a peer, and never reverts.
    """
    folds: dict[str, ConfigFold] = {}
    active_configs: dict[str, ActiveConfig] = {}
    activated: dict[str, int] = {}
    accepted_offsets: set[int] = set()

    def on_event(traced: TracedEvent) -> str | None:
        node, event = traced.node, traced.event
        match event:
            case NodeStarted():
                folds.pop(node, None)
                active_configs[node] = ActiveConfig()
                activated[node] = _MISSING
            case RecordFolded(stream="config"):
                fold = folds.get(node) or ConfigFold.starting_at(event.first)
                record = as_record(event.data)
                folds[node] = fold.apply(event.offset, record) if record else fold
                accepted = folds[node].accepted
                if accepted is not None:
                    accepted_offsets.add(accepted.offset)
                    active_configs[node] = active_configs[node].offer(accepted)
            case ConfigReceived():
                active_configs[node] = active_configs[node].offer(
                    AcceptedConfig(event.offset, "")
                )
            case ConfigActivated():
                if event.offset <= activated[node]:
                    return f"reverted from {activated[node]} to {event.offset}"
                if active_configs[node].offset != event.offset:
                    expected = active_configs[node].offset
                    return f"activated {event.offset}, expected {expected}"
                activated[node] = event.offset
        return None

    def at_end() -> str | None:
        never_accepted = {o for o in activated.values() if o >= 0} - accepted_offsets
        if never_accepted:
            return f"activated but never accepted: {sorted(never_accepted)}"
        if len(set(activated.values())) > 1:
            return f"nodes ended with different configurations: {activated}"
        return None

    return Check(on_event, at_end)
