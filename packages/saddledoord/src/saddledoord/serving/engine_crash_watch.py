# SPDX-License-Identifier: MIT

"""
Detects requests that crash engines, and shares what it sees with the other nodes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import structlog

from saddledoor import (
    EngineCrashed,
    EngineCrashFold,
    EngineEntry,
    EngineTables,
    Incarnation,
    PoisonStatus,
    RequestsCleared,
    encode_record,
)

from .._clock import boot_time
from ..cluster.leases import CONTROL_STREAM, LeaseLog
from ..jobs.appending import append_until_acknowledged
from ..ports import Engines, SharedLog


__all__ = ["EngineCrashWatch", "EngineRun"]

_log = structlog.get_logger()

#: Longest time from a request's arrival at an engine to the engine's crash for which
#: the request is a suspect, in seconds.
_CRASH_WINDOW = 1.5
#: Largest delay of a timer that still shows that an engine was alive, in seconds; after
#: a process pause it shows nothing.
_TIMER_TOLERANCE = 0.2
#: Age of the newest read of the control stream from which the stream is read again
#: before a request is judged, in seconds. It counts from the start of the read, so that
#: an outage of the store does not delay every request.
_MAX_READ_AGE = 1.5
#: Longest time that a request waits for that read, in seconds.
_REFRESH_TIMEOUT = 0.3
#: How long records are collected for one append, in seconds; all requests of an engine
#: are interrupted at nearly the same time.
_BATCH_DELAY = 0.02
#: Largest number of requests in one record.
_MAX_REQUESTS_PER_RECORD = 16
#: Largest number of records in one append.
_MAX_RECORDS_PER_APPEND = 32
#: Largest number of records that wait for the store; the oldest are dropped first.
_MAX_PENDING_RECORDS = 256

_Record = EngineCrashed | RequestsCleared


@dataclass(eq=False)
class _Run:
    """
    A request that was sent to an engine.

    :param started_at: When it was sent, monotonic, in seconds.
    :param finished_at: When the attempt ended; None while it runs.
    :param is_interrupted: Whether the attempt ended without an answer.
    """

    key: str
    started_at: float
    finished_at: float | None = None
    is_interrupted: bool = False


@dataclass(eq=False)
class _EngineRuns:
    """
    The requests that this node has or recently had at one incarnation of an engine.

    :param engine: The incarnation; None before its first request.
    :param interrupted_at: When the request was interrupted for which the engine is
        being checked, monotonic, in seconds; None while no check runs.
    :param has_ended: Whether the incarnation has ended.
    """

    engine: Incarnation | None = None
    runs: set[_Run] = field(default_factory=set)
    interrupted_at: float | None = None
    has_ended: bool = False


class EngineRun:
    """
    Records the result of one request at one engine.
    """

    def __init__(
        self, watch: EngineCrashWatch, engine_runs: _EngineRuns, run: _Run
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
        self._log = log
        self._crashes = EngineCrashFold()
        self._runs = engine_tables.table(_EngineRuns, self._on_incarnation_ended)
        self._checks: dict[asyncio.Task, _EngineRuns] = {}
        self._pending = deque[_Record](maxlen=_MAX_PENDING_RECORDS)
        self._has_pending = asyncio.Event()
        leases.on_record(self._apply)

    def poison_status(self, key: str) -> PoisonStatus:
        """
        Return the poison status of a request.

        Crashes of a quarantined request that the log may lose are appended again.

        :param key: As `request_key` returns it.
        """
        now = boot_time()
        poison_status = self._crashes.poison_status(key, now)
        if poison_status is PoisonStatus.QUARANTINED:
            self._publish(self._crashes.crashes_to_republish(key, now))
        if poison_status is PoisonStatus.CLEAN and self._is_interrupted(key):
            return PoisonStatus.SUSPECT
        return poison_status

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

    def engines_with_suspects(self, key: str) -> set[Incarnation]:
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
    def track_run(self, engine: Incarnation, key: str) -> Iterator[EngineRun]:
        """
        Track a request while it is at an engine.
        """
        engine_runs = self._runs[engine]
        engine_runs.engine = engine
        run = _Run(key, boot_time())
        engine_runs.runs.add(run)
        timer = None
        if self.poison_status(key) is not PoisonStatus.CLEAN:
            timer = asyncio.get_running_loop().call_later(
                _CRASH_WINDOW, self._check_survival, run
            )
        try:
            yield EngineRun(self, engine_runs, run)
        finally:
            run.finished_at = boot_time()
            self._drop_old_runs(engine_runs)
            if timer is not None:
                timer.cancel()

    def clear_request(self, key: str) -> None:
        """
        Clear a request of the crashes that it is suspected of.
        """
        if self._crashes.is_implicated(key):
            self._publish([RequestsCleared((key,))])

    def check_engine(self, engine: EngineEntry, engine_runs: _EngineRuns) -> None:
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
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(_BATCH_DELAY)
            self._has_pending.clear()
            while self._pending:
                count = min(len(self._pending), _MAX_RECORDS_PER_APPEND)
                batch = [self._pending.popleft() for _ in range(count)]
                records = [encode_record(record).encode() for record in batch]
                await append_until_acknowledged(self._log, CONTROL_STREAM, records)

    async def _check_engine(
        self, engine: EngineEntry, engine_runs: _EngineRuns
    ) -> None:
        if await self._engines.has_exited(engine):
            self._report_crash(engine_runs, engine_runs.interrupted_at or boot_time())
        # The next interruption starts a new check.
        engine_runs.interrupted_at = None

    def _on_incarnation_ended(self, engine_runs: _EngineRuns) -> None:
        """
        Called when the entry names a later incarnation or has been missing for long.
        """
        self._report_crash(engine_runs, boot_time())

    def _report_crash(self, engine_runs: _EngineRuns, ended_at: float) -> None:
        """
        Report the requests that an engine received shortly before it crashed.
        """
        if engine_runs.has_ended or engine_runs.engine is None:
            return
        engine_runs.has_ended = True
        # The engine may have started a request that was cancelled just before.
        keys = sorted(
            {
                run.key
                for run in engine_runs.runs
                if run.started_at <= ended_at <= run.started_at + _CRASH_WINDOW
                and (
                    run.finished_at is None
                    or run.is_interrupted
                    or run.finished_at + _CRASH_WINDOW >= ended_at
                )
            }
        )
        if not keys:
            return
        _log.info("engine_ended", engine=engine_runs.engine.engine_id, requests=keys)
        self._publish(
            [
                EngineCrashed(
                    engine_runs.engine.engine_id,
                    engine_runs.engine.started_at,
                    tuple(keys[first : first + _MAX_REQUESTS_PER_RECORD]),
                )
                for first in range(0, len(keys), _MAX_REQUESTS_PER_RECORD)
            ]
        )

    def _publish(self, records: list[_Record]) -> None:
        """
        Apply records at once and queue them for the log.
        """
        for record in records:
            self._apply(record)
            if len(self._pending) == _MAX_PENDING_RECORDS:
                _log.warning("engine_ends_dropped", kept=_MAX_PENDING_RECORDS)
            self._pending.append(record)
            self._has_pending.set()

    def _apply(self, record: object) -> None:
        self._crashes.apply(record, boot_time())

    def _check_survival(self, run: _Run) -> None:
        if boot_time() - run.started_at <= _CRASH_WINDOW + _TIMER_TOLERANCE:
            self.clear_request(run.key)

    def _is_interrupted(self, key: str) -> bool:
        """
        Whether a request was interrupted at an engine that is being checked.
        """
        return any(
            run.key == key and run.is_interrupted
            for engine_runs in self._checks.values()
            for run in engine_runs.runs
        )

    def _is_other_suspect(self, run: _Run, key: str) -> bool:
        if run.finished_at is not None or run.key == key:
            return False
        return (
            self._crashes.poison_status(run.key, boot_time()) is not PoisonStatus.CLEAN
        )

    def _drop_old_runs(self, engine_runs: _EngineRuns) -> None:
        """
        Drop the requests that ended too long ago to be suspects.
        """
        now = boot_time()
        engine_runs.runs = {
            run
            for run in engine_runs.runs
            if run.finished_at is None or run.finished_at + _CRASH_WINDOW >= now
        }
