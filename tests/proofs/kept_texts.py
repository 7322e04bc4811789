# SPDX-License-Identifier: MIT

"""
A text that goes on at another node has no gap and no repeat.

Off: kept events are added wherever they come, whatever they continue.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from builders import make_job, make_job_records
from saddledoor import (
    EventText,
    GeneratedEvent,
    ItemKept,
    JobBook,
    KeptText,
    decode_job,
)

from ._proof import Proof


_NODES = 2
_EVENTS = 8


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Texts(RuleBasedStateMachine):
        """
        Two nodes run one item, each from what the log kept when it began.
        """

        @initialize()
        def accept(self):
            self.job = make_job(1)
            self.item = self.job.items[0].item_id
            self.book = JobBook(decode_job)
            for record in make_job_records(self.job):
                self.book.apply(record)
            self.texts = [EventText() for _ in range(_NODES)]
            self.told = [0] * _NODES

        def _kept(self) -> KeptText:
            return self.book.get(self.job.job_id).kept.get(self.item, KeptText((), ()))

        @rule(node=st.integers(0, _NODES - 1))
        def take_over(self, node):
            self.texts[node] = EventText(self._kept())
            self.told[node] = self.texts[node].last

        @rule(
            node=st.integers(0, _NODES - 1),
            skip=st.sampled_from([0, 0, 0, 1, -1]),
            version=st.sampled_from([None, 0, 1, 2]),
        )
        def make_event(self, node, skip, version):
            text = self.texts[node]
            number = text.last + 1 + skip
            if number <= _EVENTS:
                text.take(GeneratedEvent(number, str(number), version), 1)

        @rule(node=st.integers(0, _NODES - 1))
        def keep(self, node):
            text, first = self.texts[node], self.told[node] + 1
            if text.last < first:
                return
            self.told[node] = text.last
            if not guard:
                # As if the record did not say where it goes on.
                first = len(self._kept().events) + 1
            kept = text.since(text.last - (text.last - first + 1) if guard else 0)
            self.book.apply(ItemKept(self.job.job_id, self.item, first, kept))

        @invariant()
        def no_gap_no_repeat(self):
            if not hasattr(self, "texts"):
                return
            for text in (*(t.text for t in self.texts), "\n".join(self._kept().events)):
                lines = text.split("\n") if text else []
                assert lines == [str(n + 1) for n in range(len(lines))], lines
            for text in self.texts:
                assert all(version >= 1 for version in text.versions)

    return Texts


PROOF = Proof(
    "kept_texts",
    "a text that goes on elsewhere has no gap and no repeat",
    "two owners at once, take-over, events out of turn, old weights",
    _machine,
)
