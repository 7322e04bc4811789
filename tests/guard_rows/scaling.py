# SPDX-License-Identifier: MIT

"""
Guards of the ordering of engines.
"""

from __future__ import annotations

from .guard import DAEMON, LIBRARY, SCALING, SCALING_CONTROLLER, Guard


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "engines are given back only after 20 s of lower need",
        f"{LIBRARY}/scaling/_policy.py",
        "now - at < _LESS_WANTED_TIME",
        "now - at < 1.0",
        (SCALING, "before_less_was_wanted"),
    ),
    Guard(
        "an incomplete picture gives no engine back",
        f"{LIBRARY}/scaling/_policy.py",
        "        inputs.is_fresh\n        and is_quiet\n",
        "        is_quiet\n",
        (SCALING, "incomplete_picture and is_fresh"),
    ),
    Guard(
        "a crashed engine may come back before it is replaced",
        f"{LIBRARY}/scaling/_census.py",
        "elif now - since >= _RETURN_TIME:",
        "else:",
        (SCALING, "crashed_engine_counts"),
    ),
    Guard(
        "entries that lapse during an outage are no lost engines",
        f"{LIBRARY}/scaling/_census.py",
        "if not is_certain:",
        "if False:",
        (SCALING, "lapsed_during_an_outage"),
    ),
    Guard(
        "items that wait for a slot are no use of slots",
        f"{LIBRARY}/scaling/_demand.py",
        "min(open_items, slots)",
        "open_items",
        (SCALING, "wait_for_a_slot"),
    ),
    Guard(
        "a refusal is checked against the lease in the log",
        f"{DAEMON}/scaling/orders.py",
        "        if not is_held:\n",
        "        if False:\n",
        (SCALING_CONTROLLER, "another_holder"),
    ),
    Guard(
        "a decision from before a pause is not sent",
        f"{DAEMON}/scaling/orders.py",
        "if boot_time() - decided_at > _MAX_DECISION_AGE:",
        "if False:",
        (SCALING_CONTROLLER, "old_decision"),
    ),
    Guard(
        "decisions of another fencing number are forgotten, others kept",
        f"{DAEMON}/scaling/controller.py",
        "        if fence != self._fence:\n            self._fence = fence\n",
        "        if True:\n",
        (SCALING_CONTROLLER, "keeps_the_count"),
    ),
    Guard(
        "nothing is decided before reads have been fresh for some seconds",
        f"{DAEMON}/scaling/controller.py",
        "if not self._freshness.is_certain(now):",
        "if False:",
        (SCALING_CONTROLLER, "while_reads_are_not_fresh"),
    ),
)
