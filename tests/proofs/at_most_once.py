# SPDX-License-Identifier: MIT

"""
An unrepeatable request runs at most once.

Off: a VM that got an answer to its append, or lost it, acts without reading the log.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from saddledoor import ClaimBatch, ClaimFold, ClaimRelease, IssuedKeys, KeyClaim

from ._proof import Proof


_KEYS = ("key-0", "key-1")
_VMS = 3


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class AtMostOnce(RuleBasedStateMachine):
        """
        Three VMs claim two keys; appends come late, twice, or lose their answer.
        """

        @initialize()
        def begin(self):
            self.log: list[ClaimBatch | ClaimRelease] = []
            self.on_the_way: list[ClaimBatch | ClaimRelease] = []
            self.folds = [ClaimFold(1e9) for _ in range(_VMS)]
            self.claims: list[dict] = []
            self.runs = dict.fromkeys(_KEYS, 0)
            self.issuer = IssuedKeys("issuer")
            self.issued = self.issuer.issue("nonce", "partner")
            self.issued_runs = 0

        @rule(
            vm=st.integers(0, _VMS - 1),
            key=st.sampled_from(_KEYS),
            fate=st.sampled_from(["taken", "taken_answer_lost", "late", "never"]),
        )
        def request(self, vm, key, fate):
            """
            A caller's request arrives; the VM appends its claim.
            """
            claim = KeyClaim(key, f"claim-{len(self.claims)}", f"vm-{vm}")
            batch = ClaimBatch((claim,))
            if fate.startswith("taken"):
                self.log.append(batch)
            elif fate == "late":
                self.on_the_way.append(batch)
            self.claims.append({"vm": vm, "claim": claim, "state": "waiting"})
            if not guard:
                self._run(self.claims[-1])

        @rule(index=st.integers(0, 5))
        def late_append_arrives(self, index):
            if self.on_the_way:
                record = self.on_the_way.pop(index % len(self.on_the_way))
                self.log.append(record)

        @rule(vm=st.integers(0, _VMS - 1), count=st.integers(1, 3))
        def read(self, vm, count):
            """
            A VM, however long it was paused, reads on from where it was.
            """
            fold = self.folds[vm]
            for offset in range(fold.next_offset, len(self.log))[:count]:
                fold.apply(offset, float(offset), self.log[offset])

        @rule(index=st.integers(0, 20), handed_over=st.booleans())
        def act(self, index, handed_over):
            """
            A VM acts on the verdict of a claim that it owns.
            """
            waiting = [c for c in self.claims if c["state"] == "waiting"]
            if not waiting:
                return
            entry = waiting[index % len(waiting)]
            claim = entry["claim"]
            owner = self.folds[entry["vm"]].owner(claim.key)
            if owner is None or owner.claim_id != claim.claim_id:
                return
            if handed_over:
                self._run(entry)
            else:
                self._give_up(entry)

        @rule(index=st.integers(0, 20))
        def give_up_undecided(self, index):
            """
            The log could not be asked: the owner refuses, and frees the key later.
            """
            waiting = [c for c in self.claims if c["state"] == "waiting"]
            if waiting:
                self._give_up(waiting[index % len(waiting)])

        @rule(vm=st.integers(0, _VMS - 1))
        def replace_vm(self, vm):
            """
            A VM dies with its memory; its successor folds the log from the start.
            """
            self.folds[vm] = ClaimFold(1e9)
            for entry in self.claims:
                if entry["vm"] == vm and entry["state"] == "waiting":
                    entry["state"] = "dead"

        @rule()
        def use_issued_key(self):
            if self.issuer.consume(self.issued, "partner"):
                self.issued_runs += 1

        @rule()
        def use_issued_key_elsewhere(self):
            """
            A VM's successor does not know the keys of the one before.
            """
            if IssuedKeys("successor").consume(self.issued, "partner"):
                self.issued_runs += 1

        def _run(self, entry):
            entry["state"] = "ran"
            self.runs[entry["claim"].key] += 1

        def _give_up(self, entry):
            entry["state"] = "given_up"
            claim = entry["claim"]
            self.on_the_way.append(ClaimRelease(claim.key, claim.claim_id))

        @invariant()
        def no_key_ran_twice(self):
            for key, count in self.runs.items():
                assert count <= 1, f"{key} ran {count} times"
            assert self.issued_runs <= 1, "an issued key ran twice"

    return AtMostOnce


PROOF = Proof(
    "at_most_once",
    "an unrepeatable request runs at most once",
    "one key at three VMs, append late or its answer lost, VM paused, dead, replaced",
    _machine,
)
