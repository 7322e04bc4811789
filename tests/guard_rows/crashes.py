# SPDX-License-Identifier: MIT

"""
Guards against poison requests, and for the requests that run beside them.
"""

from __future__ import annotations

from .guard import CRASH_FOLD, CRASH_WATCH, CRASHING, DAEMON, JOB_RUNNER, LIBRARY, Guard


__all__ = ["GUARDS"]

_WATCH = f"{DAEMON}/serving/engine_crash_watch.py"
_WRITER = f"{DAEMON}/serving/crash_records.py"
_RUNS = f"{DAEMON}/serving/engine_runs.py"
_ISOLATION = f"{DAEMON}/serving/isolation.py"
_FOLD = f"{LIBRARY}/_engine_crash_fold.py"

_CLAIMS = f"{DAEMON}/serving/start_claims.py"
_CLAIM_FOLD = f"{LIBRARY}/_start_claims.py"
_START_CLAIMS = "tests/test_start_claims.py"

_REPEATED_REPORT = """        if any(proof.engine == incarnation for proof in proofs):
            return
"""

GUARDS = (
    Guard(
        "a quarantined request reaches no engine",
        f"{DAEMON}/serving/engine_choice.py",
        """        if poison_status is PoisonStatus.QUARANTINED:
            return None
""",
        "",
        (CRASH_WATCH, "for_a_quarantined_request"),
    ),
    Guard(
        "engine crashes are reported to all nodes",
        _WRITER,
        "            await append_until_acknowledged("
        "self._log, CONTROL_STREAM, records)\n",
        "",
        (CRASHING, "stood_still"),
    ),
    Guard(
        "engine crashes are known after a restart of all nodes",
        f"{DAEMON}/cluster/leases.py",
        "            observer(record)\n",
        "            pass\n",
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
        "only a crash under an isolated start quarantines",
        _FOLD,
        """        if key is None:
            return
""",
        "        key = key or record.requests[0]\n",
        (CRASH_FOLD, "without_an_isolated_start"),
    ),
    Guard(
        "a repeated report does not renew a quarantine",
        _FOLD,
        _REPEATED_REPORT,
        "        proofs[:] = [p for p in proofs if p.engine != incarnation]\n"
        "        crash.reported_at = now\n",
        (CRASH_FOLD, "although_callers_repeat"),
    ),
    Guard(
        "a repeated report counts as no retry",
        _FOLD,
        _REPEATED_REPORT,
        "",
        (CRASH_FOLD, "retried_three_times"),
    ),
    Guard(
        "a quarantined request is retried",
        _FOLD,
        "    return _RETRY_PAUSE if len(proofs) <= _RETRIES else _LATE_RETRY_PAUSE\n",
        "    return _RETENTION\n",
        (CRASH_FOLD, "retried_three_times"),
    ),
    Guard(
        "a request that crashes engines is retried three times",
        _FOLD,
        "        return _RETENTION\n    return",
        "        return _LATE_RETRY_PAUSE\n    return",
        (CRASH_FOLD, "retried_three_times"),
    ),
    Guard(
        "a crash late after an isolated start ends no retries",
        _FOLD,
        "        is_prompt = not record.late\n",
        "        is_prompt = True\n",
        (CRASH_FOLD, "late_after_the_start"),
    ),
    Guard(
        "a crash that another request explains ends no retries",
        _FOLD,
        "            and (engine in proved_by or crash.requests.isdisjoint(others))\n",
        "",
        (CRASH_FOLD, "count_from_the_third"),
    ),
    Guard(
        "a crash late after an isolated start is reported as such",
        _WATCH,
        "            ended_at - run.started_at > _PROMPT_CRASH for run in suspects\n",
        "            False for run in suspects\n",
        (CRASH_WATCH, "late_after_an_isolated_start"),
    ),
    Guard(
        "an isolated start waits for the end of a burst of crashes",
        _FOLD,
        "        return min(newest + _ISOLATION_PAUSE, own + _MAX_ISOLATION_PAUSE)\n",
        "        return own\n",
        (CRASH_FOLD, "end_of_a_burst"),
    ),
    Guard(
        "a request that delivered events is not blamed for a crash",
        _RUNS,
        "            self.first_event_at = now\n"
        "        self.has_run = now - self.first_event_at > _CLEARING_SPAN\n",
        "            self.first_event_at = now\n",
        (CRASH_WATCH, "delivered_events"),
    ),
    Guard(
        "an isolated request is alone at its engine",
        _ISOLATION,
        "        busy = [e for e in self._runs if not self.is_free(e, key)]\n",
        "        busy = []\n",
        (CRASH_WATCH, "engine_of_its_own"),
    ),
    Guard(
        "an engine under an isolated start gets no other request",
        _ISOLATION,
        "                held.add(engine)\n",
        "                pass\n",
        (CRASH_WATCH, "engine_of_its_own"),
    ),
    Guard(
        "a crash with several suspects is no proof",
        _WATCH,
        "len(keys) == 1 and any(run.is_isolated for run in suspects)\n",
        "any(run.key == keys[0] for run in suspects)\n",
        (CRASH_WATCH, "no_proof"),
    ),
    Guard(
        "an explained crash blames no other request",
        _FOLD,
        "            if not crash.requests.isdisjoint(self._proofs):\n",
        "            if False:\n",
        (CRASH_FOLD, "free_once_the_cause"),
    ),
    Guard(
        "an answer clears a request",
        _FOLD,
        "            crash.requests.difference_update(record.requests)\n",
        "            pass\n",
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
        _RUNS,
        "self.started_at <= now <= self.started_at + window and not self.has_run\n",
        "self.started_at <= now and not self.has_run\n",
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
        _WRITER,
        "deque[CrashRecord](maxlen=_MAX_PENDING_RECORDS)",
        "deque[CrashRecord]()",
        (CRASH_WATCH, "waits_for_the_store"),
    ),
    Guard(
        "a request that may start alone only after its deadline is refused at once",
        f"{DAEMON}/serving/engine_choice.py",
        "if is_isolated and self._crash_watch.isolated_start_at(key) >= deadline:",
        "if False:",
        ("tests/test_pass_through.py", "must_start_alone_later"),
    ),
    Guard(
        "an isolated start is not at an engine that has crashed",
        _ISOLATION,
        "choose([*busy, *ended]) or choose(busy)\n",
        "choose(busy)\n",
        (CRASH_WATCH, "engine_that_has_crashed"),
    ),
    Guard(
        "nodes start a suspect one after the other",
        _WATCH,
        "            return not self._is_in_flight(key) and self._has_claim(key)\n",
        "            return True\n",
        (_START_CLAIMS, "start_a_suspect"),
    ),
    Guard(
        "nodes start in isolation one after the other",
        _WATCH,
        "        return self._claims.may_start(key, patience)\n",
        "        return True\n",
        (_START_CLAIMS, "in_isolation"),
    ),
    Guard(
        "a suspect waits until the engine under it has been checked",
        _WATCH,
        "            now - (engine_runs.interrupted_at or now) < _CHECK_PATIENCE\n",
        "            False\n",
        (CRASH_WATCH, "waits_for_a_quick_check"),
    ),
    Guard(
        "of two claims after the same one the first counts",
        _CLAIM_FOLD,
        "        if known is not None and known.claim_id != record.after:\n",
        "        if False:\n",
        (_START_CLAIMS, "the_first_counts"),
    ),
    Guard(
        "a claim lapses",
        _CLAIM_FOLD,
        "not claim.is_over and now <= claim.read_at + _TERM\n",
        "not claim.is_over\n",
        (_START_CLAIMS, "holder_has_ended"),
    ),
    Guard(
        "a claim ends with the outcome of the start",
        _CLAIM_FOLD,
        "                        self._claims[key].is_over = True\n",
        "                        pass\n",
        (_START_CLAIMS, "ends_with_the_outcome"),
    ),
    Guard(
        "a suspect waits only briefly for the store",
        _CLAIMS,
        "now - wait.since > patience\n",
        "False\n",
        (_START_CLAIMS, "store_is_slow"),
    ),
    Guard(
        "a proved request does not start without a claim",
        _WATCH,
        "            patience = None\n",
        "            patience = _ISOLATED_PATIENCE\n",
        (_START_CLAIMS, "without_a_claim"),
    ),
    Guard(
        "what is remembered of claims is bounded",
        _CLAIM_FOLD,
        "        if len(self._claims) > _MAX_CLAIMS:\n",
        "        if False:\n",
        (_START_CLAIMS, "is_bounded"),
    ),
    Guard(
        "a claim supersedes none that was read meanwhile",
        _CLAIMS,
        "            if not self._is_excluded(key, now)\n",
        "",
        (_START_CLAIMS, "read_meanwhile"),
    ),
    Guard(
        "many requests beside the same crashes do not wait for each other",
        _WATCH,
        "        if engine is None and self._may_start_beside_others(key):\n",
        "        if False:\n",
        ("tests/test_poison_request_machine.py", "many_requests"),
    ),
    Guard(
        "an item waits for no quarantine",
        f"{DAEMON}/jobs/runner.py",
        "return self._crash_watch.choose_unsuspected(choose)",
        "return self._crash_watch.choose_isolated(run.key, choose)",
        (JOB_RUNNER, "whatever_engines_crashed"),
    ),
    Guard(
        "a scoring call is suspected of no crash",
        f"{DAEMON}/jobs/scoring.py",
        "                None,\n",
        "                call.request_id,\n",
        ("tests/adapter/test_edge_withheld_requests.py", "scoring_call_under"),
    ),
    Guard(
        "a request without a key waits for no held engine",
        _WATCH,
        "        return engine if engine is not None else choose(())\n",
        "        return engine\n",
        (CRASH_WATCH, "without_a_key"),
    ),
)
