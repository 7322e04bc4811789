# SPDX-License-Identifier: MIT

"""
Guards of the bounds on what clients take.
"""

from __future__ import annotations

from .guard import DAEMON, EDGE_CROWDS, HTTP_SERVER, LIBRARY, MEMORY_BUDGET, Guard


__all__ = ["GUARDS"]

_BUDGET = f"{LIBRARY}/_memory_budget.py"
_CONNECTION = f"{DAEMON}/http/connection.py"

GUARDS = (
    Guard(
        "large requests leave room to small ones",
        _BUDGET,
        "        return large + wanted <= limits.shared - limits.small\n",
        "        return small + large + wanted <= limits.shared\n",
        (MEMORY_BUDGET, "leave_room or Budget"),
    ),
    Guard(
        "a stalled request loses its memory",
        _BUDGET,
        "return self.waits and now - self.progressed_at >= _STALL_TIME",
        "return False",
        (MEMORY_BUDGET, "longest_stalled"),
    ),
    Guard(
        "a trickle is no progress",
        _BUDGET,
        "if self.unmarked >= _PROGRESS:",
        "if True:",
        (MEMORY_BUDGET, "longest_stalled"),
    ),
    Guard(
        "a body that does not fit is refused before it is read",
        f"{DAEMON}/http/memory.py",
        "if self._announced and not self._memory.take(self._announced):",
        "if False:",
        (EDGE_CROWDS, "stop_short and nowhere"),
    ),
    Guard(
        "chunks take room as they come",
        f"{DAEMON}/http/memory.py",
        "if self._announced is None and not self._memory.take(size):",
        "if False:",
        (EDGE_CROWDS, "without_the_last and train"),
    ),
    Guard(
        "a job takes room before it is decoded",
        "platform/front.py",
        "if not take_room(decoded_json_size(request.body)):",
        "if False:",
        (EDGE_CROWDS, "small_values"),
    ),
    Guard(
        "requests ahead are not read",
        _CONNECTION,
        "return len(self.conn.trailing_data[0]) <= _MAX_AHEAD",
        "return True",
        (EDGE_CROWDS, "ahead_of and nowhere"),
    ),
    Guard(
        "connections are limited",
        f"{DAEMON}/http/pool.py",
        "return len(self._connections) < self._limit or self.evict()",
        "return True",
        (EDGE_CROWDS, "without_a_request and callers-silent"),
    ),
    Guard(
        "without descriptors the idlest connections are closed",
        f"{DAEMON}/http/listener.py",
        "if is_short and self._on_exhausted():",
        "if False:",
        (HTTP_SERVER, "without_descriptors"),
    ),
    Guard(
        "a stop does not wait for a stalled client",
        _CONNECTION,
        "return waits and boot_time() - self._progressed_at >= _STALL_TIME",
        "return False",
        (EDGE_CROWDS, "a_stop_beside"),
    ),
)
