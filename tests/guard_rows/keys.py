# SPDX-License-Identifier: MIT

"""
Guards of callers' keys, of duties and of time.
"""

from __future__ import annotations

from .guard import (
    CLOCK,
    DAEMON,
    DUTY,
    HTTP_SERVER,
    KEYS,
    LIBRARY,
    PLANNED_STOPS,
    USAGE,
    WORKSPACES,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "engines get neither a caller's key nor its workspace header",
        "platform/engines.py",
        "if pair[0].lower() not in replaced",
        "if True",
        (KEYS, "in_place_of_the_key"),
    ),
    Guard(
        "items run for their job's workspace",
        f"{DAEMON}/jobs/item_run.py",
        "workspace=job.workspace,",
        "workspace=None,",
        (KEYS, "items_run_for"),
    ),
    Guard(
        "a key that other nodes may know is not called unknown",
        f"{LIBRARY}/_workspaces.py",
        "if age > bounds.propagation_limit:",
        "if False:",
        (KEYS, "calls_no_key_unknown"),
    ),
    Guard(
        "strict revocation serves nobody with stale keys",
        f"{LIBRARY}/_workspaces.py",
        "if bounds.revocation_limit is not None and age > bounds.revocation_limit:",
        "if False:",
        (KEYS, "strict_edge"),
    ),
    Guard(
        "a job is unknown to other workspaces",
        f"{LIBRARY}/_jobs.py",
        "return not self.workspace or workspace in (None, self.workspace)",
        "return True",
        (KEYS, "unknown_to_other"),
    ),
    Guard(
        "a key belongs to one workspace",
        f"{LIBRARY}/_workspaces.py",
        "if other is not workspace:",
        "if False:",
        (WORKSPACES, "of_two_workspaces"),
    ),
    Guard(
        "a window is decided once",
        f"{LIBRARY}/_usage.py",
        "self._decided.setdefault(window, dict(counts))",
        "self._decided[window] = dict(counts)",
        ("tests/test_usage.py", "first_decision"),
    ),
    Guard(
        "the decided counts are reported",
        f"{DAEMON}/duties/usage_reporter.py",
        "        if decided is not None:\n            return decided\n",
        "        if decided is not None:\n"
        "            return self._fold.counted(window)\n",
        (DUTY, "exactly_what_was_decided"),
    ),
    Guard(
        "counts of an unacknowledged append are written again",
        f"{DAEMON}/duties/usage_counter.py",
        "self._meter.requeue(records)",
        "pass",
        (DUTY, "log_does_not_hold"),
    ),
    Guard(
        "a lease holder without answers backs off",
        f"{DAEMON}/duties/usage_reporter.py",
        "await self._lease.back_off()",
        "pass",
        (DUTY, "leaves_the_duty"),
    ),
    Guard(
        "a stopping node writes its last counts",
        f"{DAEMON}/duties/usage.py",
        "        await self._counter.flush()\n",
        "",
        (USAGE, "planned_stop"),
    ),
    Guard(
        "a stopping node releases the lease of the duty",
        f"{DAEMON}/duties/usage.py",
        "        await self._lease.release()\n",
        "",
        (USAGE, "planned_stop"),
    ),
    Guard(
        "a node that backs off does not claim the lease for a while",
        f"{DAEMON}/duties/lease.py",
        "return not self._released and boot_time() >= self._backoff_until",
        "return not self._released",
        ("tests/test_duty_lease.py", "steps_aside"),
    ),
    Guard(
        "a jump of the clock is not accepted at once",
        f"{LIBRARY}/_usage.py",
        "elif now - self._jump_since >= _JUMP_ACCEPTED_AFTER:",
        "else:",
        ("tests/test_usage.py", "taken_back"),
    ),
    Guard(
        "requests in flight at the end of the grace time are answered",
        "platform/edge.py",
        "    front.give_up()\n",
        "",
        (PLANNED_STOPS, "end_of_the_grace_time"),
    ),
    Guard(
        "a closed listener leaves no connection in its backlog",
        f"{DAEMON}/http/listener.py",
        "        self._accept_pending(_BACKLOG)\n        if self._retry",
        "        if self._retry",
        (HTTP_SERVER, "over_a_new_connection"),
    ),
    Guard(
        "a server waits for connections that it has just accepted",
        f"{DAEMON}/http/server.py",
        "if any(acceptor.connecting for acceptor in self._acceptors):",
        "if False:",
        (HTTP_SERVER, "over_a_new_connection"),
    ),
    Guard(
        "a server waits for the first request of a new connection",
        f"{DAEMON}/http/connection.py",
        "return age < _FIRST_REQUEST_TIMEOUT or self._has_partial_head",
        "return False",
        (HTTP_SERVER, "follows_its_connection"),
    ),
    Guard(
        "a server closes no connection with unread input",
        f"{DAEMON}/http/server.py",
        "return not self._has_unread_input()",
        "return True",
        (HTTP_SERVER, "over_a_kept_connection"),
    ),
    Guard(
        "timers count the time of a suspension",
        f"{DAEMON}/_clock.py",
        "        return boot_time()\n",
        "        return super().time()\n",
        (CLOCK, "ends_at_once"),
    ),
)
