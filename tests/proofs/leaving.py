# SPDX-License-Identifier: MIT

"""
An engine that is leaving receives no new work after a few seconds.

Without the mechanism, a node uses the report that arrived last, not the newest one.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from saddledoor import (
    AcceptedConfig,
    ActiveConfig,
    BackendReport,
    BackendRequirement,
    MemberEntry,
    MemberTable,
    is_eligible,
)

from ._proof import Proof


_NODES = 3


def _entry(node: int, seq: int, report: BackendReport) -> MemberEntry:
    return MemberEntry(
        vm=f"vm-{node}",
        started=1,
        seq=seq,
        data_centre="dc-a",
        http="",
        grpc="",
        state="serving",
        config_offset=0,
        reports=(report,),
    )


class _LastHeard(MemberTable):
    """
    Keeps whatever came last.
    """

    def offer(self, entry, now):
        self._entries[entry.vm] = entry
        self._heard[entry.vm] = now
        return True

    def reports(self):
        return {r.name: r for e in self._entries.values() for r in e.reports}


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class Leaving(RuleBasedStateMachine):
        """
        Watchers read an engine, and their reports travel late, twice, out of order.
        """

        @initialize()
        def begin(self):
            self.now = 0.0
            self.leaving_since = None
            self.sent: list[MemberEntry] = []
            kind = MemberTable if guard else _LastHeard
            self.tables = [kind(1e9) for _ in range(_NODES)]
            self.heard_leaving = [False] * _NODES
            self.in_force = [ActiveConfig() for _ in range(_NODES)]
            self.marked_offset = None
            self.seq = 0

        @rule()
        def engine_starts_to_leave(self):
            if self.leaving_since is None:
                self.leaving_since = self.now

        @rule(watcher=st.integers(0, _NODES - 1))
        def watcher_reads(self, watcher):
            """
            The watcher changes when VMs come and go, so several may have read it.
            """
            self.now += 1.0
            self.seq += 1
            leaving = self.leaving_since is not None
            report = BackendReport("engine", True, 0.0, self.now, leaving)
            entry = _entry(watcher, self.seq, report)
            self.sent.append(entry)
            self._hear(watcher, entry)

        @rule(node=st.integers(0, _NODES - 1), index=st.integers(0, 30))
        def entry_arrives(self, node, index):
            """
            Any entry that was ever sent may arrive, again and in any order.
            """
            if self.sent:
                self._hear(node, self.sent[index % len(self.sent)])

        def _hear(self, node, entry):
            self.tables[node].offer(entry, self.now)
            if entry.reports[0].leaving:
                self.heard_leaving[node] = True

        # Late, so that the reports have to hold by themselves for most of the run.
        @precondition(lambda self: self.seq > 8)
        @rule(node=st.integers(0, 1))
        def configuration_marks_it(self, node):
            """
            Offset 1 serves, offset 2 marks it as leaving; peers may pass on either.
            """
            self.marked_offset = 2
            self.in_force[node] = self.in_force[node].offer(
                AcceptedConfig(2, "leaving")
            )

        @rule(node=st.integers(0, _NODES - 1))
        def old_configuration_arrives(self, node):
            self.in_force[node] = self.in_force[node].offer(
                AcceptedConfig(1, "serving")
            )

        def _grants(self, node):
            accepted = self.in_force[node].accepted
            state = accepted.document if accepted else "serving"
            report = self.tables[node].reports().get("engine")
            return is_eligible(state, report, BackendRequirement(), self.now)

        @invariant()
        def no_new_work_once_heard(self):
            for node in range(_NODES):
                marked = self.in_force[node].offset == 2
                if self.heard_leaving[node] or marked:
                    assert not self._grants(node), f"node {node} gave it new work"

    return Leaving


PROOF = Proof(
    "leaving",
    "a leaving engine gets no new work",
    "reports late, twice, out of order, watcher changes, old configuration from a peer",
    _machine,
)
