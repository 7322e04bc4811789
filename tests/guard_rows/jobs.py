# SPDX-License-Identifier: MIT

"""
Guards of jobs: what is accepted, run, listed and read.
"""

from __future__ import annotations

from .guard import (
    DAEMON,
    DECISIONS,
    FOLLOW,
    ITEMS,
    JOBS,
    LIBRARY,
    LOG_FRESHNESS,
    PASS_THROUGH,
    PROCESS_PAUSES,
    PROOFS,
    SEND_AFTER_PAUSE,
    SEND_DEADLINE,
    UNREADABLE,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "items start only with a fresh read of the log",
        f"{DAEMON}/jobs/runner.py",
        "return self._log_freshness.may_start(boot_time())",
        "return True",
        (JOBS, "long_silence"),
    ),
    Guard(
        "no work is sent after a process pause before a read of the log",
        f"{DAEMON}/jobs/log_freshness.py",
        "if read_state.synced_at < read_state.resumed_at:",
        "if False:",
        (PROCESS_PAUSES, "stood_still_sends_nothing"),
    ),
    Guard(
        "a scoring call is made only with a fresh read of the log",
        f"{DAEMON}/jobs/runner.py",
        "lambda: self._log_freshness.may_score(boot_time()),",
        "lambda: True,",
        (PROCESS_PAUSES, "stood_still_sends_nothing"),
    ),
    Guard(
        "a scoring call goes to no second engine without a fresh read of the log",
        f"{DAEMON}/serving/pass_through.py",
        "            attempts,\n            may_begin,\n",
        "            attempts,\n            _always_true,\n",
        (PASS_THROUGH, "no_second_instance"),
    ),
    Guard(
        "a request with an outdated decision is not sent",
        f"{DAEMON}/backends/send_deadline.py",
        "if boot_time() - pending.decided_at > _MAX_SEND_DELAY:",
        "if False:",
        (SEND_DEADLINE, "long_ago"),
    ),
    Guard(
        "a decision's time applies to its own request only",
        f"{DAEMON}/backends/send_deadline.py",
        "_pending.reset(token)",
        "pass",
        (SEND_DEADLINE, "a_later_request"),
    ),
    Guard(
        "no byte of an outdated request is written",
        f"{DAEMON}/backends/send_deadline.py",
        "if boot_time() - pending.decided_at > _MAX_SEND_DELAY:",
        "if False:",
        (SEND_AFTER_PAUSE, "wherever_it_comes"),
    ),
    Guard(
        "the decision to send a request dates from before its check",
        f"{DAEMON}/serving/pass_through.py",
        "engine, current.request, current.remaining, decided_at",
        "engine, current.request, current.remaining, boot_time()",
        (SEND_AFTER_PAUSE, "wherever_it_comes and unrepeatable"),
    ),
    Guard(
        "a process pause is detected when it is queried",
        f"{DAEMON}/process_pauses.py",
        """        self._check()
        return self._ended_at""",
        "        return self._ended_at",
        (LOG_FRESHNESS, "before_any_timer"),
    ),
    Guard(
        "reads of undecodable items back off",
        f"{DAEMON}/jobs/item_loader.py",
        "pause = min(_MAX_PAUSE, 2 * pause)",
        "pass",
        (UNREADABLE, "cannot_be_read_is_logged_once"),
    ),
    Guard(
        "no job is resumed before the replay's end",
        f"{DAEMON}/jobs/runner.py",
        "if not self._jobs.caught_up:",
        "if False:",
        (JOBS, "reads_the_log_anew"),
    ),
    Guard(
        "failed runs count before the log has them",
        f"{DAEMON}/jobs/runner.py",
        "run.failures += 1",
        "run.failures = run.state.failures.get(item_id, 0)",
        (ITEMS, "always_fails"),
    ),
    Guard(
        "the outcome of an unacknowledged append is unknown",
        f"{DAEMON}/jobs/service.py",
        "may_be_logged = True",
        "may_be_logged = False",
        (JOBS, "not_called_not_run"),
    ),
    Guard(
        "an item has one position",
        f"{LIBRARY}/_job_fold.py",
        "if result.item_id not in state.listed:",
        "if True:",
        (PROOFS, "holds_with_its_mechanism and job_positions"),
    ),
    Guard(
        "a checkpoint continues the chain of the one before",
        f"{LIBRARY}/_job_fold.py",
        "record.first == before.count + 1 and record.follows == before.chain",
        "record.first == before.count + 1",
        (PROOFS, "holds_with_its_mechanism and kept_texts"),
    ),
    Guard(
        "an event of outdated weights is rejected",
        f"{LIBRARY}/_event_text.py",
        "event.version is None or event.version < oldest_version",
        "event.version is None",
        (PROOFS, "holds_with_its_mechanism and kept_texts"),
    ),
    Guard(
        "a complete text replaces only a shorter one",
        f"{LIBRARY}/_job_fold.py",
        "record.first == 1 and record.count > before.count",
        "record.first == 1",
        (DECISIONS, "takes_the_place"),
    ),
    Guard(
        "an engine is not silent while the process is paused",
        f"{DAEMON}/jobs/attempt.py",
        "min(elapsed, _MAX_CHECK_INTERVAL)",
        "elapsed",
        ("tests/test_attempt.py", "this_process_is_paused"),
    ),
    Guard(
        "an engine that accepts an item late is not silent until then",
        "platform/engines.py",
        "                on_accepted()\n",
        "",
        ("tests/adapter/test_edge_items.py", "accepted_it_late"),
    ),
    Guard(
        "events read after a pause say nothing about an engine's pace",
        f"{DAEMON}/jobs/attempt.py",
        "last is None or timer.is_catching_up",
        "last is None",
        ("tests/test_attempt.py", "read_after_a_pause"),
    ),
    Guard(
        "a short text does not move for a faster engine",
        f"{DAEMON}/jobs/attempt.py",
        "and now - started_at >= _MIN_STAY_TIME",
        "and received",
        ("tests/test_attempt.py", "short_text"),
    ),
    Guard(
        "a text is rewritten in full if the log holds another run's checkpoint",
        f"{DAEMON}/jobs/item_run.py",
        '            self.persisted, self.persisted_chain = 0, ""\n',
        "            pass\n",
        ("tests/test_item_run.py", "another_run_s"),
    ),
    Guard(
        "a scoring call fails no more often than allowed",
        f"{DAEMON}/jobs/scoring.py",
        "allowed = min(_MAX_INSTANCES, route.max_attempts - failures)",
        "allowed = _MAX_INSTANCES",
        (PASS_THROUGH, "as_often_as"),
    ),
    Guard(
        "a failure that is appended twice counts once",
        f"{LIBRARY}/_job_fold.py",
        "state.failed.add(record)",
        "state.failed.add(ItemFailed(record.job_id, record.item_id,"
        " str(len(state.failed)), record.scoring))",
        (DECISIONS, "counts_once"),
    ),
    Guard(
        "an open job is kept",
        f"{LIBRARY}/_job_fold.py",
        "retention = ended_retention if state.ended else open_retention",
        "retention = ended_retention",
        (DECISIONS, "kept_while_it_is_open"),
    ),
    Guard(
        "texts are read only on request",
        f"{DAEMON}/jobs/service.py",
        "        self._changes.notify(job_id)\n",
        "        self._changes.notify(job_id)\n"
        "        for r in getattr(self._fold.get(job_id), 'results', ()):\n"
        "            asyncio.ensure_future(self._texts.read([r.text]))\n",
        (JOBS, "reads_no_texts"),
    ),
    Guard(
        "a text is split into records that the store accepts",
        f"{DAEMON}/jobs/texts.py",
        "size = self._largest_record",
        "size = max(1, len(text))",
        (ITEMS, "larger_than_a_record"),
    ),
    Guard(
        "a silent engine is not eligible until it answers",
        f"{DAEMON}/jobs/placement.py",
        "if engine in self._unresponsive:",
        "if False:",
        ("tests/test_placement.py", "gone_silent"),
    ),
    Guard(
        "items do not move to an engine that has just gone silent",
        f"{DAEMON}/jobs/placement.py",
        "return not streams or self._paces.silent_for(engine, now) <= _MAX_QUIET",
        "return True",
        ("tests/test_placement.py", "streams_have_stopped"),
    ),
    Guard(
        "a job that is opened twice is taken once",
        f"{LIBRARY}/_job_fold.py",
        "if job.job_id in self._jobs:",
        "if False:",
        (DECISIONS, "opened_twice"),
    ),
    Guard(
        "a reader gets results that were listed since the last read",
        f"{DAEMON}/jobs/service.py",
        "if self._batch_delay() and self.is_store_reachable:",
        "if False:",
        (FOLLOW, "without_the_batch_delay"),
    ),
    Guard(
        "a page of results has the texts that were read in time",
        f"{DAEMON}/jobs/texts.py",
        "if read and missing and boot_time() >= deadline:",
        "if False:",
        ("tests/test_spread_texts.py", "spread_is_read"),
    ),
    Guard(
        "a failed read keeps the texts that were read before it",
        f"{DAEMON}/jobs/texts.py",
        "                if not read:\n                    raise\n",
        "                raise\n",
        ("tests/test_spread_texts.py", "before_a_page_failed"),
    ),
)
