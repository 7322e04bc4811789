# SPDX-License-Identifier: MIT

"""
Keeps requests that end engines away from them, by what all nodes have seen.
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

#: Longest time from a request's arrival at an engine to the engine's end for which it
#: may be the cause, in seconds; instances were seen to end 0.1 s after the run began.
#: An engine that runs a request for longer is not ended by it, so that texts of many
#: seconds are not blamed for engines that end by themselves.
_SOON = 1.5
#: How late a timer may fire and still show that an engine lived until then, in seconds;
#: after a standstill of this node nothing is known.
_ON_TIME = 0.2
#: Age of the newest question to the log from which it is asked anew before a request is
#: judged, in seconds. A node begins to read this stream every 0.2 s, and a read that is
#: not answered ends after 0.7 s: whoever asked longer ago has stood still. Asked by the
#: age of the answer, a node that was cut off from the store on a calm day held requests
#: up for 0.3 s, and one in 62 was late.
_STALE = 1.5
#: Longest time that a request waits for that, in seconds.
_ASK_LIMIT = 0.3
#: How long records are gathered for one append, in seconds: all requests of an engine
#: break off within some ms.
_GATHER = 0.02
#: Requests in one record, a count: 16 of them take 450 bytes.
_MOST_REQUESTS = 16
#: Records in one append, a count: 14 KB.
_MOST_AT_ONCE = 32
#: Records that wait for the store, a count; the oldest go first. So many come of ends
#: of 16 engines with 16 requests each.
_MOST_WAITING = 256

_Record = EngineCrashed | RequestsCleared


@dataclass(eq=False)
class _Run:
    """
    A request at an engine.

    :param began: Monotonic, in seconds.
    :param left: When it was given up; none while it is there.
    """

    key: str
    began: float
    left: float | None = None
    broke: bool = False


@dataclass(eq=False)
class _Life:
    """
    What this node has and lately had at one life of an engine.

    :param broke_at: When a request broke off; none if none has since it was asked.
    """

    engine: Incarnation | None = None
    runs: set[_Run] = field(default_factory=set)
    broke_at: float | None = None
    is_over: bool = False


class EngineRun:
    """
    Tells the watch what becomes of one request at one engine.
    """

    def __init__(self, watch: EngineCrashWatch, life: _Life, run: _Run) -> None:
        self._watch = watch
        self._life = life
        self._run = run

    def record_completed(self) -> None:
        """
        Note that the engine has run the request and lives.
        """
        self._life.runs.discard(self._run)
        self._watch.note_survived(self._run.key)

    def record_not_started(self) -> None:
        """
        Note that the engine has not begun to run the request.
        """
        self._life.runs.discard(self._run)

    def record_interrupted(self, engine: EngineEntry) -> None:
        """
        Note that the request ended without an answer, and the engine may have as well.
        """
        self._run.broke = True
        self._watch.note_broken(engine, self._life)


class EngineCrashWatch:
    """
    Knows which requests were at which engine when it ended, and tells the other nodes.

    An end is told only when it is certain: the engine's address refuses connections, or
    its entry speaks of a later life. It holds while the store is away for all that was
    known, and is read again from the log after the loss of all nodes.
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
        self._ends = EngineCrashFold()
        self._lives = engine_tables.table(_Life, self._forgotten)
        self._asking: dict[asyncio.Task, _Life] = {}
        self._waiting = deque[_Record](maxlen=_MOST_WAITING)
        self._some = asyncio.Event()
        leases.on_other(self._fold)

    def poison_status(self, key: str) -> PoisonStatus:
        """
        Return what is known of a request, by `request_key`.
        """
        now = boot_time()
        poison_status = self._ends.poison_status(key, now)
        if poison_status is PoisonStatus.QUARANTINED:
            self._tell(self._ends.crashes_to_republish(key, now))
        if poison_status is PoisonStatus.CLEAN and self._has_broken(key):
            return PoisonStatus.SUSPECT
        return poison_status

    def is_current(self) -> bool:
        """
        Whether this node has just asked what others have told, if perhaps in vain.

        Not by whether the store answered the last read: after a standstill its time
        limit is over before the answer that waits there is looked at.
        """
        return boot_time() - self._leases.asked_at <= _STALE

    async def refresh(self) -> None:
        """
        Learn what others have told if this node may have missed it; for a short while.
        """
        if self.is_current():
            return
        try:
            async with asyncio.timeout(_ASK_LIMIT):
                is_known = await self._leases.sync()
        except TimeoutError:
            is_known = False
        if not is_known:
            _log.info("engine_ends_not_asked", known=len(self._ends))

    def engines_with_suspects(self, key: str) -> set[Incarnation]:
        """
        Return the engines that run other suspects of this node's.

        Two suspects at one engine would both be there when it ends.
        """
        return {
            engine
            for engine in self._lives
            if any(self._is_other_suspect(run, key) for run in self._lives[engine].runs)
        }

    @contextmanager
    def track_run(self, engine: Incarnation, key: str) -> Iterator[EngineRun]:
        """
        Have a request watched while it is at an engine.
        """
        life = self._lives[engine]
        life.engine = engine
        run = _Run(key, boot_time())
        life.runs.add(run)
        timer = None
        if self.poison_status(key) is not PoisonStatus.CLEAN:
            timer = asyncio.get_running_loop().call_later(_SOON, self._lasted, run)
        try:
            yield EngineRun(self, life, run)
        finally:
            run.left = boot_time()
            self._drop_old(life)
            if timer is not None:
                timer.cancel()

    def note_survived(self, key: str) -> None:
        """
        Take back what speaks against a request.
        """
        if self._ends.is_implicated(key):
            self._tell([RequestsCleared((key,))])

    def note_broken(self, engine: EngineEntry, life: _Life) -> None:
        """
        Find out whether an engine has ended, once for all that broke off.
        """
        if life.is_over or life.broke_at is not None:
            return
        life.broke_at = boot_time()
        task = asyncio.create_task(self._find_out(engine, life))
        self._asking[task] = life
        task.add_done_callback(self._asking.pop)

    async def run(self) -> None:
        """
        Bring what this node has seen into the log, until cancelled.
        """
        while True:
            await self._some.wait()
            await asyncio.sleep(_GATHER)
            self._some.clear()
            while self._waiting:
                count = min(len(self._waiting), _MOST_AT_ONCE)
                batch = [self._waiting.popleft() for _ in range(count)]
                records = [encode_record(record).encode() for record in batch]
                await append_until_acknowledged(self._log, CONTROL_STREAM, records)

    async def _find_out(self, engine: EngineEntry, life: _Life) -> None:
        if await self._engines.has_exited(engine):
            self._over(life, life.broke_at or boot_time())
        # Whatever breaks off from now on is asked about anew.
        life.broke_at = None

    def _forgotten(self, life: _Life) -> None:
        # Its entry speaks of a later life, or it has been gone for long.
        self._over(life, boot_time())

    def _over(self, life: _Life, ended_at: float) -> None:
        """
        Tell which requests an engine had begun to run just before its end.
        """
        if life.is_over or life.engine is None:
            return
        life.is_over = True
        # Whoever left just before may have begun to run all the same.
        keys = sorted(
            {
                run.key
                for run in life.runs
                if run.began <= ended_at <= run.began + _SOON
                and (run.left is None or run.broke or run.left + _SOON >= ended_at)
            }
        )
        if not keys:
            return
        _log.info("engine_ended", engine=life.engine.engine_id, requests=keys)
        self._tell(
            [
                EngineCrashed(
                    life.engine.engine_id,
                    life.engine.started_at,
                    tuple(keys[first : first + _MOST_REQUESTS]),
                )
                for first in range(0, len(keys), _MOST_REQUESTS)
            ]
        )

    def _tell(self, records: list[_Record]) -> None:
        """
        Know something at once, and have the other nodes know it.
        """
        for record in records:
            self._fold(record)
            if len(self._waiting) == _MOST_WAITING:
                _log.warning("engine_ends_dropped", kept=_MOST_WAITING)
            self._waiting.append(record)
            self._some.set()

    def _fold(self, record: object) -> None:
        self._ends.apply(record, boot_time())

    def _lasted(self, run: _Run) -> None:
        if boot_time() - run.began <= _SOON + _ON_TIME:
            self.note_survived(run.key)

    def _has_broken(self, key: str) -> bool:
        """
        Whether a request broke off at an engine that is being asked.
        """
        return any(
            run.key == key and run.broke
            for life in self._asking.values()
            for run in life.runs
        )

    def _is_other_suspect(self, run: _Run, key: str) -> bool:
        if run.left is not None or run.key == key:
            return False
        return self._ends.poison_status(run.key, boot_time()) is not PoisonStatus.CLEAN

    def _drop_old(self, life: _Life) -> None:
        """
        Forget the runs that left too long ago to be the cause of an end.
        """
        now = boot_time()
        life.runs = {
            run for run in life.runs if run.left is None or run.left + _SOON >= now
        }
