# SPDX-License-Identifier: MIT

"""
Guards of engines: their incarnations, weights and orders, and the placement of items.
"""

from __future__ import annotations

from .guard import (
    DAEMON,
    DECISIONS,
    INCARNATIONS,
    LIBRARY,
    LOST_CONNECTIONS,
    PLACEMENT,
    REGISTRY,
    REQUESTS,
    Guard,
)


__all__ = ["GUARDS"]

_BACKENDS = f"{DAEMON}/backends/client.py"
_BACKEND_ANSWERS = "tests/test_backend_answers.py"

GUARDS = (
    Guard(
        "a draining engine gets nothing",
        f"{LIBRARY}/_engine_directory.py",
        "if entry.service == service and not entry.draining",
        "if entry.service == service",
        (DECISIONS, "draining_engine_is_not_usable"),
    ),
    Guard(
        "entries that expire in a store outage are kept",
        f"{LIBRARY}/_engine_directory.py",
        "            self._missing[engine_id] = (entry, usable_until)",
        "            pass",
        (REQUESTS, "are_bridged"),
    ),
    Guard(
        "the configuration never goes back",
        f"{DAEMON}/cluster/view.py",
        "config.version <= self._config.version",
        "False",
        (REQUESTS, "never_goes_back"),
    ),
    Guard(
        "long texts go to the fastest engines",
        f"{LIBRARY}/_item_placement.py",
        "long_key if is_long else short_key",
        "short_key",
        (PLACEMENT, "fastest_engine"),
    ),
    Guard(
        "short texts avoid the engines of long ones",
        f"{LIBRARY}/_item_placement.py",
        "long_key if is_long else short_key",
        "long_key",
        (PLACEMENT, "no_long_one_runs"),
    ),
    Guard(
        "each further move of a text needs a larger gain",
        f"{LIBRARY}/_item_placement.py",
        " * 2**moves",
        "",
        (PLACEMENT, "only_for_more"),
    ),
    Guard(
        "the state of an engine ends with its incarnation",
        f"{DAEMON}/cluster/view.py",
        """            if incarnation.engine_id == entry.engine_id:
                self.engine_tables.forget(incarnation)
""",
        "            pass\n",
        (INCARNATIONS, "place_at_the_life_before or also_if_its_entry or left_out"),
    ),
    Guard(
        "an engine's start time is part of the key",
        f"{LIBRARY}/_engine_directory.py",
        "return Incarnation(self.engine_id, self.started_at)",
        "return Incarnation(self.engine_id, None)",
        (INCARNATIONS, "is_forgotten or loaded_again"),
    ),
    Guard(
        "requests in flight end with the engine's incarnation",
        f"{DAEMON}/cluster/engine_timeouts.py",
        "            timeout.reschedule(now)\n",
        "            pass\n",
        (INCARNATIONS, "repeated_at_once or answer_at_once or leaves_an_engine"),
    ),
    Guard(
        "a report of another incarnation is ignored",
        f"{DAEMON}/orders/weights.py",
        "if state is None or state.belongs_to(engine):",
        "if True:",
        (INCARNATIONS, "another_life_is_not_credited"),
    ),
    Guard(
        "an entry of an earlier incarnation is ignored",
        f"{LIBRARY}/_engine_directory.py",
        "if is_outdated and engine_id not in self._ids_with_ignored_entry:",
        "if False:",
        (INCARNATIONS, "earlier_life_is_passed_over"),
    ),
    Guard(
        "a wrong start time does not exclude an engine",
        f"{LIBRARY}/_engine_directory.py",
        "if is_outdated and engine_id not in self._ids_with_ignored_entry:",
        "if is_outdated:",
        (INCARNATIONS, "shut_an_engine_out"),
    ),
    Guard(
        "keep-alive connections are to one incarnation",
        "platform/engine_sessions.py",
        "if current is None or current.incarnation != engine.incarnation:",
        "if current is None:",
        ("tests/adapter/test_engine_sessions.py", "one_life"),
    ),
    Guard(
        "an overwritten entry is not an expired one",
        f"{DAEMON}/cluster/view.py",
        "self._drop_engine(entry.key)",
        "self._remove_engine(entry.key, entry.offset)",
        (REGISTRY, "spoilt"),
    ),
    Guard(
        "an entry with an unknown state is rejected",
        "platform/documents.py",
        "    if draining is None:\n",
        "    if False:\n",
        ("tests/adapter/test_documents.py", "another_type_or_range"),
    ),
    Guard(
        "the same reason of a key is logged once",
        "platform/store.py",
        "if self._logged_reasons.get(key) == reason:",
        "if False:",
        (REGISTRY, "logged_once"),
    ),
    Guard(
        "own deployment: each call uses a new connection",
        _BACKENDS,
        "            pending = self._single_use.request(\n",
        "            pending = self._session.request(\n",
        (_BACKEND_ANSWERS, "call"),
    ),
    Guard(
        "own deployment: each completion uses a new connection",
        _BACKENDS,
        "            pending = self._single_use.post(\n                url, json=body",
        "            pending = self._session.post(\n                url, json=body",
        (_BACKEND_ANSWERS, "completion"),
    ),
    Guard(
        "own deployment: each order uses a new connection",
        _BACKENDS,
        "        pending = self._single_use.post(url, json=order",
        "        pending = self._session.post(url, json=order",
        (_BACKEND_ANSWERS, "order"),
    ),
    Guard(
        "own deployment: a reading that repeats another id is refused",
        _BACKENDS,
        "            if response.headers.get(REQUEST_ID_HEADER, send_id) != send_id:\n",
        "            if False:\n",
        (_BACKEND_ANSWERS, "reading"),
    ),
    Guard(
        "lost connections are no absence of the store",
        f"{DAEMON}/gateway.py",
        "if self._store.away_at < self._entries.synced_at:",
        "if False:",
        (LOST_CONNECTIONS, "after_lost_connections"),
    ),
    Guard(
        "an entry that lapsed while the store was away is bridged",
        f"{DAEMON}/cluster/store_watch.py",
        "                self._away_at = boot_time()\n",
        "                pass\n",
        (LOST_CONNECTIONS, "was_away"),
    ),
    Guard(
        "a call over a new connection tells of the store",
        "platform/store.py",
        "        context.trace_request_ctx.is_reused = True\n",
        "        pass\n",
        (LOST_CONNECTIONS, "after_lost_connections"),
    ),
    Guard(
        "an entry that was written late changes nothing",
        f"{LIBRARY}/_engine_directory.py",
        "    return entry.sequence < newest.sequence\n",
        "    return False\n",
        (DECISIONS, "written_late"),
    ),
    Guard(
        "an entry that was written late after its removal changes nothing",
        f"{LIBRARY}/_engine_directory.py",
        " or self._removed.get(engine_id)\n",
        "\n",
        (DECISIONS, "after_its_removal"),
    ),
)
