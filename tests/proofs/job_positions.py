# SPDX-License-Identifier: MIT

"""
A result that a reader has seen keeps its position and its content at every node.

Off: a node shows its own result as soon as it has sent it, not when the log holds it.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from builders import make_job, make_job_opened
from saddledoor import (
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobFold,
    StoredText,
)

from ._proof import Proof


_ITEMS = 4
_NODES = 2


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Positions(RuleBasedStateMachine):
        """
        Two nodes that both believe to own a job; one loses power now and then.
        """

        @initialize()
        def accept(self):
            self.job = make_job(_ITEMS)
            self.log = [make_job_opened(self.job)]
            self.late = []
            self.books = [JobFold() for _ in range(_NODES)]
            self.read = [0] * _NODES
            self.seen: dict[int, ItemResult] = {}

        @rule(
            node=st.integers(0, _NODES - 1),
            item=st.integers(0, _ITEMS - 1),
            done=st.booleans(),
            fate=st.sampled_from(["done", "lost", "late"]),
        )
        def finish_item(self, node, item, done, fate):
            text = StoredText((node,), 1) if done else StoredText()
            result = ItemResult(self.job.items[item].item_id, done, text)
            record = ItemResultRecorded(self.job.job_id, result)
            if fate == "done":
                self.log.append(record)
            elif fate == "late":
                self.late.append(record)
            if not guard:
                self.books[node].apply(record)

        @rule()
        def late_append_is_done(self):
            if self.late:
                self.log.append(self.late.pop(0))

        @rule()
        def end(self):
            self.log.append(JobEnded(self.job.job_id))

        @rule(node=st.integers(0, _NODES - 1), count=st.integers(1, 5))
        def read_on(self, node, count):
            for record in self.log[self.read[node] : self.read[node] + count]:
                self.books[node].apply(record)
                self.read[node] += 1

        @rule(node=st.integers(0, _NODES - 1))
        def lose_power(self, node):
            self.books[node] = JobFold()
            self.read[node] = 0

        @invariant()
        def positions_hold(self):
            for book in self.books:
                state = book.get(self.job.job_id)
                if state is None:
                    continue
                names = [result.item_id for result in state.results]
                assert len(names) == len(set(names)), "an item at two positions"
                for position, result in enumerate(state.results):
                    before = self.seen.setdefault(position, result)
                    assert before == result, f"position {position} has changed"

    return Positions


PROOF = Proof(
    "job_positions",
    "a result keeps its position and content at every node",
    "two owners at once, appends lost and late, power loss",
    _machine,
)
