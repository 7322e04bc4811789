# SPDX-License-Identifier: MIT

"""
An accepted configuration is in force everywhere and never reverts.

Off: each node judges a proposal by its own release's validator.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from builders import make_proposal
from saddledoor import (
    AcceptedConfig,
    ActiveConfig,
    ConfigFold,
    ConfigProposal,
    ConfigVerdict,
)

from ._proof import Proof


_NODES = 3


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Configuration(RuleBasedStateMachine):
        """
        Operators race, releases differ, nodes start late, and the log drops records.
        """

        @initialize()
        def begin(self):
            self.log = []
            self.first = 0
            self.reference = ConfigFold()
            self.history = {0: None}
            self.nodes = [ConfigFold() for _ in range(_NODES)]
            self.in_force = [ActiveConfig() for _ in range(_NODES)]
            self.seen = [-1] * _NODES
            self.own = [-1] * _NODES

        def _append(self, record):
            offset = len(self.log)
            self.log.append(record)
            self.reference = self.reference.apply(offset, record)
            accepted = self.reference.accepted
            self.history[offset + 1] = accepted.offset if accepted else None

        @rule(back=st.integers(0, 2), twice=st.booleans())
        def publish(self, back, twice):
            """
            An operator publishes a file edited from the newest or an older one.
            """
            accepted = sorted({v for v in self.history.values() if v is not None})
            bases = [-1, *accepted]
            base = bases[max(-len(bases), -1 - back)]
            proposal = make_proposal(f"p{len(self.log)}", base)
            self._append(proposal)
            if twice:
                # The answer was lost, and the operator's tool appended it again.
                self._append(proposal)

        @rule(index=st.integers(0, 4), valid=st.booleans())
        def verdict(self, index, valid):
            """
            Releases differ: the same proposal may get verdicts that contradict.
            """
            proposals = [
                o for o, r in enumerate(self.log) if isinstance(r, ConfigProposal)
            ]
            if proposals:
                offset = proposals[-1 - index % len(proposals)]
                self._append(ConfigVerdict(offset, valid))

        @rule(node=st.integers(0, _NODES - 1), lag=st.integers(0, 2))
        def snapshot(self, node, lag):
            """
            A lease holder, perhaps one that lags, writes the accepted file again.
            """
            record = self.nodes[node].snapshot()
            if record is not None:
                self._append(record)

        @rule(keep=st.integers(1, 6))
        def log_drops_old_records(self, keep):
            self.first = max(self.first, len(self.log) - keep)

        @rule(node=st.integers(0, _NODES - 1), count=st.integers(1, 5))
        def read(self, node, count):
            fold = self.nodes[node]
            if fold.next_offset < self.first:
                fold = ConfigFold.starting_at(self.first)
            for offset in range(fold.next_offset, len(self.log))[:count]:
                fold = fold.apply(offset, self.log[offset])
                if not guard:
                    self._judge_alone(node, offset)
            self.nodes[node] = fold
            self._offer(node, fold.accepted)

        def _judge_alone(self, node, offset):
            record = self.log[offset]
            release_takes_it = (offset + node) % 3 != 0
            if isinstance(record, ConfigProposal) and release_takes_it:
                self.own[node] = offset
                self._offer(node, AcceptedConfig(offset, record.document))

        def _offer(self, node, accepted):
            self.in_force[node] = self.in_force[node].offer(accepted)

        @rule(node=st.integers(0, _NODES - 1), peer=st.integers(0, _NODES - 1))
        def hear_from_peer(self, node, peer):
            self._offer(node, self.in_force[peer].accepted)

        @rule(node=st.integers(0, _NODES - 1))
        def replace_vm(self, node):
            self.nodes[node] = ConfigFold.starting_at(self.first)
            self.in_force[node] = ActiveConfig()
            self.seen[node] = -1

        @invariant()
        def folds_agree(self):
            for fold in self.nodes:
                if not fold.anchored or fold.next_offset not in self.history:
                    continue
                offset = fold.accepted.offset if fold.accepted else None
                expected = self.history[fold.next_offset]
                assert offset == expected, f"fold says {offset}, log says {expected}"

        @invariant()
        def only_accepted_is_in_force(self):
            accepted = {v for v in self.history.values() if v is not None}
            for state in self.in_force:
                assert state.offset == -1 or state.offset in accepted, (
                    f"in force: {state.offset}, accepted: {sorted(accepted)}"
                )

        @invariant()
        def never_reverts(self):
            for node, state in enumerate(self.in_force):
                assert state.offset >= self.seen[node], "went back"
                self.seen[node] = state.offset

    return Configuration


PROOF = Proof(
    "configuration",
    "an accepted configuration is in force and never reverts",
    "operators race, releases differ, VM starts late, log drops records, peer behind",
    _machine,
)
