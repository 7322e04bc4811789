# SPDX-License-Identifier: MIT

"""
Puts the gateway together: pass-through, batch jobs and orders over one shared log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import structlog

from saddledoor import (
    JobFold,
    KeyFreshnessBounds,
    ResultCode,
    RouteKind,
    UsageWindows,
    least_outstanding_rendezvous,
)

from ._clock import boot_time
from .cluster.change_notifier import ChangeNotifier
from .cluster.engine_timeouts import EngineTimeouts
from .cluster.follow import RegistryFollower
from .cluster.leases import LeaseLog
from .cluster.store_watch import StoreWatch, WatchedLog, WatchedRegistry
from .cluster.view import ClusterView
from .cluster.work_shares import WorkShares
from .duties.lease import DutyLease
from .duties.usage import UsageDuty
from .jobs.attempt import AttemptRunner
from .jobs.log_freshness import LogFreshness, LogReadState
from .jobs.placement import Placement
from .jobs.record_writer import RecordWriter
from .jobs.runner import JobRunner
from .jobs.scoring import Scorer
from .jobs.service import JobService
from .jobs.texts import TextStore
from .orders.weights import WeightUpdater
from .ports import DutyCalls, Engines, Registry, SharedLog
from .process_pauses import ProcessPauses
from .serving.admission import Admission
from .serving.engine_crash_watch import EngineCrashWatch
from .serving.pace import EnginePaces
from .serving.pass_through import PassThrough
from .serving.pool import EnginePool
from .serving.unresponsive_engines import UnresponsiveEngines


__all__ = ["Gateway", "GatewayPorts", "GatewaySettings"]

_log = structlog.get_logger()

#: Silence of the store after which a node asks for no more callers, in seconds: it can
#: take no job and has to send its readers away. In calm times a heartbeat is answered
#: each 0.2 s; a store that is slowed down 60 times adds 0.24 s.
_ALONE = 0.8
#: How long a share that was lost waits for the last events of its items to reach the
#: log, in seconds; a calm store takes 0.04 s.
_HAND_OVER_LIMIT = 0.3
#: Pause before a stopping node tries the store again, in seconds.
_RETRY = 0.1
#: How long a stopping node gives its last records to reach the log, in seconds.
_FLUSH_LIMIT = 1.5


@dataclass(frozen=True)
class GatewaySettings:
    """
    What a node knows before it reads anything.

    :param vm: Name of the VM.
    :param address: Its IP address; a VM that takes another's place has another one.
    :param cores: Processor time that it has, as a share of one core's.
    :param lease_term: Of the lease for orders, in seconds.
    :param largest_record: Largest record of the log, in bytes.
    :param largest_append: Largest append to the log, in bytes.
    :param cancel_limit: After this long no item of an ended job may reach an engine, in
        seconds.
    :param result_retention: Age up to which an ended job may be read, in seconds.
    :param retention: Age up to which the log keeps records, in seconds.
    :param key_bounds: How old what it knows of keys may be.
    :param usage: Windows of the usage that is reported; none if none is.
    """

    vm: str
    address: str
    cores: float
    lease_term: float
    largest_record: int
    largest_append: int
    cancel_limit: float
    result_retention: float
    retention: float
    key_bounds: KeyFreshnessBounds
    usage: UsageWindows | None = None


@dataclass(frozen=True)
class GatewayPorts:
    """
    The outside world, by adapters.

    :param operator: Configurations and named versions.
    :param entries: What engines write of themselves.
    :param reconnect: Has new connections to the store used from now on.
    :param duties: Calls to the platform, if it asks for any.
    """

    log: SharedLog
    operator: Registry
    entries: Registry
    engines: Engines
    reconnect: Callable[[], None]
    duties: DutyCalls | None = None


class Gateway:
    """
    One node's part of the service.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: GatewayPorts,
        count: Callable[[str, ResultCode, float], None],
    ) -> None:
        self._stopping = False
        self._tasks: list[asyncio.Task] = []
        self._standstills = ProcessPauses()
        self.view = ClusterView()
        view = self.view
        self._store = StoreWatch(ports.reconnect)
        log = WatchedLog(ports.log, self._store)
        self._operator = RegistryFollower(
            WatchedRegistry(ports.operator, self._store),
            "operator",
            view.apply_operator,
        )
        self._entries = RegistryFollower(
            WatchedRegistry(ports.entries, self._store),
            "engines",
            self._apply_engine,
            view.retain_engines,
            view.store_reached,
        )
        pool = EnginePool(self.view, least_outstanding_rendezvous(settings.vm))
        lives = EngineTimeouts(self.view)
        self.admission = Admission(
            view, lambda: self._operator.synced_at, settings.key_bounds
        )
        self._leases = LeaseLog(log, f"{settings.vm}@{settings.address}")
        self._ends = EngineCrashWatch(
            ports.engines, self.view.engine_tables, self._leases, log
        )
        self.pass_through = PassThrough(
            self.view,
            pool,
            ports.engines,
            lives,
            self._ends,
            self.admission,
            count,
            self._count_usage,
            self._standstills.read_delay,
        )
        book = JobFold()
        texts = TextStore(log, settings.largest_record, settings.largest_append)
        self.jobs = JobService(
            log,
            book,
            texts,
            ChangeNotifier(),
            settings.result_retention,
            settings.retention,
            self._store_is_silent,
            lambda: self._shares.any_held,
        )
        self._writer = RecordWriter(log, texts)
        self._shares = WorkShares(
            self._leases,
            self._wanted_shares,
            self._read_on,
            self._shares_changed,
            settings.cores,
        )
        paces = EnginePaces(self.view.engine_tables)
        silent = UnresponsiveEngines(ports.engines, self.view.engine_tables)
        placement = Placement(self.view, pool, paces, silent)
        self._log_freshness = LogFreshness(self._log_read_state, settings.cancel_limit)
        self._runner = JobRunner(
            self.jobs,
            self.view,
            pool,
            silent,
            placement,
            AttemptRunner(ports.engines, paces, placement, lives, self._ends),
            self._ends,
            self._writer,
            texts,
            Scorer(self.view, self.pass_through),
            self._shares.owns,
            self._log_freshness,
        )
        self.jobs.on_change(self._wake)
        self._lease = DutyLease(self._leases, "orders", settings.lease_term)
        self._usage: UsageDuty | None = None
        if ports.duties is not None and settings.usage is not None:
            lease = DutyLease(self._leases, "usage", settings.lease_term)
            self._usage = UsageDuty(
                log, ports.duties, lease, settings.usage, settings.vm, settings.address
            )
        self._weights = WeightUpdater(
            self.view,
            ports.engines,
            lives,
            self._lease,
            settings.vm,
            self._keep_runs,
            book.oldest_allowed,
        )

    @property
    def ready(self) -> bool:
        """
        Whether this node should get callers.
        """
        engines_known = self._entries.known
        caught_up = self.jobs.caught_up and self._leases.caught_up
        known = self.view.config is not None and engines_known and caught_up
        return known and not self._store_is_silent() and not self._stopping

    @property
    def stopping(self) -> bool:
        """
        Whether a planned stop has begun.
        """
        return self._stopping

    def skipped_records(self) -> dict[str, int]:
        """
        Return how many records of the store could not be used, by what they hold.
        """
        return {
            "operator": self._operator.skipped,
            "engines": self._entries.skipped,
            "leases": self._leases.skipped,
            "jobs": self.jobs.skipped,
            "texts": self.jobs.unreadable_texts,
            "items": self._runner.unreadable_items,
        }

    @property
    def pause_count(self) -> int:
        """
        Times that this process has stood still, a count.
        """
        return self._standstills.count

    def set_bounds(
        self,
        cancel_limit: float,
        result_retention: float,
        retention: float,
        key_bounds: KeyFreshnessBounds,
    ) -> None:
        """
        Change bounds while the node runs; see `GatewaySettings`.
        """
        self.admission.set_bounds(key_bounds)
        self._log_freshness.set_cancel_limit(cancel_limit)
        self.jobs.set_retention(result_retention, retention)

    def start(self, failed: Callable[[BaseException], None]) -> None:
        """
        Start the loops.

        :param failed: Called when one of them ended by a fault.
        """
        loops: list[Coroutine] = [
            self._standstills.run(),
            self._operator.run(),
            self._entries.run(),
            self.jobs.run(),
            self._writer.run(),
            self._leases.run(),
            self._ends.run(),
            self._shares.run(),
            self._runner.run(),
            self._runner.persist(),
            self._lease.run(),
            self._weights.run(),
        ]
        if self._usage is not None:
            loops += self._usage.loops()
        for loop in loops:
            task = asyncio.create_task(loop)
            task.add_done_callback(lambda task: _report(task, failed))
            self._tasks.append(task)

    async def stop(self, store_timeout: float) -> None:
        """
        Hand over what this node has: its jobs and its lease.

        Its items run on while the store is away: nobody could take them over, and what
        they have made of their texts would be lost (ten items of one step, 4 s each,
        in a play with an outage among planned stops).

        :param store_timeout: Longest wait for the store, in seconds.
        """
        self._stopping = True
        began = boot_time()
        while not await self.jobs.sync() and boot_time() < began + store_timeout:
            await asyncio.sleep(_RETRY)
        self._runner.hand_over()
        flushed = await self._writer.flushed(_FLUSH_LIMIT)
        await self._shares.release()
        await asyncio.gather(self._lease.release(), self._release_usage())
        _log.info("handed_over", flushed=flushed, seconds=round(boot_time() - began, 3))

    async def close(self) -> None:
        """
        Write the last counts, and end the loops.
        """
        if self._usage is not None:
            await self._usage.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _release_usage(self) -> None:
        if self._usage is not None:
            await self._usage.release()

    def _count_usage(self, workspace: str, began_at: float) -> None:
        if self._usage is not None:
            self._usage.count(workspace, began_at)

    def _store_is_silent(self) -> bool:
        return boot_time() - self._store.answered_at > _ALONE

    def _log_read_state(self) -> LogReadState:
        return LogReadState(
            self.jobs.synced_at,
            self.jobs.store_reached,
            self._standstills.ended_at,
        )

    def _wanted_shares(self) -> set[str]:
        open_jobs = self.jobs.open_jobs()
        return self.view.shares() | {self.view.share_of(s.job) for s in open_jobs}

    async def _read_on(self) -> None:
        """
        Learn what the node before has left; one that was cut off does not know it.
        """
        await self.jobs.sync()

    async def _shares_changed(self) -> None:
        """
        Take up what is new, let go what others run now, and leave them what was made.
        """
        self._runner.drop_unowned()
        self._runner.wake()
        await self._writer.flushed(_HAND_OVER_LIMIT)

    def _wake(self) -> None:
        self._runner.wake()

    def _apply_engine(self, entry) -> None:
        self.view.apply_engine(entry)
        self._wake()

    def _keep_runs(self, model: str) -> bool:
        """
        Whether no route of a model's jobs asks for texts of a single version.
        """
        config = self.view.config
        if config is None:
            return True
        services = {s.name for s in config.services.values() if model in s.models}
        return not any(
            route.single_version
            for route in config.routes
            if route.kind is RouteKind.JOB
            and any(share.service in services for share in route.shares)
        )


def _report(task: asyncio.Task, failed: Callable[[BaseException], None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        failed(task.exception())
