# SPDX-License-Identifier: MIT

"""
A text that goes on at another node has no gap and no repeat, and each run in it was
asked to go on exactly there.

Off: kept events are added wherever their numbers fit, whatever run they continue.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from builders import make_job, make_job_opened
from saddledoor import (
    CheckpointedText,
    EventText,
    GeneratedEvent,
    ItemCheckpoint,
    JobFold,
    StoredText,
    TextSegment,
)

from ._proof import Proof


_NODES = 2
_EVENTS = 12


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Texts(RuleBasedStateMachine):
        """
        Two nodes run one item, each from what the log kept when it began.
        """

        @initialize()
        def accept(self):
            self.job = make_job(1)
            self.item = self.job.items[0].item_id
            self.book = JobFold()
            self.book.apply(make_job_opened(self.job))
            self.written: list[tuple[str, ...]] = []
            self.asked_after: dict[str, int] = {}
            self.runs = 0
            self.texts: list[EventText] = []
            self.told: list[tuple[int, str]] = []
            self.run_ids: list[str] = []
            for node in range(_NODES):
                self.texts.append(EventText(""))
                self.told.append((0, ""))
                self.run_ids.append("")
                self.take_over(node)

        def _kept(self) -> TextSegment:
            kept = self.book.get(self.job.job_id).kept.get(
                self.item, CheckpointedText()
            )
            written = [self.written[part.offsets[0]] for part in kept.parts]
            events = tuple(event for part in written for event in part)
            assert len(events) == kept.count
            return TextSegment(events, kept.versions, kept.chain)

        @rule(node=st.integers(0, _NODES - 1))
        def take_over(self, node):
            kept = self._kept()
            self.texts[node] = EventText(f"chain-{self.runs}", kept)
            self.told[node] = (len(kept.events), kept.chain)
            self.begin_run(node)

        @rule(node=st.integers(0, _NODES - 1))
        def begin_run(self, node):
            """
            Another engine is asked to go on after the last event.
            """
            self.runs += 1
            self.run_ids[node] = f"run-{self.runs}"
            self.asked_after[self.run_ids[node]] = self.texts[node].last

        @rule(
            node=st.integers(0, _NODES - 1),
            skip=st.sampled_from([0] * 8 + [1, -1]),
            version=st.sampled_from([1] * 6 + [2, 2, None, 0]),
        )
        def make_event(self, node, skip, version):
            text = self.texts[node]
            number = text.last + 1 + skip
            data = f"{number} {self.run_ids[node]}"
            if number <= _EVENTS:
                text.take(GeneratedEvent(number, data, version), 1)

        @rule(node=st.integers(0, _NODES - 1))
        def keep(self, node):
            text = self.texts[node]
            last, chain = self.told[node]
            if text.last <= last:
                return
            kept = text.since(last)
            self.told[node] = (text.last, kept.chain)
            follows = chain if guard else self._kept().chain
            self.written.append(kept.events)
            self.book.apply(
                ItemCheckpoint(
                    self.job.job_id,
                    self.item,
                    last + 1,
                    len(kept.events),
                    follows,
                    kept.chain,
                    kept.versions,
                    StoredText((len(self.written) - 1,), 1),
                )
            )

        @rule(node=st.integers(0, _NODES - 1))
        def make_and_keep(self, node):
            """
            As a node does every half second.
            """
            self.make_event(node=node, skip=0, version=1)
            self.keep(node=node)

        @rule(node=st.integers(0, _NODES - 1))
        def keep_whole(self, node):
            """
            The node has seen that the log holds another run's events.
            """
            text = self.texts[node]
            if text.last == 0:
                return
            kept = text.since(0)
            self.told[node] = (text.last, kept.chain)
            self.written.append(kept.events)
            self.book.apply(
                ItemCheckpoint(
                    self.job.job_id,
                    self.item,
                    1,
                    len(kept.events),
                    "",
                    kept.chain,
                    kept.versions,
                    StoredText((len(self.written) - 1,), 1),
                )
            )

        @invariant()
        def no_gap_and_every_run_was_asked_to_go_on_there(self):
            if not hasattr(self, "texts"):
                return
            for text in (*(t.text for t in self.texts), "\n".join(self._kept().events)):
                events = [line.split() for line in text.split("\n")] if text else []
                numbers = [int(number) for number, _ in events]
                assert numbers == list(range(1, len(events) + 1)), numbers
                before = ""
                for number, run in events:
                    went_on = run == before or self.asked_after[run] == int(number) - 1
                    assert went_on, f"{run} goes on at {number} unasked"
                    before = run
            for text in self.texts:
                assert all(version >= 1 for version in text.versions)

    return Texts


PROOF = Proof(
    "kept_texts",
    "a text that goes on elsewhere has no gap and no repeat",
    "two owners at once, take-over, events out of turn, old weights",
    _machine,
)
