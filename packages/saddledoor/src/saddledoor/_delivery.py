# SPDX-License-Identifier: MIT

"""
Exactly-once delivery of a step's samples to a trainer that fetches with a cursor.

The trainer's own set of received slots is authoritative. The collector numbers its
batches; the cursor of the next fetch is the number of the last batch that the trainer
kept. A cursor that does not match (a new collector, a revoked batch, a trainer restored
from a checkpoint) leads to a resync: the trainer submits the step again with the slots
that it holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ._labels import VersionRun, is_fresh, is_fully_labelled


__all__ = [
    "Batch",
    "FetchRequest",
    "Resync",
    "Sample",
    "SampleSpec",
    "Slot",
    "StepDelivery",
]


@dataclass(frozen=True, order=True)
class Slot:
    """
    Position of a sample in a step.
    """

    group: int
    index: int


@dataclass(frozen=True)
class SampleSpec:
    """
    A sample that a trainer requests for a slot.

    :param max_tokens: Length of the answer, in tokens.
    """

    slot: Slot
    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class Sample:
    """
    A complete, labelled answer for a slot.

    :param tokens: Length of the text, in tokens.
    :param runs: Weight versions of the tokens.
    """

    slot: Slot
    text: str
    tokens: int
    runs: tuple[VersionRun, ...]
    finish_reason: str = "length"


@dataclass(frozen=True)
class FetchRequest:
    """
    A trainer's request for samples.

    :param fence: Fencing number of the collector that answered the last submit.
    :param cursor: Number of the last batch that the trainer kept, or the cursor that
        the submit returned.
    :param version: Current weight version of the trainer.
    :param limit: Maximum number of samples in the batch.
    """

    fence: int
    cursor: int
    version: int
    limit: int


@dataclass(frozen=True)
class Batch:
    """
    Samples that answer a fetch.

    :param number: Cursor of the trainer's next fetch, if it keeps the batch.
    :param remaining: Number of slots that the trainer lacks after this batch.
    """

    fence: int
    number: int
    samples: tuple[Sample, ...]
    remaining: int


@dataclass(frozen=True)
class Resync:
    """
    The cursor or the collector is unknown; the trainer must submit the step again.

    :param fence: Fencing number of the collector that answers.
    """

    fence: int


@dataclass
class StepDelivery:
    """
    Delivery state of one step at one collector.

    :param fence: Fencing number of the collector.
    :param bound: Staleness bound of the trainer, in weight versions.
    :param specs: Requested samples by slot.
    :param received: Slots that the trainer is known to hold.
    :param ready: Samples that the trainer has not confirmed, by slot.
    """

    fence: int
    bound: int
    specs: dict[Slot, SampleSpec]
    received: set[Slot] = field(default_factory=set)
    ready: dict[Slot, Sample] = field(default_factory=dict)
    _last_number: int = 0
    _confirmed_number: int = 0
    _unconfirmed_slots: tuple[Slot, ...] = ()

    @classmethod
    def open(
        cls,
        fence: int,
        bound: int,
        specs: Iterable[SampleSpec],
        received: Iterable[Slot] = (),
        before: StepDelivery | None = None,
    ) -> StepDelivery:
        """
        Start the delivery of a submitted step.

        :param received: Slots that the trainer holds, by its own account.
        :param before: Earlier delivery of the step at this collector, or None. Its
            ready samples are kept, and numbers continue above its own, so that a
            delayed fetch cannot match a batch of the new delivery.
        """
        by_slot = {spec.slot: spec for spec in specs}
        received_slots = set(received) & by_slot.keys()
        start = before._last_number + 1 if before else 0
        delivery = cls(
            fence,
            bound,
            by_slot,
            received_slots,
            _last_number=start,
            _confirmed_number=start,
        )
        for sample in before.ready.values() if before else ():
            delivery.add(sample)
        return delivery

    @property
    def cursor(self) -> int:
        """
        Cursor of the trainer's first fetch after a submit.
        """
        return self._confirmed_number

    @property
    def missing(self) -> list[SampleSpec]:
        """
        Requested samples of slots that are neither received nor ready.
        """
        return [
            spec
            for slot, spec in self.specs.items()
            if slot not in self.received and slot not in self.ready
        ]

    @property
    def complete(self) -> bool:
        """
        Whether the trainer is known to hold every slot.
        """
        return len(self.received) == len(self.specs)

    def add(self, sample: Sample) -> bool:
        """
        Add a finished sample; the first fully labelled one of a slot is used.

        :returns: Whether the sample was added.
        """
        slot = sample.slot
        if slot not in self.specs or slot in self.received or slot in self.ready:
            return False
        if not is_fully_labelled(sample.runs, sample.tokens):
            return False
        self.ready[slot] = sample
        return True

    def drop_stale(self, version: int) -> int:
        """
        Drop ready samples beyond the staleness bound; their slots are generated again.

        :param version: Current weight version of the trainer.
        :returns: Number of dropped samples.
        """
        stale = [
            slot
            for slot, sample in self.ready.items()
            if not is_fresh(sample.runs, version, self.bound)
        ]
        for slot in stale:
            del self.ready[slot]
        return len(stale)

    def fetch(self, request: FetchRequest) -> Batch | Resync:
        """
        Answer a fetch.

        The samples of a batch stay ready until the trainer confirms its number. The
        samples of a lost batch are sent again unless they have become too old.
        """
        matched = request.fence == self.fence and self._accept_cursor(request.cursor)
        if not matched:
            return Resync(self.fence)
        self.drop_stale(request.version)
        samples = tuple(self.ready.values())[: request.limit]
        self._last_number += 1
        self._unconfirmed_slots = tuple(sample.slot for sample in samples)
        remaining = len(self.specs) - len(self.received) - len(samples)
        return Batch(self.fence, self._last_number, samples, remaining)

    def _accept_cursor(self, cursor: int) -> bool:
        if cursor == self._last_number:
            self._mark_received()
            return True
        # The previous cursor revokes the newest batch, whose samples stay ready. Any
        # other number belongs to a revoked or unknown batch.
        return cursor == self._confirmed_number

    def _mark_received(self) -> None:
        for slot in self._unconfirmed_slots:
            self.received.add(slot)
            self.ready.pop(slot, None)
        self._confirmed_number = self._last_number
        self._unconfirmed_slots = ()
