# SPDX-License-Identifier: MIT

"""
Every sample reaches its trainer exactly once.

Off: a collector answers any cursor and any fencing number.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from builders import make_sample, make_spec
from saddledoor import Batch, FetchRequest, Resync, Slot, StepDelivery

from ._proof import Proof


_SLOTS = 4


class _Careless(StepDelivery):
    """
    A collector without the mechanism: it forgets what it sent, and asks nothing.
    """

    def fetch(self, request):
        samples = tuple(self.ready.values())[: request.limit]
        for sample in samples:
            self.received.add(sample.slot)
            del self.ready[sample.slot]
        left = len(self.specs) - len(self.received)
        self._number += 1
        return Batch(request.fence, self._number, samples, left)


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Delivery(RuleBasedStateMachine):
        """
        A trainer with checkpoints, and collectors that replace each other.
        """

        @initialize()
        def begin(self):
            self.kind = StepDelivery if guard else _Careless
            self.collectors = {}
            self.next_fence = 1
            self.kept: list[Slot] = []
            self.checkpoint: list[Slot] = []
            self.fence = -1
            self.cursor = 0
            self.answers: list[tuple[int, Batch | Resync]] = []
            self.newest_request = 0
            self.must_submit = True
            self.delayed: list[FetchRequest] = []
            self._submit(self._new_collector())

        def _new_collector(self):
            self.next_fence += 1
            self.collectors[self.next_fence] = None
            return self.next_fence

        def _submit(self, fence):
            if fence < self.fence:
                return
            specs = [make_spec(group) for group in range(_SLOTS)]
            before = self.collectors[fence]
            book = self.kind.open(fence, 1, specs, self.kept, before=before)
            self.collectors[fence] = book
            self.fence, self.cursor = fence, book.cursor
            self.must_submit = False
            # Answers to requests before the submit are not to be used any more.
            self.newest_request += 1

        @rule(index=st.integers(0, 5), group=st.integers(0, _SLOTS - 1))
        def attempt_finishes(self, index, group):
            """
            Also a second attempt of the same slot, and one at a replaced collector.
            """
            books = [b for b in self.collectors.values() if b is not None]
            books[index % len(books)].add(make_sample(group))

        @rule(delayed=st.booleans(), limit=st.integers(1, 3))
        def fetch(self, delayed, limit):
            """
            A fetch may be held up in a frozen VM and arrive much later.
            """
            if self.must_submit:
                return
            self.newest_request += 1
            request = FetchRequest(self.fence, self.cursor, 1, limit)
            if delayed:
                self.delayed.append((self.newest_request, request))
            else:
                self._answer(self.newest_request, request, self.fence)

        @rule(index=st.integers(0, 5), any_collector=st.integers(0, 5))
        def delayed_fetch_arrives(self, index, any_collector):
            if self.delayed:
                number, request = self.delayed.pop(index % len(self.delayed))
                known = [f for f, b in self.collectors.items() if b is not None]
                self._answer(number, request, known[any_collector % len(known)])

        def _answer(self, number, request, fence):
            answer = self.collectors[fence].fetch(request)
            self.answers.append((number, answer))

        @rule(index=st.integers(0, 5))
        def lose_answer(self, index):
            if self.answers:
                self.answers.pop(index % len(self.answers))

        @rule(index=st.integers(0, 5))
        def answer_arrives(self, index):
            """
            The trainer uses only the answer to its newest request.
            """
            if not self.answers:
                return
            number, answer = self.answers.pop(index % len(self.answers))
            if number != self.newest_request:
                return
            if isinstance(answer, Resync):
                self.must_submit = True
                return
            if answer.fence != self.fence:
                return
            self.kept += [sample.slot for sample in answer.samples]
            self.cursor = answer.number
            self.newest_request += 1

        @rule()
        def collector_replaced(self):
            """
            The lease goes to another VM; the old one may believe that it holds it.
            """
            fence = self._new_collector()
            self._submit(fence)

        @rule()
        def resubmit(self):
            if self.must_submit:
                newest = max(f for f, b in self.collectors.items() if b is not None)
                self._submit(newest)

        @rule()
        def save_checkpoint(self):
            self.checkpoint = list(self.kept)

        @rule()
        def trainer_restarts(self):
            """
            The trainer is back at its checkpoint, and submits anew.
            """
            self.kept = list(self.checkpoint)
            self.must_submit = True

        @invariant()
        def nothing_came_twice(self):
            assert len(set(self.kept)) == len(self.kept), f"doubled: {self.kept}"

        @invariant()
        def nothing_is_lost(self):
            """
            What the newest collector believes delivered, the trainer holds, unless an
            answer is on its way or the trainer is about to submit anew.
            """
            book = self.collectors.get(self.fence)
            if book is None or self.must_submit or self.answers or self.delayed:
                return
            missing = book.received - set(self.kept)
            assert not missing, f"lost: {sorted(missing)}"

    return Delivery


PROOF = Proof(
    "exactly_once",
    "every sample reaches its trainer exactly once",
    "collector killed, two collectors, answer lost or late, trainer back at checkpoint",
    _machine,
)
