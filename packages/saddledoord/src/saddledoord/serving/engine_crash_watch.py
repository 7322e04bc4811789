# SPDX-License-Identifier: MIT

"""
Detects requests that crash engines, and shares what it sees with the other nodes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import structlog

from saddledoor import (
    EngineCrashed,
    EngineCrashFold,
    EngineEntry,
    EngineTables,
    Incarnation,
    PoisonStatus,
    RequestsCleared,
)

from .._clock import boot_time
from ..cluster.leases import LeaseLog
from ..ports import Engines, SharedLog
from .crash_records import CrashRecord, CrashRecordWriter
from .engine_runs import EngineRuns, Run
from .isolation import Choose, Isolation
from .start_claims import StartClaims


__all__ = ["EngineCrashWatch", "EngineRun"]

_log = structlog.get_logger()

#: Longest time from a request's arrival at an engine to the engine's crash for which
#: the request is a suspect, in seconds. Poison requests crash an engine about 0.1 s
#: after they begin to run; texts of many seconds must not be suspected.
_CRASH_WINDOW = 1.5
#: Longest such time for which a crash under an isolated start counts towards the last
#: retry, in seconds. A request that is alone at an engine does not wait there.
_PROMPT_CRASH = 0.4
#: Largest delay of a timer that still shows that an engine was alive, in seconds; after
#: a process pause it shows nothing.
_TIMER_TOLERANCE = 0.2
#: Age of the newest read of the control stream from which the stream is read again
#: before a request is judged, in seconds. It counts from the start of the read, so that
#: an outage of the store does not delay every request.
_MAX_READ_AGE = 1.5
#: Longest time that a request waits for that read, in seconds.
_REFRESH_TIMEOUT = 0.3
#: Longest time that a suspect waits until the engine under it has been checked, in
#: seconds; a crashed one refuses the connection at once.
_CHECK_PATIENCE = 0.03
#: Longest time that a suspect, and a request with an isolated start, waits for a claim
#: while no other node has one, in seconds.
_SUSPECT_PATIENCE = 0.15
_ISOLATED_PATIENCE = 2.0
#: Largest number of requests in one record.
_MAX_REQUESTS_PER_RECORD = 16


class EngineRun:
    """
    Records the result of one request at one engine.
    """

    def __init__(
        self, watch: EngineCrashWatch, engine_runs: EngineRuns, run: Run
    ) -> None:
        self._watch = watch
        self._engine_runs = engine_runs
        self._run = run

    def record_completed(self) -> None:
        """
        Record that the engine ran the request and is alive.
        """
        self._engine_runs.runs.discard(self._run)
        self._watch.clear_request(self._run.key)

    def record_not_started(self) -> None:
        """
        Record that the engine did not start the request.
        """
        self._engine_runs.runs.discard(self._run)

    def record_event(self) -> None:
        """
        Record an event that the engine has just delivered.
        """
        if self._run.record_event(boot_time()):
            self._watch.clear_request(self._run.key)

    def record_interrupted(self, engine: EngineEntry) -> None:
        """
        Record that the request ended without an answer; the engine may have crashed.
        """
        self._run.is_interrupted = True
        self._watch.check_engine(engine, self._engine_runs)


class EngineCrashWatch:
    """
    Tracks which requests were at an engine when it crashed, and reports the crashes.

    A crash is reported when the engine's address refuses connections, its entry names
    a later incarnation, or its entry has been missing for long. Known crashes stay in
    force while the store is unavailable, and are read from the log after all nodes
    have restarted. `PoisonStatus` tells how they affect a request.

    Requests are identified by their keys, as `request_key` returns them. Items of jobs
    and their scoring calls never crash engines by themselves and have none (`None`):
    they are suspected of no crash, and never wait because of one.
    """

    def __init__(
        self,
        engines: Engines,
        engine_tables: EngineTables,
        leases: LeaseLog,
        log: SharedLog,
    ) -> None:
        self._engines = engines
        self._leases = leases
        self._writer = CrashRecordWriter(log)
        self._crashes = EngineCrashFold()
        self._runs = engine_tables.table(EngineRuns, self._on_incarnation_ended)
        self._isolation = Isolation(self._runs, lambda: _CRASH_WINDOW)
        self._claims = StartClaims(leases, log)
        self._checks: dict[asyncio.Task, EngineRuns] = {}
        leases.on_record(self._apply)

    def poison_status(self, key: str | None) -> PoisonStatus:
        """
        Return the poison status of a request.
        """
        if key is None:
            return PoisonStatus.CLEAN
        return self._crashes.poison_status(key, boot_time(), self._interruptions(key))

    def held_engines(self, key: str | None) -> set[Incarnation]:
        """
        Return the engines that are reserved for the isolated starts of other requests.
        """
        return self._isolation.held_engines(key or "")

    def choose_unsuspected(self, choose: Choose) -> EngineEntry | None:
        """
        Return an engine for a request without a key: preferably none that a suspect may
        crash.

        :param choose: Chooses an engine that is not among the given ones.
        """
        risky = self.held_engines(None) | self.engines_with_suspects(None)
        engine = choose(risky) if risky else None
        return engine if engine is not None else choose(())

    def choose_isolated(self, key: str, choose: Choose) -> EngineEntry | None:
        """
        Return an engine for a request with the status ISOLATED, or None if it must
        wait.

        :param choose: Chooses an engine that is not among the given ones.
        """
        if not self._may_start_isolated(key):
            return None
        engine = self._isolation.choose(key, choose)
        if engine is None and self._may_start_beside_others(key):
            engine = choose(())
        # Asked for last, so that no claim waits for an engine.
        if engine is None or not self._has_claim(key):
            return None
        return engine

    def may_start_suspect(self, key: str) -> bool:
        """
        Return whether a request with the status SUSPECT may start: one node starts it,
        once, until it is known whether the engine has crashed.
        """
        if self._crashes.is_suspected(key):
            return not self._is_in_flight(key) and self._has_claim(key)
        # The engine under it is being checked.
        now = boot_time()
        return not any(
            now - (engine_runs.interrupted_at or now) < _CHECK_PATIENCE
            for engine_runs in self._checked_under(key)
        )

    def isolated_start_at(self, key: str) -> float:
        """
        Return the earliest time of an isolated start of a request, monotonic, in
        seconds.
        """
        return self._crashes.isolated_start_at(key)

    def may_start(self, engine: Incarnation, key: str | None) -> bool:
        """
        Return whether a request may be sent to an engine that was chosen for it.

        Other requests may have been sent there since, or its status may have changed.
        """
        if key is None:
            return True
        match self.poison_status(key):
            case PoisonStatus.QUARANTINED:
                return False
            case PoisonStatus.ISOLATED:
                return (
                    self._may_start_isolated(key)
                    and (
                        self._isolation.is_free(engine, key)
                        or self._may_start_beside_others(key)
                    )
                    and self._has_claim(key)
                )
            case PoisonStatus.SUSPECT if not self.may_start_suspect(key):
                return False
            case _:
                return engine not in self._isolation.held_engines(key)

    def is_current(self) -> bool:
        """
        Whether this node has recently read the control stream, answered or not.

        An unanswered read counts, since after a process pause a read times out before
        its answer is processed.
        """
        return boot_time() - self._leases.last_read_at <= _MAX_READ_AGE

    async def refresh(self) -> None:
        """
        Read the control stream if this node may have missed records; wait briefly.
        """
        if self.is_current():
            return
        try:
            async with asyncio.timeout(_REFRESH_TIMEOUT):
                is_synced = await self._leases.sync()
        except TimeoutError:
            is_synced = False
        if not is_synced:
            _log.info("engine_ends_not_asked", known=len(self._crashes))

    def engines_with_suspects(self, key: str | None) -> set[Incarnation]:
        """
        Return the engines at which this node runs suspects other than a request.

        If an engine with two suspects crashes, it is unknown which of them caused it.
        """
        return {
            engine
            for engine in self._runs
            if any(self._is_other_suspect(run, key) for run in self._runs[engine].runs)
        }

    @contextmanager
    def track_run(self, engine: Incarnation, key: str | None) -> Iterator[EngineRun]:
        """
        Track a request while it is at an engine.
        """
        engine_runs = self._runs[engine]
        engine_runs.engine = engine
        if key is None:
            # Not among the runs of the engine, so it is no suspect of the crash.
            yield EngineRun(self, engine_runs, Run("", boot_time()))
            return
        run = Run(key, boot_time())
        timer = None
        poison_status = self.poison_status(key)
        if poison_status is PoisonStatus.ISOLATED:
            run.is_isolated = self._isolation.record_start(engine, key)
            _log.info(
                "isolated_start",
                engine=engine.engine_id,
                content=key,
                alone=run.is_isolated,
            )
        engine_runs.runs.add(run)
        if poison_status is not PoisonStatus.CLEAN:
            self._claims.record_start(key)
            timer = asyncio.get_running_loop().call_later(
                _CRASH_WINDOW, self._check_survival, run
            )
        try:
            yield EngineRun(self, engine_runs, run)
        finally:
            run.finished_at = boot_time()
            engine_runs.drop_old(run.finished_at, _CRASH_WINDOW)
            if timer is not None:
                timer.cancel()

    def clear_request(self, key: str) -> None:
        """
        Clear a request of the crashes that it is suspected of.
        """
        if self._crashes.is_implicated(key):
            self._publish([RequestsCleared((key,))])

    def check_engine(self, engine: EngineEntry, engine_runs: EngineRuns) -> None:
        """
        Check whether an engine has crashed, once for all interrupted requests.
        """
        if engine_runs.has_ended or engine_runs.interrupted_at is not None:
            return
        engine_runs.interrupted_at = boot_time()
        task = asyncio.create_task(self._check_engine(engine, engine_runs))
        self._checks[task] = engine_runs
        task.add_done_callback(self._checks.pop)

    async def run(self) -> None:
        """
        Append pending records to the log, until cancelled.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._writer.run())
            group.create_task(self._claims.run())

    async def _check_engine(self, engine: EngineEntry, engine_runs: EngineRuns) -> None:
        try:
            if await self._engines.has_exited(engine):
                ended_at = engine_runs.interrupted_at or boot_time()
                self._report_crash(engine_runs, ended_at)
        finally:
            # The next interruption starts a new check.
            engine_runs.interrupted_at = None

    def _on_incarnation_ended(self, engine_runs: EngineRuns) -> None:
        """
        Called when the entry names a later incarnation or has been missing for long.
        """
        self._report_crash(engine_runs, boot_time())

    def _report_crash(self, engine_runs: EngineRuns, ended_at: float) -> None:
        """
        Report the requests that an engine received shortly before it crashed.
        """
        if engine_runs.has_ended or engine_runs.engine is None:
            return
        engine_runs.has_ended = True
        # The engine may have started a request that was cancelled just before.
        suspects = [
            run
            for run in engine_runs.runs
            if run.may_cause_crash(ended_at, _CRASH_WINDOW)
            and (
                run.finished_at is None
                or run.is_interrupted
                or run.finished_at + _CRASH_WINDOW >= ended_at
            )
        ]
        keys = sorted({run.key for run in suspects})
        if not keys:
            return
        is_proof = len(keys) == 1 and any(run.is_isolated for run in suspects)
        isolated = keys[0] if is_proof else None
        is_late = is_proof and all(
            ended_at - run.started_at > _PROMPT_CRASH for run in suspects
        )
        _log.info(
            "engine_ended",
            engine=engine_runs.engine.engine_id,
            requests=keys,
            isolated=isolated,
            late=is_late,
            delays=sorted(round(ended_at - run.started_at, 3) for run in suspects),
        )
        self._publish(
            [
                EngineCrashed(
                    engine_runs.engine.engine_id,
                    engine_runs.engine.started_at,
                    tuple(keys[first : first + _MAX_REQUESTS_PER_RECORD]),
                    isolated,
                    is_late,
                )
                for first in range(0, len(keys), _MAX_REQUESTS_PER_RECORD)
            ]
        )

    def _publish(self, records: list[CrashRecord]) -> None:
        """
        Apply records at once and queue them for the log.
        """
        for record in records:
            self._apply(record)
            self._writer.put(record)

    def _apply(self, record: object) -> None:
        self._crashes.apply(record, boot_time())
        self._claims.apply(record)

    def _check_survival(self, run: Run) -> None:
        if boot_time() - run.started_at <= _CRASH_WINDOW + _TIMER_TOLERANCE:
            self.clear_request(run.key)

    def _may_start_isolated(self, key: str) -> bool:
        """
        Whether the pause before an isolated start has passed, and all attempts of the
        request have shown whether they crash their engines.
        """
        if self._interruptions(key) or self._isolation.is_running(key):
            return False
        return boot_time() >= self.isolated_start_at(key)

    def _may_start_beside_others(self, key: str) -> bool:
        """
        Whether a request that was at crashes with many others has waited long enough
        for an engine of its own. A crash under such a start proves nothing.
        """
        return self._crashes.is_suspected(key) and self._isolation.has_waited(key)

    def _has_claim(self, key: str) -> bool:
        """
        Whether no other node may start the request now, as far as the store tells.

        A request that is proved to crash engines does not start without a claim.
        """
        if not self._crashes.is_suspected(key):
            patience = None
        elif self._crashes.poison_status(key, boot_time()) is PoisonStatus.SUSPECT:
            patience = _SUSPECT_PATIENCE
        else:
            patience = _ISOLATED_PATIENCE
        return self._claims.may_start(key, patience)

    def _is_in_flight(self, key: str) -> bool:
        return any(
            run.key == key and run.finished_at is None
            for engine_runs in self._runs.rows()
            for run in engine_runs.runs
        )

    def _checked_under(self, key: str) -> list[EngineRuns]:
        """
        Return the engines that are being checked and at which a request was
        interrupted.
        """
        return [
            engine_runs
            for engine_runs in self._checks.values()
            if any(run.key == key and run.is_interrupted for run in engine_runs.runs)
        ]

    def _interruptions(self, key: str) -> int:
        return len(self._checked_under(key))

    def _is_other_suspect(self, run: Run, key: str) -> bool:
        if run.finished_at is not None or run.key == key:
            return False
        return (
            self._crashes.poison_status(run.key, boot_time()) is not PoisonStatus.CLEAN
        )
