# SPDX-License-Identifier: MIT

"""
Exactly-once delivery of a step's samples to a trainer that pulls with a cursor.

The trainer's own set of received slots is the truth. The collector numbers every
answer; the next fetch names the number of the answer that the trainer kept. Whatever
the collector cannot match to that (another collector, a revoked answer, a trainer
back at its checkpoint) ends in a resync: the trainer submits the step again and names
the slots that it holds.
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
    A sample's place in a step.
    """

    group: int
    index: int


@dataclass(frozen=True)
class SampleSpec:
    """
    What a trainer asks for in a slot.

    :param max_tokens: Length of the answer, in tokens.
    """

    slot: Slot
    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class Sample:
    """
    A whole, labelled answer for a slot.
    """

    slot: Slot
    text: str
    tokens: int
    runs: tuple[VersionRun, ...]
    finish_reason: str = "length"


@dataclass(frozen=True)
class FetchRequest:
    """
    A trainer asks for samples.

    :param fence: Fencing number of the collector that the trainer last heard.
    :param cursor: Number of the last answer that the trainer kept; 0 for none.
    :param version: The trainer's weight version now.
    """

    fence: int
    cursor: int
    version: int
    limit: int


@dataclass(frozen=True)
class Batch:
    """
    An answer to a fetch.

    :param number: The cursor that the trainer names next, if it keeps the answer.
    :param remaining: Slots that the trainer does not hold after this answer.
    """

    fence: int
    number: int
    samples: tuple[Sample, ...]
    remaining: int


@dataclass(frozen=True)
class Resync:
    """
    The fetch cannot be matched; the trainer must submit the step again.
    """

    fence: int


@dataclass
class StepDelivery:
    """
    What one collector knows of one step.

    :param fence: This collector's fencing number.
    :param bound: The trainer's staleness bound, in versions.
    """

    fence: int
    bound: int
    specs: dict[Slot, SampleSpec]
    received: set[Slot] = field(default_factory=set)
    ready: dict[Slot, Sample] = field(default_factory=dict)
    _number: int = 0
    _kept: int = 0
    _outstanding: tuple[Slot, ...] = ()

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
        Open the book of a submitted step.

        :param received: Slots that the trainer says it holds; its word is the truth.
        :param before: This collector's earlier book of the step. Its finished samples
            are kept, and numbering goes on above its numbers: a request that was held
            up on its way must not match an answer of the new book.
        """
        by_slot = {spec.slot: spec for spec in specs}
        held = set(received) & by_slot.keys()
        start = before._number + 1 if before else 0
        book = cls(fence, bound, by_slot, held, _number=start, _kept=start)
        for sample in before.ready.values() if before else ():
            book.add(sample)
        return book

    @property
    def cursor(self) -> int:
        """
        The cursor that a trainer begins with after submitting.
        """
        return self._kept

    @property
    def missing(self) -> list[SampleSpec]:
        """
        Slots that need a sample: neither received nor ready.
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
        Offer a finished attempt; the first whole and labelled one of a slot wins.

        :returns: Whether it was taken.
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
        Forget ready samples that are too old, so that their slots are made again.

        :returns: How many were dropped.
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

        The samples of an answer stay ready until the trainer names its number, so an
        answer that was lost costs nothing; its slots may come again, judged anew.
        """
        known = request.fence == self.fence and self._match_cursor(request.cursor)
        if not known:
            return Resync(self.fence)
        self.drop_stale(request.version)
        samples = tuple(self.ready.values())[: request.limit]
        self._number += 1
        self._outstanding = tuple(sample.slot for sample in samples)
        remaining = len(self.specs) - len(self.received) - len(samples)
        return Batch(self.fence, self._number, samples, remaining)

    def _match_cursor(self, cursor: int) -> bool:
        if cursor == self._number:
            self._confirm()
            return True
        # The newest answer was not kept: it is revoked, its samples stay ready. Any
        # other number is one that was revoked or forgotten.
        return cursor == self._kept

    def _confirm(self) -> None:
        for slot in self._outstanding:
            self.received.add(slot)
            self.ready.pop(slot, None)
        self._kept = self._number
        self._outstanding = ()
