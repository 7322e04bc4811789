# SPDX-License-Identifier: MIT

"""
Orders engines to load the weight versions that trainers name, a few at a time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from saddledoor import (
    EngineEntry,
    EngineTable,
    GatewayService,
    ModelWeights,
    max_concurrent_loads,
    plan_weight_loads,
)

from .._clock import boot_time
from ..cluster.engine_timeouts import EngineTimeouts
from ..cluster.view import ClusterView
from ..duties.lease import DutyLease
from ..ports import Engines, EngineState, OrderOutcome, VersionOrder


__all__ = ["WeightUpdater"]

_log = structlog.get_logger()

#: Interval between checks of the engines, in seconds.
_CHECK_INTERVAL = 0.05
#: Shortest remaining validity of the lease when an order is sent, in seconds; covers
#: the timeout of the order.
_ORDER_MARGIN = 0.6
#: Interval between polls of a loading engine, in seconds; reports are about 0.1 s old.
_POLL_INTERVAL = 0.05
#: Time of the first poll, as a share of the shortest recent load.
_FIRST_POLL_SHARE = 0.9
#: Time of the first poll before any load is known, in seconds.
_FIRST_POLL_TIME = 0.3
#: Number of recent loads whose times are kept.
_MAX_LOAD_TIMES = 16
#: Longest time of a load before the order is repeated, in seconds.
_LOAD_TIMEOUT = 4.0
#: Pause after an order without success, in seconds.
_RETRY_PAUSE = 0.3


@dataclass(eq=False)
class _EngineWeights:
    """
    What this node knows of an engine's weights beyond its registry entry.

    :param loaded_versions: Versions that the engine has reported as loaded, by model.
    :param load: The load in progress, or None.
    :param paused_until: Time before which it gets no order, monotonic, in seconds.
    """

    loaded_versions: dict[str, int] = field(default_factory=dict)
    load: _Load | None = None
    paused_until: float = 0.0


@dataclass(frozen=True)
class _Load:
    """
    A load of a weight version at one engine.
    """

    engine: EngineEntry
    model: str
    version: int


class WeightUpdater:
    """
    Sends load orders with the fencing number of the lease.

    Each order is for one incarnation of an engine and carries the number of orders that
    it has accepted, so that the engine refuses an order that arrives after a newer one.

    :param retain_running: Tells whether running texts of a model may continue under new
        weights.
    :param oldest_allowed: Returns the oldest version that a model's newest job allows.
    """

    def __init__(
        self,
        view: ClusterView,
        engines: Engines,
        timeouts: EngineTimeouts,
        lease: DutyLease,
        holder: str,
        retain_running: Callable[[str], bool],
        oldest_allowed: Callable[[str], int],
    ) -> None:
        self._view = view
        self._engines = engines
        self._timeouts = timeouts
        self._lease = lease
        self._holder = holder
        self._retain_running = retain_running
        self._oldest_allowed = oldest_allowed
        self._engine_weights: EngineTable[_EngineWeights] = view.engine_tables.table(
            _EngineWeights
        )
        self._tasks: set[asyncio.Task] = set()
        self._load_times: deque[float] = deque(maxlen=_MAX_LOAD_TIMES)

    async def run(self) -> None:
        """
        Start loads until cancelled.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            if self._lease.current(_ORDER_MARGIN) is None:
                continue
            self._start_loads(boot_time())

    def _start_loads(self, now: float) -> None:
        for service in self._view.model_services():
            usable = self._view.directory.usable(service.name, now)
            engines = {engine.engine_id: engine for engine in usable}
            loads = [
                row.load for row in self._engine_weights.rows() if row.load is not None
            ]
            in_progress = [
                load for load in loads if load.engine.service == service.name
            ]
            free = max_concurrent_loads(len(engines)) - len(in_progress)
            for name, model in plan_weight_loads(self._weights_of(service, engines)):
                if free <= 0:
                    break
                weights = self._engine_weights[engines[name].incarnation]
                if weights.load is not None or weights.paused_until > now:
                    continue
                version = self._view.named_versions[model]
                self._start_load(_Load(engines[name], model, version))
                free -= 1

    def _weights_of(
        self, service: GatewayService, engines: dict[str, EngineEntry]
    ) -> list[ModelWeights]:
        """
        Return the models of a service for which trainers have named versions, in the
        order in which they were first named.
        """
        models = sorted(service.models)
        named = self._view.named_versions
        return [
            ModelWeights(
                model,
                models,
                named[model],
                self._oldest_allowed(model),
                {name: self._version_of(e, model) for name, e in engines.items()},
            )
            for model in named
            if model in models
        ]

    def _start_load(self, load: _Load) -> None:
        weights = self._engine_weights[load.engine.incarnation]
        weights.load = load
        task = asyncio.create_task(self._run_load(load))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._load_ended(weights, load, task))

    @property
    def _shortest_load(self) -> float | None:
        """
        The shortest recent load, in seconds; None before any.
        """
        return min(self._load_times, default=None)

    def _load_ended(
        self, weights: _EngineWeights, load: _Load, task: asyncio.Task
    ) -> None:
        weights.load = None
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "order_task_failed",
                engine=load.engine.engine_id,
                exc_info=task.exception(),
            )
            self._pause_engine(load)

    def _version_of(self, engine: EngineEntry, model: str) -> int:
        weights = self._engine_weights[engine.incarnation]
        if weights.load is not None and weights.load.model == model:
            return weights.load.version
        return max(weights.loaded_versions.get(model, 0), engine.versions.get(model, 0))

    async def _run_load(self, load: _Load) -> None:
        try:
            async with self._timeouts.within(load.engine.incarnation):
                await self._send_order_if_needed(load)
        except TimeoutError:
            _log.info(
                "load_lost",
                engine=load.engine.engine_id,
                model=load.model,
                version=load.version,
                reason="the engine has started again",
            )

    async def _send_order_if_needed(self, load: _Load) -> None:
        state = await self._request_state(load.engine)
        if state is None or state.busy:
            self._pause_engine(load)
        elif not self._record_if_loaded(load, state):
            await self._send_order(load, state)

    async def _send_order(self, load: _Load, state: EngineState) -> None:
        ordered_at = boot_time()
        with self._lease.acting(_ORDER_MARGIN) as held:
            if held is None:
                return
            order = VersionOrder(
                load.model,
                load.version,
                self._holder,
                held.fence,
                state.accepted_orders,
                self._retain_running(load.model),
            )
            outcome = await self._engines.order(load.engine, order, ordered_at)
        _log.info(
            "engine_ordered",
            engine=load.engine.engine_id,
            model=load.model,
            version=load.version,
            before=state.versions.get(load.model),
            fence=held.fence,
            orders_taken=state.accepted_orders,
            outcome=outcome,
        )
        match outcome:
            case OrderOutcome.FENCED:
                self._lease.record_fenced(held.fence)
            case OrderOutcome.ACCEPTED | OrderOutcome.UNKNOWN:
                await self._await_load(load, ordered_at)
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                self._pause_engine(load)

    async def _await_load(self, load: _Load, ordered_at: float) -> None:
        shortest = self._shortest_load
        first = _FIRST_POLL_TIME if shortest is None else _FIRST_POLL_SHARE * shortest
        await asyncio.sleep(first)
        while boot_time() < ordered_at + _LOAD_TIMEOUT:
            state = await self._request_state(load.engine)
            if state is not None:
                if self._record_if_loaded(load, state):
                    self._load_times.append(boot_time() - ordered_at)
                    return
                if not state.busy:
                    # The order was lost; the next check of the engines repeats it.
                    return
            await asyncio.sleep(_POLL_INTERVAL)
        self._pause_engine(load)

    async def _request_state(self, engine: EngineEntry) -> EngineState | None:
        """
        Return the state that an engine reports; None without one, or if another
        incarnation reports it.
        """
        state = await self._engines.state(engine)
        if state is None or state.belongs_to(engine):
            return state
        _log.info(
            "report_of_another_life",
            engine=engine.engine_id,
            started_at=engine.started_at,
            reported=state.started_at,
        )
        return None

    def _pause_engine(self, load: _Load) -> None:
        weights = self._engine_weights[load.engine.incarnation]
        weights.paused_until = boot_time() + _RETRY_PAUSE

    def _record_if_loaded(self, load: _Load, state: EngineState) -> bool:
        """
        Record the version that an engine reports; return whether the load is complete.
        """
        now = state.versions.get(load.model, 0)
        if now < load.version or state.busy:
            return False
        engine = load.engine
        self._engine_weights[engine.incarnation].loaded_versions[load.model] = now
        _log.info(
            "engine_reached", engine=engine.engine_id, model=load.model, version=now
        )
        return True
