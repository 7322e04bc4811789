# SPDX-License-Identifier: MIT

"""
Guards of engines against requests that end them, and of the requests beside these.
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
        'GenerationFailedError.UNREACHABLE, f"not connected',
        'GenerationFailedError.BROKEN, f"not connected',
        ("tests/adapter/test_edge_unreached_engines.py", "did_not_reach"),
    ),
    Guard(
        "a quarantined item reaches no engine",
        f"{DAEMON}/jobs/runner.py",
        """                self._log_barred(run)
                continue
""",
        "                self._log_barred(run)\n",
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
        "        self._other(record)\n",
        "",
        (CRASHING, "loss_of_all_edges"),
    ),
    Guard(
        "a paused node refreshes known crashes before it judges",
        _WATCH,
        "        return boot_time() - self._leases.asked_at <= _STALE\n",
        "        return True\n",
        (CRASHING, "stood_still"),
    ),
    Guard(
        "a cause has had a crash without another suspect",
        _FOLD,
        "if all(counts[other] == 1 for other in end.requests - {key})\n",
        "if counts\n",
        (CRASH_FOLD, "always_together"),
    ),
    Guard(
        "an explained crash blames no other request",
        _FOLD,
        "            self._blame = counts\n",
        "            self._blame = self._blame if self._barred else counts\n",
        (CRASH_FOLD, "free_once_the_cause"),
    ),
    Guard(
        "an answer clears a request",
        _FOLD,
        "                    end.requests.difference_update(record.requests)\n",
        "                    pass\n",
        (CRASH_FOLD, "an_answer_clears"),
    ),
    Guard(
        "known engine crashes are bounded in time",
        _FOLD,
        "            if not too_many and now - oldest.told_at <= _REMEMBER:\n",
        "            if not too_many:\n",
        (CRASH_FOLD, "bounded_in_time"),
    ),
    Guard(
        "known engine crashes are bounded in count",
        _FOLD,
        "            too_many = len(self._ends) > _MOST_ENDS\n",
        "            too_many = False\n",
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
        "                if run.began <= ended_at <= run.began + _SOON\n",
        "                if run.began <= ended_at\n",
        (CRASH_WATCH, "ran_for_long"),
    ),
    Guard(
        "an answered request is not blamed for a crash",
        _WATCH,
        """        self._life.runs.discard(self._run)
        self._watch.note_survived(self._run.key)
""",
        "        self._watch.note_survived(self._run.key)\n",
        (CRASH_WATCH, "answered_before_its_end"),
    ),
    Guard(
        "a timer that fires after a process pause clears nothing",
        _WATCH,
        "        if boot_time() - run.began <= _SOON + _ON_TIME:\n",
        "        if run.began:\n",
        (CRASH_WATCH, "standstill"),
    ),
    Guard(
        "the queue of records for the store is bounded",
        _WATCH,
        "deque[_Record](maxlen=_MOST_WAITING)",
        "deque[_Record]()",
        (CRASH_WATCH, "waits_for_the_store"),
    ),
)
