# SPDX-License-Identifier: MIT

"""
Guards of the gate of sends, evacuations and cold engines.
"""

from __future__ import annotations

from .guard import (
    COLD_ENGINES,
    DAEMON,
    EVACUATIONS,
    LIBRARY,
    SEND_GATE,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "a send is checked again after the choice of the engine",
        f"{DAEMON}/serving/gate.py",
        "        denial = self._check(engine, needs, now, is_held)\n",
        "        denial = None\n",
        (SEND_GATE, "denied_after_the_choice"),
    ),
    Guard(
        "an engine that has left gets no request",
        f"{DAEMON}/serving/gate.py",
        "is_usable=self._view.directory.is_usable(engine, now),",
        "is_usable=True,",
        (SEND_GATE, "left_after_the_choice"),
    ),
    Guard(
        "the pool does not fall back to a denied engine",
        f"{DAEMON}/serving/pool.py",
        "[e for e in usable if self._gate.is_allowed(e, needs, now)]",
        "usable",
        (SEND_GATE, "never_falls_back"),
    ),
    Guard(
        "an evacuated data centre gets no request",
        f"{DAEMON}/serving/gate.py",
        "engine.data_centre in self._view.evacuated_data_centres()",
        "False",
        (EVACUATIONS, "pass_over"),
    ),
    Guard(
        "an evacuation ends if its key is gone when the registry is read whole",
        f"{DAEMON}/cluster/evacuations.py",
        "            self._end(key, None)",
        "            pass",
        (EVACUATIONS, "what_a_vm_has_read"),
    ),
    Guard(
        "a value that cannot be used ends no evacuation",
        f"{DAEMON}/cluster/evacuations.py",
        "        elif entry.value is None:",
        "        else:",
        (EVACUATIONS, "ends_no_evacuation"),
    ),
    Guard(
        "a read that failed during a pause is no loss of the store",
        f"{DAEMON}/cluster/evacuations.py",
        "if state.is_store_reachable or state.last_read_at < state.resumed_at:",
        "if state.is_store_reachable:",
        (EVACUATIONS, "knowledge_is_recent"),
    ),
    Guard(
        "a read that failed while other calls were answered is no loss of the store",
        f"{DAEMON}/cluster/evacuations.py",
        "if state.answered_at >= state.last_read_at:",
        "if False:",
        (EVACUATIONS, "knowledge_is_recent"),
    ),
    Guard(
        "a VM that was paused reads of evacuations before it sends",
        f"{DAEMON}/serving/gate.py",
        "is_up_to_date=self._is_up_to_date(now),",
        "is_up_to_date=True,",
        (EVACUATIONS, "outdated_knowledge"),
    ),
    Guard(
        "requests to a cold engine count until they must have arrived",
        f"{LIBRARY}/eligibility/_cold_engines.py",
        "send = TrackedSend(now + _MAX_SEND_DELAY + _MAX_TRANSIT)",
        "send = TrackedSend(now)",
        (COLD_ENGINES, "two_vms"),
    ),
    Guard(
        "a holder that is cut off sends to no cold engine",
        f"{DAEMON}/cluster/work_shares.py",
        "share in self._held and boot_time() - confirmed_at < _TERM",
        "share in self._held",
        (COLD_ENGINES, "cut_off"),
    ),
    Guard(
        "an engine that appears or comes back is presumed cold",
        f"{DAEMON}/cluster/view.py",
        "self.cold_states[entry.incarnation].arrived_at = boot_time()",
        "pass",
        (COLD_ENGINES, "presumed_cold_when or lapsed"),
    ),
    Guard(
        "an engine is presumed cold after an evacuation",
        f"{DAEMON}/serving/cold_engines.py",
        "ended_at = self._view.evacuations.ended_at(engine.data_centre)",
        "ended_at = None",
        (COLD_ENGINES, "after_an_evacuation"),
    ),
    Guard(
        "an item that was placed but not sent counts against the limit",
        f"{DAEMON}/serving/cold_engines.py",
        "left = allowed - held - sends.window.count(now)",
        "left = allowed - sends.window.count(now)",
        (COLD_ENGINES, "place"),
    ),
    Guard(
        "a cold engine is chosen after the others",
        f"{DAEMON}/serving/pool.py",
        "        eligible = self.without_cold(eligible, now) or eligible\n",
        "",
        (COLD_ENGINES, "chosen_after"),
    ),
)
