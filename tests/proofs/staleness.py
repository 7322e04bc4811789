# SPDX-License-Identifier: MIT

"""
No sample used for training is older than the configured staleness bound.

Off: a sample is judged when it is finished, by its newest run.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from builders import make_spec
from saddledoor import Batch, FetchRequest, Sample, Slot, StepDelivery, VersionRun

from ._proof import Proof


_SLOTS = 4


class _JudgedWhenFinished(StepDelivery):
    def drop_stale(self, version):
        return 0


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Staleness(RuleBasedStateMachine):
        """
        Weights move on while samples of mixed versions wait to be fetched.
        """

        @initialize(bound=st.integers(0, 2))
        def begin(self, bound):
            self.bound = bound
            self.version = 3
            kind = StepDelivery if guard else _JudgedWhenFinished
            specs = [make_spec(group) for group in range(_SLOTS)]
            self.book = kind.open(1, bound, specs)
            self.cursor = 0

        @rule(
            group=st.integers(0, _SLOTS - 1),
            behind=st.lists(st.integers(0, 3), min_size=1, max_size=3),
        )
        def sample_finishes(self, group, behind):
            versions = [max(0, self.version - b) for b in behind]
            runs = tuple(VersionRun(v, i, i) for i, v in enumerate(versions))
            if not guard and max(versions) < self.version - self.bound:
                return
            self.book.add(Sample(Slot(group, 0), "x", len(runs), runs))

        @rule()
        def weights_move_on(self):
            self.version += 1

        @rule(kept=st.booleans(), limit=st.integers(1, 4))
        def fetch(self, kept, limit):
            """
            An answer that was lost is judged anew when it is asked for again.
            """
            request = FetchRequest(1, self.cursor, self.version, limit)
            answer = self.book.fetch(request)
            assert isinstance(answer, Batch)
            if not kept:
                return
            self.cursor = answer.number
            for sample in answer.samples:
                oldest = min(run.version for run in sample.runs)
                age = self.version - oldest
                assert age <= self.bound, f"{age} behind, bound {self.bound}"

    return Staleness


PROOF = Proof(
    "staleness",
    "no sample is older than the staleness bound",
    "swap in mid-sample, weights move on while samples wait, answer lost, asked again",
    _machine,
)
