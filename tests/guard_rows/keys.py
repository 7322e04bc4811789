# SPDX-License-Identifier: MIT

"""
Guards of callers' keys, of duties and of time.
"""

from __future__ import annotations

from .guard import (
    CLOCK,
    DAEMON,
    DUTY,
    KEYS,
    LIBRARY,
    STOPS,
    USAGE,
    WORKSPACES,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "no engine gets a key or a caller's workspace header",
        "platform/engines.py",
        "if pair[0].lower() not in own",
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
        "the decided counts are the ones sent",
        f"{DAEMON}/duties/usage_reporter.py",
        "        if decided is not None:\n            return decided\n",
        "        if decided is not None:\n"
        "            return self._book.counted(window)\n",
        (DUTY, "exactly_what_was_decided"),
    ),
    Guard(
        "counts that may not have been written are requeued",
        f"{DAEMON}/duties/usage_counter.py",
        "self._meter.requeue(records)",
        "pass",
        (DUTY, "log_does_not_hold"),
    ),
    Guard(
        "a reporter without an answer gives up its duty",
        f"{DAEMON}/duties/usage_reporter.py",
        "await self._lease.step_aside()",
        "pass",
        (DUTY, "leaves_the_duty"),
    ),
    Guard(
        "the last counts of a stopping node are written",
        f"{DAEMON}/duties/usage.py",
        "        await self._counter.flush()\n",
        "",
        (USAGE, "planned_stop"),
    ),
    Guard(
        "a stopping node leaves the duty at once",
        f"{DAEMON}/duties/usage.py",
        "        await self._lease.release()\n",
        "",
        (USAGE, "planned_stop"),
    ),
    Guard(
        "a node that steps aside leaves the duty to others for a while",
        f"{DAEMON}/duties/lease.py",
        "return not self._released and boot_time() >= self._aside_until",
        "return not self._released",
        ("tests/test_duty_lease.py", "steps_aside"),
    ),
    Guard(
        "a jump of the clock is not accepted at once",
        f"{LIBRARY}/_usage.py",
        "elif now - self._other_since >= _BELIEVED_AFTER:",
        "else:",
        ("tests/test_usage.py", "taken_back"),
    ),
    Guard(
        "a paused edge checks again before it stops",
        "platform/edge.py",
        "if boot_time() > began + _LAME_DUCK and on_time and not front.in_flight:",
        "if boot_time() > began + _LAME_DUCK and not front.in_flight:",
        (STOPS, "stood_still"),
    ),
    Guard(
        "timers count the time of a suspension",
        f"{DAEMON}/_clock.py",
        "        return boot_time()\n",
        "        return super().time()\n",
        (CLOCK, "ends_at_once"),
    ),
)
