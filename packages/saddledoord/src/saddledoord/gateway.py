# SPDX-License-Identifier: MIT

"""
Builds the gateway: pass-through, batch jobs and weight orders over one shared log.

The platform's entry VMs run `Gateway`. `_daemon.Daemon` is a separate server, which
does not use it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import structlog

from saddledoor import (
    Denial,
    EngineEntry,
    GatewayService,
    JobFold,
    KeyFreshnessBounds,
    ResultCode,
    RouteKind,
    least_outstanding_rendezvous,
)

from ._clock import boot_time
from .cluster.change_notifier import ChangeNotifier
from .cluster.engine_timeouts import EngineTimeouts
from .cluster.evacuations import EvacuationKnowledge, RegistryReadState
from .cluster.follow import RegistryFollower
from .cluster.lease_snapshots import LeaseSnapshotWriter
from .cluster.leases import LeaseLog
from .cluster.retention import log_short_retention
from .cluster.store_watch import StoreWatch, WatchedLog, WatchedRegistry
from .cluster.view import ClusterView
from .cluster.work_shares import WorkShares
from .duties.lease import DutyLease
from .duties.usage import UsageDuty
from .gateway_settings import GatewayPorts, GatewaySettings
from .jobs.attempt import AttemptRunner
from .jobs.log_freshness import LogFreshness, LogReadState
from .jobs.placement import Placement
from .jobs.record_writer import RecordWriter
from .jobs.runner import JobRunner
from .jobs.scoring import Scorer
from .jobs.service import JobService
from .jobs.texts import TextStore
from .orders.weights import WeightUpdater
from .ports import KeyedEntry
from .process_pauses import ProcessPauses
from .scaling.controller import ReadState, ScalingController
from .scaling.duty import ScalingDuty
from .scaling.leaving import LeavingEngines
from .serving.admission import Admission
from .serving.cold_engines import ColdEngines, ColdPermission
from .serving.engine_crash_watch import EngineCrashWatch
from .serving.gate import SendGate, SendSettings
from .serving.pace import EnginePaces
from .serving.pass_through import PassThrough
from .serving.pool import EnginePool
from .serving.unresponsive_engines import UnresponsiveEngines
from .supervision import Loop, keep_running


__all__ = ["Gateway", "GatewayPorts", "GatewaySettings"]

_log = structlog.get_logger()

#: Time without an answer of the store after which a node is not ready, in seconds: it
#: can then accept no job. A read that waits is answered every 0.2 s, and a store that
#: is slowed down 60 times adds 0.24 s.
_MAX_STORE_SILENCE = 0.8
#: Longest wait for the records of a share that was lost to be appended, in seconds; a
#: store without trouble takes 0.04 s.
_HAND_OVER_TIMEOUT = 0.3
#: Pause before a stopping node retries a read of the store, in seconds.
_RETRY_PAUSE = 0.1
#: Longest wait of a stopping node for its last records to be appended, in seconds.
_FLUSH_TIMEOUT = 1.5


class Gateway:
    """
    One node of the service.

    :param record_request: Called with the route, the result code and the duration in
        seconds of each request.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: GatewayPorts,
        record_request: Callable[[str, ResultCode, float], None],
    ) -> None:
        log_short_retention(settings.retention, settings.needed_retention)
        self._stopping = False
        self._tasks: list[asyncio.Task] = []
        self._process_pauses = ProcessPauses()
        self.view = ClusterView()
        view = self.view
        view.residency.own_region = settings.sends.own_region
        self._store = StoreWatch(ports.reconnect)
        log = WatchedLog(ports.log, self._store)
        self._config_limit = settings.key_bounds.propagation_limit
        knowledge = EvacuationKnowledge(
            self._operator_read_state,
            settings.sends.evacuation_limit,
            lambda: view.evacuations.are_used,
            self._residency_limit,
        )
        self._operator = RegistryFollower(
            WatchedRegistry(ports.operator, self._store),
            "operator",
            self._apply_operator,
            view.retain_operator_keys,
            max_age=lambda: knowledge.max_age or float("inf"),
        )
        self._entries = RegistryFollower(
            WatchedRegistry(ports.entries, self._store),
            "engines",
            self._apply_engine,
            view.retain_engines,
            self._on_entries_reachable,
        )
        cold_bounds = settings.sends.cold_bounds
        cold_engines = ColdEngines(view, self._cold_permission, cold_bounds)
        self._gate = SendGate(view, settings.sends, knowledge, cold_engines)
        choose = least_outstanding_rendezvous(settings.vm)
        pool = EnginePool(view, choose, self._gate)
        timeouts = EngineTimeouts(self.view)
        self.admission = Admission(
            view, lambda: self._operator.synced_at, settings.key_bounds
        )
        self._leases = LeaseLog(log, f"{settings.vm}@{settings.address}")
        self._lease_snapshots = LeaseSnapshotWriter(
            self._leases, settings.retention, settings.lease_term
        )
        self._crash_watch = EngineCrashWatch(
            ports.engines, self.view.engine_tables, self._leases, log
        )
        self.pass_through = PassThrough(
            self.view,
            pool,
            self._gate,
            ports.engines,
            timeouts,
            self._crash_watch,
            self.admission,
            record_request,
            self._count_usage,
            self._process_pauses.read_delay,
        )
        job_fold = JobFold()
        texts = TextStore(
            log,
            settings.largest_record,
            settings.largest_append,
            lambda: view.residency.own_region,
        )
        self.jobs = JobService(
            log,
            job_fold,
            texts,
            ChangeNotifier(),
            settings.result_retention,
            settings.retention,
            self._is_store_silent,
            lambda: self._shares.any_held,
            view.residency.job_regions,
            settings.largest_items,
        )
        self._writer = RecordWriter(log, texts)
        self._shares = WorkShares(
            self._leases,
            self._wanted_shares,
            self._sync_jobs,
            self._on_shares_changed,
            settings.cores,
            view.residency.may_hold,
        )
        paces = EnginePaces(self.view.engine_tables)
        unresponsive = UnresponsiveEngines(ports.engines, self.view.engine_tables)
        self._leaving = LeavingEngines(view.engine_tables)
        placement = Placement(self.view, pool, paces, unresponsive, self._leaving)
        self._log_freshness = LogFreshness(self._log_read_state, settings.cancel_limit)
        self._runner = JobRunner(
            self.jobs,
            self.view,
            pool,
            self._gate,
            unresponsive,
            placement,
            AttemptRunner(
                ports.engines,
                paces,
                placement,
                timeouts,
                placement.must_leave,
            ),
            self._crash_watch,
            self._writer,
            texts,
            Scorer(self.view, self.pass_through),
            self._shares.holds,
            self._log_freshness,
        )
        self.jobs.on_record(self._wake)
        self._lease = DutyLease(self._leases, "orders", settings.lease_term)
        self._usage: UsageDuty | None = None
        if ports.duties is not None and settings.usage is not None:
            lease = DutyLease(self._leases, "usage", settings.lease_term)
            self._usage = UsageDuty(
                log, ports.duties, lease, settings.usage, settings.vm, settings.address
            )
        self._holds_engines = settings.holds_engines
        self._engine_drain_time = settings.engine_drain_time
        self.scaling: ScalingDuty | None = None
        if ports.duties is not None and settings.orders_engines:
            self.scaling = ScalingDuty(
                view,
                lambda: DutyLease(self._leases, "scale", settings.lease_term),
                lambda lease: ScalingController(
                    view,
                    ports.duties,
                    lease,
                    self._scaling_read_state,
                    self.jobs.open_jobs,
                    view.evacuated_data_centres,
                    lambda: self._holds_engines,
                    settings.vm,
                ),
            )
        self._weights = WeightUpdater(
            self.view,
            ports.engines,
            timeouts,
            self._lease,
            settings.vm,
            self._may_retain_running,
            job_fold.oldest_allowed,
        )

    @property
    def ready(self) -> bool:
        """
        Whether this node should receive requests.
        """
        engines_known = self._entries.is_loaded
        caught_up = self.jobs.caught_up and self._leases.caught_up
        known = self.view.config is not None and engines_known and caught_up
        return known and not self._is_store_silent() and not self._stopping

    @property
    def stopping(self) -> bool:
        """
        Whether a planned stop has started.
        """
        return self._stopping

    def skipped_records(self) -> dict[str, int]:
        """
        Return the number of records that could not be used, by kind.
        """
        return {
            "operator": self._operator.skipped,
            "engines": self._entries.skipped,
            "leases": self._leases.skipped,
            "jobs": self.jobs.skipped,
            "texts": self.jobs.unreadable_texts,
            "items": self._runner.unreadable_items,
        }

    def denials(self) -> Mapping[Denial, int]:
        """
        Return the number of sends that the gate denied, by reason.
        """
        return self._gate.denials

    @property
    def pause_count(self) -> int:
        """
        Number of pauses of this process.
        """
        return self._process_pauses.count

    def set_bounds(
        self,
        cancel_limit: float,
        result_retention: float,
        retention: float,
        key_bounds: KeyFreshnessBounds,
        sends: SendSettings,
        holds_engines: bool = False,
    ) -> None:
        """
        Change bounds while the node runs; see `GatewaySettings`.
        """
        self._holds_engines = holds_engines
        self.admission.set_bounds(key_bounds)
        self._config_limit = key_bounds.propagation_limit
        self.view.residency.own_region = sends.own_region
        self._gate.set_settings(sends)
        self._log_freshness.set_cancel_limit(cancel_limit)
        self.jobs.set_retention(result_retention, retention)
        self._lease_snapshots.set_retention(retention)

    def start(self) -> None:
        """
        Start the loops; one that fails runs again.
        """
        loops: list[Loop] = [
            self._process_pauses.run,
            self._operator.run,
            self._entries.run,
            self.jobs.run,
            self._writer.run,
            self._leases.run,
            self._lease_snapshots.run,
            self._crash_watch.run,
            self._shares.run,
            self._runner.run,
            self._runner.persist,
            self._lease.run,
            self._weights.run,
        ]
        if self._usage is not None:
            loops += self._usage.loops()
        self._tasks += [asyncio.create_task(keep_running(loop)) for loop in loops]
        if self.scaling is not None:
            self.scaling.start()

    async def stop(self, store_timeout: float) -> None:
        """
        Hand over the jobs and leases of this node.

        Its items continue while the store is unavailable: no other node could take them
        over, and the progress of their texts would be lost.

        :param store_timeout: Longest wait for the store, in seconds.
        """
        self._stopping = True
        started_at = boot_time()
        while not await self.jobs.sync() and boot_time() < started_at + store_timeout:
            await asyncio.sleep(_RETRY_PAUSE)
        self._runner.hand_over()
        flushed = await self._writer.wait_until_flushed(_FLUSH_TIMEOUT)
        await asyncio.gather(
            self._shares.release(),
            self._lease.release(),
            self._release_usage(),
            self._release_scaling(),
        )
        _log.info(
            "handed_over", flushed=flushed, seconds=round(boot_time() - started_at, 3)
        )

    async def close(self) -> None:
        """
        Append the last usage counts, and cancel the loops.
        """
        if self._usage is not None:
            await self._usage.close()
        if self.scaling is not None:
            await self.scaling.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _release_usage(self) -> None:
        if self._usage is not None:
            await self._usage.release()

    async def _release_scaling(self) -> None:
        if self.scaling is not None:
            await self.scaling.release()

    def _scaling_read_state(self) -> ReadState:
        is_reading = (
            self.jobs.caught_up
            and self.jobs.is_store_reachable
            and self._entries.is_loaded
        )
        read_at = min(self.jobs.synced_at, self._entries.synced_at)
        return ReadState(read_at, is_reading, self._process_pauses.ended_at)

    def _count_usage(self, workspace: str, started_at: float) -> None:
        if self._usage is not None:
            self._usage.count(workspace, started_at)

    def _is_store_silent(self) -> bool:
        return boot_time() - self._store.answered_at > _MAX_STORE_SILENCE

    def _residency_limit(self) -> float | None:
        """
        Return the time after which changed regions must have taken effect, in seconds;
        None if the configuration has none.
        """
        return self._config_limit if self.view.residency.is_used else None

    def _operator_read_state(self) -> RegistryReadState:
        return RegistryReadState(
            self._operator.synced_at,
            self._operator.is_store_reachable,
            self._operator.last_read_at,
            self._process_pauses.ended_at,
            self._store.answered_at,
        )

    def _log_read_state(self) -> LogReadState:
        return LogReadState(
            self.jobs.synced_at,
            self.jobs.is_store_reachable,
            self._process_pauses.ended_at,
        )

    def _wanted_shares(self) -> set[str]:
        open_jobs = self.jobs.open_jobs()
        return self.view.permanent_shares() | {
            self.view.share_of(s.job) for s in open_jobs
        }

    def _cold_permission(self, service: GatewayService) -> ColdPermission:
        """
        Return whether this node may send to cold engines of a service: if it holds one
        of the service's work shares.
        """
        jobs = [state.job for state in self.jobs.open_jobs()]
        shares = self.view.shares_of(service, jobs)
        return ColdPermission(any(map(self._shares.holds_alone, shares)), len(shares))

    async def _sync_jobs(self) -> None:
        """
        Read the records of the previous holder.
        """
        await self.jobs.sync()

    async def _on_shares_changed(self) -> None:
        """
        Stop items of lost shares, start those of new ones, and append pending records.
        """
        self._runner.drop_unowned()
        self._runner.wake()
        await self._writer.wait_until_flushed(_HAND_OVER_TIMEOUT)

    def _wake(self) -> None:
        self._runner.wake()

    def _apply_operator(self, entry: KeyedEntry) -> None:
        self.view.apply_operator(entry)
        if self.scaling is not None:
            self.scaling.follow_config()
        # The regions of jobs, and with them their shares, may have changed.
        self._wake()

    def _on_entries_reachable(self, is_reachable: bool) -> None:
        """
        Record that the store is back; not if only connections of this VM were lost, as
        entries expire only while the store is away.
        """
        if not is_reachable:
            return
        if self._store.away_at < self._entries.synced_at:
            _log.info("store_was_not_away", reading="engines")
            return
        self.view.store_reached()

    def _apply_engine(self, entry) -> None:
        self.view.apply_engine(entry)
        if isinstance(entry.value, EngineEntry):
            self._leaving.observe(entry.value, self._drain_time(entry.value))
        self._wake()

    def _drain_time(self, engine: EngineEntry) -> float | None:
        """
        Return for how long an engine that may have been given back serves on, in
        seconds; None where engines are not ordered.
        """
        config = self.view.config
        service = config.services.get(engine.service) if config is not None else None
        is_scaled = service is not None and service.scaling is not None
        return self._engine_drain_time if is_scaled else None

    def _may_retain_running(self, model: str) -> bool:
        """
        Whether no route of a model's jobs requires texts of a single version.
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
