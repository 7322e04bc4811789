# SPDX-License-Identifier: MIT

"""
The label of every sample names the weight versions that generated it.

Without the mechanism, the label is the version ordered last, not that of each part.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from saddledoor import AnswerBuilder, Part

from ._proof import Proof


_LENGTH = 12
_MOSTLY = st.sampled_from([True, True, True, True, False])


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Labels(RuleBasedStateMachine):
        """
        Two engines swap weights, or only report so, while a sample is generated.
        """

        @initialize()
        def begin(self):
            self.active = [1, 1]
            self.ordered = 1
            self.true_versions: list[int] = []
            self.engine = 0
            self.attempt = 0
            self.builder = AnswerBuilder(_LENGTH)
            self.builder.begin_attempt("0")

        @rule(engine=st.integers(0, 1), obeys=st.booleans())
        def order_swap(self, engine, obeys):
            """
            An engine reports that an order is done, but may not have executed it.
            """
            self.ordered += 1
            if obeys:
                self.active[engine] = self.ordered

        @rule(engine=st.integers(0, 1))
        def restart_with_old_weights(self, engine):
            self.active[engine] = 1

        @rule(version=st.integers(1, 9), engine=st.integers(0, 1))
        def obey_late_order(self, version, engine):
            """
            An engine without fencing executes an order of an earlier lease holder.
            """
            self.active[engine] = version

        @rule()
        def next_sample(self):
            if self.builder.whole() is not None:
                self.true_versions = []
                self.builder = AnswerBuilder(_LENGTH)
                self.resume_elsewhere(self.engine)

        @rule(engine=st.integers(0, 1))
        def resume_elsewhere(self, engine):
            self.attempt += 1
            self.engine = engine
            self.builder.begin_attempt(str(self.attempt))

        @rule(tokens=st.integers(1, 6), named=_MOSTLY, ended=_MOSTLY)
        def make_part(self, tokens, named, ended):
            left = _LENGTH - len(self.true_versions)
            tokens = min(tokens, left)
            if tokens == 0:
                return
            version = self.active[self.engine]
            label = version if guard else self.ordered
            last = tokens == left
            finish = "length" if last else None
            part = Part("x" * tokens, tokens, label if named else None, finish)
            attempt = str(self.attempt)
            if not self.builder.take(attempt, part):
                return
            if last and not ended:
                # The connection was lost between the last part and the end marker.
                self.resume_elsewhere(1 - self.engine)
                return
            self.true_versions += [version] * tokens
            self.builder.end(attempt)

        @invariant()
        def label_is_true(self):
            answer = self.builder.whole()
            if answer is None or not answer.labelled:
                return
            label = [r.version for r in answer.runs for _ in range(r.first, r.last + 1)]
            assert label == self.true_versions, (
                f"label {label}, truth {self.true_versions}"
            )

    return Labels


PROOF = Proof(
    "labels",
    "labels name the versions that made each token",
    "swap in mid-sample, resume, crash with old weights, late order, order not obeyed",
    _machine,
)
