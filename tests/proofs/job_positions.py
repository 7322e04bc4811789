# SPDX-License-Identifier: MIT

"""
A result that was read keeps its position and content on every node.

Without the mechanism, a node publishes its own result before the log contains it.
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
        Two nodes consider themselves the owner of a job and sometimes lose power.
        """

        @initialize()
        def accept(self):
            self.job = make_job(_ITEMS)
            self.log = [make_job_opened(self.job)]
            self.delayed = []
            self.books = [JobFold() for _ in range(_NODES)]
            self.read_counts = [0] * _NODES
            self.seen_results: dict[int, ItemResult] = {}

        @rule(
            node=st.integers(0, _NODES - 1),
            item=st.integers(0, _ITEMS - 1),
            done=st.booleans(),
            append_result=st.sampled_from(["done", "lost", "late"]),
        )
        def finish_item(self, node, item, done, append_result):
            text = StoredText((node,), 1) if done else StoredText()
            result = ItemResult(self.job.items[item].item_id, done, text)
            record = ItemResultRecorded(self.job.job_id, result)
            if append_result == "done":
                self.log.append(record)
            elif append_result == "late":
                self.delayed.append(record)
            if not guard:
                self.books[node].apply(record)

        @rule()
        def delayed_append_arrives(self):
            if self.delayed:
                self.log.append(self.delayed.pop(0))

        @rule()
        def end(self):
            self.log.append(JobEnded(self.job.job_id))

        @rule(node=st.integers(0, _NODES - 1), count=st.integers(1, 5))
        def read_on(self, node, count):
            for record in self.log[
                self.read_counts[node] : self.read_counts[node] + count
            ]:
                self.books[node].apply(record)
                self.read_counts[node] += 1

        @rule(node=st.integers(0, _NODES - 1))
        def lose_power(self, node):
            self.books[node] = JobFold()
            self.read_counts[node] = 0

        @invariant()
        def positions_hold(self):
            for book in self.books:
                state = book.get(self.job.job_id)
                if state is None:
                    continue
                names = [result.item_id for result in state.results]
                assert len(names) == len(set(names)), "an item at two positions"
                for position, result in enumerate(state.results):
                    before = self.seen_results.setdefault(position, result)
                    assert before == result, f"position {position} has changed"

    return Positions


PROOF = Proof(
    "job_positions",
    "a result keeps its position and content at every node",
    "two owners at once, appends lost and late, power loss",
    _machine,
)
