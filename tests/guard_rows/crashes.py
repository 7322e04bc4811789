# SPDX-License-Identifier: MIT

"""
Guards against poison requests, and for the requests that run beside them.
"""

from __future__ import annotations

from .guard import CRASH_FOLD, CRASH_WATCH, CRASHING, DAEMON, LIBRARY, Guard


__all__ = ["GUARDS"]

_WATCH = f"{DAEMON}/serving/engine_crash_watch.py"
_FOLD = f"{LIBRARY}/_engine_crash_fold.py"

GUARDS = (
    Guard(
        "a quarantined request reaches no engine",
        f"{DAEMON}/serving/engine_choice.py",
        """        if poison_status is PoisonStatus.QUARANTINED:
            return None
""",
        "",
        (CRASHING, "request_that_ends_engines"),
    ),
    Guard(
        "an item is not blamed for engines that it did not reach",
        "platform/engines.py",
        "                GenerationFailedError.UNREACHABLE,\n",
        "                GenerationFailedError.BROKEN,\n",
        ("tests/adapter/test_edge_unreached_engines.py", "did_not_reach"),
    ),
    Guard(
        "a quarantined item reaches no engine",
        f"{DAEMON}/jobs/runner.py",
        """                self._log_quarantined(run)
                continue
""",
        "                self._log_quarantined(run)\n",
        (CRASHING, "item_that_ends_engines"),
    ),
    Guard(
        "engine crashes are reported to all nodes",
        _WATCH,
        "            await append_until_acknowledged("
        "self._log, CONTROL_STREAM, records)\n",
        "",
        (CRASHING, "stood_still"),
    ),
    Guard(
        "engine crashes are known after a restart of all nodes",
        f"{DAEMON}/cluster/leases.py",
        "        self._on_record(record)\n",
        "",
        (CRASHING, "loss_of_all_edges"),
    ),
    Guard(
        "a paused node refreshes known crashes before it judges",
        _WATCH,
        "        return boot_time() - self._leases.last_read_at <= _MAX_READ_AGE\n",
        "        return True\n",
        (CRASHING, "stood_still"),
    ),
    Guard(
        "a cause has had a crash without another suspect",
        _FOLD,
        "if all(crash_counts[other] == 1 for other in crash.requests - {key})\n",
        "if crash_counts\n",
        (CRASH_FOLD, "always_together"),
    ),
    Guard(
        "an explained crash blames no other request",
        _FOLD,
        "            self._crash_counts = crash_counts\n",
        "            self._crash_counts = (\n"
        "                self._crash_counts if self._quarantined else crash_counts\n"
        "            )\n",
        (CRASH_FOLD, "free_once_the_cause"),
    ),
    Guard(
        "an answer clears a request",
        _FOLD,
        "                    crash.requests.difference_update(record.requests)\n",
        "                    pass\n",
        (CRASH_FOLD, "an_answer_clears"),
    ),
    Guard(
        "known engine crashes are bounded in time",
        _FOLD,
        "            if not over_limit and now - oldest.reported_at <= _RETENTION:\n",
        "            if not over_limit:\n",
        (CRASH_FOLD, "bounded_in_time"),
    ),
    Guard(
        "known engine crashes are bounded in count",
        _FOLD,
        "            over_limit = len(self._crashes) > _MAX_CRASHES\n",
        "            over_limit = False\n",
        (CRASH_FOLD, "bounded_in_count"),
    ),
    Guard(
        "only an engine that has exited has crashed",
        _WATCH,
        "        if await self._engines.has_exited(engine):\n",
        "        if await self._engines.has_exited(engine) or True:\n",
        (CRASH_WATCH, "still_serves"),
    ),
    Guard(
        "a request that ran for long is not blamed for a crash",
        _WATCH,
        "if run.started_at <= ended_at <= run.started_at + _CRASH_WINDOW\n",
        "if run.started_at <= ended_at\n",
        (CRASH_WATCH, "ran_for_long"),
    ),
    Guard(
        "an answered request is not blamed for a crash",
        _WATCH,
        """        self._engine_runs.runs.discard(self._run)
        self._watch.clear_request(self._run.key)
""",
        "        self._watch.clear_request(self._run.key)\n",
        (CRASH_WATCH, "answered_before_its_end"),
    ),
    Guard(
        "a timer that fires after a process pause clears nothing",
        _WATCH,
        "if boot_time() - run.started_at <= _CRASH_WINDOW + _TIMER_TOLERANCE:\n",
        "if run.started_at:\n",
        (CRASH_WATCH, "standstill"),
    ),
    Guard(
        "the queue of records for the store is bounded",
        _WATCH,
        "deque[_Record](maxlen=_MAX_PENDING_RECORDS)",
        "deque[_Record]()",
        (CRASH_WATCH, "waits_for_the_store"),
    ),
)
