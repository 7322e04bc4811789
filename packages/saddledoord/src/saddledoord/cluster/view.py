# SPDX-License-Identifier: MIT

"""
This node's view of the configuration, the weight versions that trainers have named
and the engines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import structlog

from saddledoor import (
    ColdState,
    EngineDirectory,
    EngineEntry,
    EngineTables,
    GatewayConfig,
    GatewayRoute,
    GatewayService,
    Incarnation,
    JobOpened,
    RouteTable,
    restricted_share,
    unservable_pairs,
)

from .._clock import boot_time
from ..ports import KeyedEntry, NamedVersion, UnusableValue
from .evacuations import Evacuations
from .residency import Residency


__all__ = ["ClusterView"]

_log = structlog.get_logger()

#: Largest number of engines of a service whose jobs all run on one node; the jobs of a
#: larger service are divided among nodes by their series. 32 engines of 12 slots make
#: 10,000 events a second.
_MAX_ENGINES_PER_NODE = 32
#: How long the state of an engine is kept after its entry is gone, in seconds: it may
#: only have expired during an outage of the store, and an engine that leaves still
#: finishes its requests.
_GONE_RETENTION = 60.0


class ClusterView:
    """
    State that is derived from the operator's registry and the engines' entries.

    :ivar directory: The engines that have an entry.
    :ivar evacuations: The operator's evacuations of data centres.
    :ivar engine_tables: State of engines that is dropped when an incarnation ends.
    :ivar cold_states: What is known of the coldness of each incarnation.
    :ivar residency: Regions that may serve a request or run a job.
    :ivar changed: Event that is set at each change of the configuration, the named
        versions or the engines.
    """

    def __init__(self) -> None:
        self.directory = EngineDirectory()
        self.evacuations = Evacuations()
        self.engine_tables = EngineTables()
        self.cold_states = self.engine_tables.table(ColdState)
        self.residency = Residency(lambda: self._config, self.route)
        self._are_engines_loaded = False
        self._gone: dict[Incarnation, float] = {}
        self.changed = asyncio.Event()
        self._config: GatewayConfig | None = None
        self._config_since = float("-inf")
        self._table = RouteTable()
        self._named: dict[str, int] = {}

    @property
    def config(self) -> GatewayConfig | None:
        """
        The newest configuration, or None before the first.
        """
        return self._config

    @property
    def config_since(self) -> float:
        """
        When this node adopted that configuration, monotonic, in seconds.
        """
        return self._config_since

    @property
    def named_versions(self) -> dict[str, int]:
        """
        The newest version that a trainer has named, by model, in the order of naming.
        """
        return self._named

    def route(self, host: str, path: str) -> GatewayRoute | None:
        """
        Return a request's route under the newest configuration.
        """
        return self._table.find(host, path)

    def jobs_need_key(self, host: str) -> bool:
        """
        Return whether calls about jobs of a host need a key.
        """
        return self._table.jobs_need_key(host)

    def evacuated_data_centres(self) -> frozenset[str]:
        """
        Return the data centres whose engines get no new requests.
        """
        return self.evacuations.data_centres()

    def share_of(self, job: JobOpened) -> str:
        """
        Return the work share of a job.

        Jobs that only some regions may run are a share of their own for each set of
        regions.

        One node runs all jobs of a service unless the service has too many engines.
        That node knows the load of each engine and can order the waiting items of all
        jobs. Otherwise each series of jobs is a work share.
        """
        base = job.series
        for service in self.model_services():
            if job.model in service.models and self._runs_on_one_node(service):
                base = service.name
                break
        return restricted_share(base, self.residency.job_regions(job))

    def shares_of(
        self, service: GatewayService, open_jobs: Iterable[JobOpened]
    ) -> set[str]:
        """
        Return the work shares of a service's jobs; none for a service without models.
        """
        if not service.models:
            return set()
        shares = {self.share_of(j) for j in open_jobs if j.model in service.models}
        return shares | self.permanent_shares() & {service.name}

    def permanent_shares(self) -> set[str]:
        """
        Return the work shares that need a holder even without open jobs: one for each
        service that runs on one node.
        """
        return {s.name for s in self.model_services() if self._runs_on_one_node(s)}

    def _runs_on_one_node(self, service: GatewayService) -> bool:
        engines = self.directory.usable(service.name, boot_time())
        return len(engines) <= _MAX_ENGINES_PER_NODE

    def model_services(self) -> list[GatewayService]:
        """
        Return the services that serve models.
        """
        services = self._config.services.values() if self._config else ()
        return [service for service in services if service.models]

    def apply_operator(self, entry: KeyedEntry) -> None:
        """
        Apply a configuration or a named version, unless a newer one is known, or an
        evacuation or its removal.
        """
        self.evacuations.apply(entry)
        match entry.value:
            case GatewayConfig() as config:
                self._adopt(config)
            case NamedVersion(model=model, version=version):
                if version > self._named.get(model, 0):
                    self._named.pop(model, None)
                    self._named[model] = version
                    _log.info("version_named", model=model, version=version)
        self.changed.set()

    def retain_operator_keys(self, keys: set[str]) -> None:
        """
        End the evacuations whose key is gone.

        :param keys: The keys of the operator's registry.
        """
        self.evacuations.retain(keys)
        self.changed.set()

    def apply_engine(self, entry: KeyedEntry) -> None:
        """
        Apply an engine's entry, its removal, or a value that is not a usable entry.
        """
        if isinstance(entry.value, EngineEntry):
            self._put_engine(entry.value)
        elif isinstance(entry.value, UnusableValue):
            self._drop_engine(entry.key)
        else:
            self._remove_engine(entry.key, entry.offset)
        self._forget_gone(boot_time())
        self.changed.set()

    def retain_engines(self, keys: set[str]) -> None:
        """
        Remove the engines that have no entry.

        :param keys: Ids of the engines that have an entry.
        """
        for engine_id in self.directory.known_ids() - keys:
            self._remove_engine(engine_id, None)
        self._are_engines_loaded = True
        self.changed.set()

    def has_restarted(self, incarnation: Incarnation) -> bool:
        """
        Return whether an engine has restarted since this incarnation.
        """
        entry = self.directory.get(incarnation.engine_id)
        return entry is not None and entry.incarnation.follows(incarnation)

    def store_reached(self) -> None:
        """
        Record that the store answers again after it was away.
        """
        self.directory.record_store_recovery(boot_time())

    def _adopt(self, config: GatewayConfig) -> None:
        if self._config is not None and config.version <= self._config.version:
            return
        self._config = config
        self._config_since = boot_time()
        self._table = RouteTable.from_config(config.routes)
        _log.info(
            "configuration_in_force", version=config.version, routes=len(config.routes)
        )
        for route, workspaces in unservable_pairs(config).items():
            _log.warning(
                "no_region_in_common",
                version=config.version,
                route=route,
                workspaces=workspaces,
            )

    def _put_engine(self, entry: EngineEntry) -> None:
        known = self.directory.get(entry.engine_id)
        if not self.directory.put(entry):
            _log.info(
                "engine_entry_of_earlier_life",
                engine=entry.engine_id,
                started_at=entry.started_at,
            )
            return
        if known is None or known.incarnation != entry.incarnation:
            self._start_incarnation(known, entry)
            if self._are_engines_loaded:
                self.cold_states[entry.incarnation].arrived_at = boot_time()
        reported_until = boot_time() + entry.cold_left if entry.cold_left else 0.0
        self.cold_states[entry.incarnation].reported_until = reported_until
        self._log_engine(known, entry)

    def _start_incarnation(self, known: EngineEntry | None, entry: EngineEntry) -> None:
        """
        Drop the state of the previous incarnations.
        """
        self._gone.pop(entry.incarnation, None)
        if known is not None:
            self._gone[known.incarnation] = boot_time()
        for incarnation in self._gone:
            # The incarnation stays in `_gone`, since its requests in flight may still
            # add state.
            if incarnation.engine_id == entry.engine_id:
                self.engine_tables.forget(incarnation)

    def _remove_engine(self, engine_id: str, offset: int | None) -> None:
        """
        Remove an engine whose entry is gone; the entry may return after an outage.
        """
        _log.info("engine_entry_gone", engine=engine_id, offset=offset)
        self._mark_gone(engine_id)
        self.directory.remove(engine_id, boot_time())

    def _drop_engine(self, engine_id: str) -> None:
        """
        Remove an engine whose entry is unusable, so that no request is sent to it.
        """
        # The reader of the entry has logged the reason.
        self._mark_gone(engine_id)
        self.directory.drop(engine_id)

    def _mark_gone(self, engine_id: str) -> None:
        known = self.directory.get(engine_id)
        if known is not None:
            self._gone[known.incarnation] = boot_time()

    def _forget_gone(self, now: float) -> None:
        for incarnation, since in list(self._gone.items()):
            if now - since > _GONE_RETENTION:
                del self._gone[incarnation]
                self.engine_tables.forget(incarnation)

    def _log_engine(self, known: EngineEntry | None, entry: EngineEntry) -> None:
        is_restart = known is not None and known.incarnation != entry.incarnation
        if known is None or is_restart or known.draining != entry.draining:
            _log.info(
                "engine_entry",
                engine=entry.engine_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
                started_at=entry.started_at,
                again=is_restart,
            )
