# SPDX-License-Identifier: MIT

"""
An accepted configuration becomes active on every node and never reverts.

Without the mechanism, each node accepts a proposal by its own release's validation.
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
        Operators publish concurrently, releases differ, nodes start late, and the log
        drops old records.
        """

        @initialize()
        def begin(self):
            self.log = []
            self.first = 0
            self.reference = ConfigFold()
            self.history = {0: None}
            self.nodes = [ConfigFold() for _ in range(_NODES)]
            self.active_configs = [ActiveConfig() for _ in range(_NODES)]
            self.highest_seen = [-1] * _NODES
            self.own_accepted = [-1] * _NODES

        def _append(self, record):
            offset = len(self.log)
            self.log.append(record)
            self.reference = self.reference.apply(offset, record)
            accepted = self.reference.accepted
            self.history[offset + 1] = accepted.offset if accepted else None

        @rule(back=st.integers(0, 2), twice=st.booleans())
        def publish(self, back, twice):
            """
            An operator publishes an edited copy of the newest or an older file.
            """
            accepted = sorted({v for v in self.history.values() if v is not None})
            bases = [-1, *accepted]
            base = bases[max(-len(bases), -1 - back)]
            proposal = make_proposal(f"p{len(self.log)}", base)
            self._append(proposal)
            if twice:
                # The answer was lost, and the operator's tool repeated the append.
                self._append(proposal)

        @rule(index=st.integers(0, 4), valid=st.booleans())
        def verdict(self, index, valid):
            """
            Nodes of different releases may append contradictory verdicts.
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
            A lease holder, which may lag behind, appends a snapshot.
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
                    self._accept_alone(node, offset)
            self.nodes[node] = fold
            self._offer(node, fold.accepted)

        def _accept_alone(self, node, offset):
            record = self.log[offset]
            release_takes_it = (offset + node) % 3 != 0
            if isinstance(record, ConfigProposal) and release_takes_it:
                self.own_accepted[node] = offset
                self._offer(node, AcceptedConfig(offset, record.document))

        def _offer(self, node, accepted):
            self.active_configs[node] = self.active_configs[node].offer(accepted)

        @rule(node=st.integers(0, _NODES - 1), peer=st.integers(0, _NODES - 1))
        def receive_from_peer(self, node, peer):
            self._offer(node, self.active_configs[peer].accepted)

        @rule(node=st.integers(0, _NODES - 1))
        def replace_vm(self, node):
            self.nodes[node] = ConfigFold.starting_at(self.first)
            self.active_configs[node] = ActiveConfig()
            self.highest_seen[node] = -1

        @invariant()
        def folds_agree(self):
            for fold in self.nodes:
                if not fold.synced or fold.next_offset not in self.history:
                    continue
                offset = fold.accepted.offset if fold.accepted else None
                expected = self.history[fold.next_offset]
                assert offset == expected, f"fold says {offset}, log says {expected}"

        @invariant()
        def only_accepted_is_in_force(self):
            accepted = {v for v in self.history.values() if v is not None}
            for state in self.active_configs:
                assert state.offset == -1 or state.offset in accepted, (
                    f"in force: {state.offset}, accepted: {sorted(accepted)}"
                )

        @invariant()
        def never_reverts(self):
            for node, state in enumerate(self.active_configs):
                assert state.offset >= self.highest_seen[node], "went back"
                self.highest_seen[node] = state.offset

    return Configuration


PROOF = Proof(
    "configuration",
    "an accepted configuration is in force and never reverts",
    "operators race, releases differ, VM starts late, log drops records, peer behind",
    _machine,
)
