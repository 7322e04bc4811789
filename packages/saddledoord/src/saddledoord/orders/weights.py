# SPDX-License-Identifier: MIT

"""
Brings the engines to the weight versions that trainers name, a few at a time.
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

#: How often the engines are looked at, in seconds.
_LOOK = 0.05
#: How long the lease must still hold when an order is sent, in seconds: the longest
#: wait for its answer.
_ORDER_MARGIN = 0.6
#: How often an engine that loads is asked whether it is done, in seconds; its report is
#: some 0.1 s old.
_POLL = 0.05
#: When it is asked first, as a share of what the quickest load of late took; before any
#: load is known, after so many seconds.
_FIRST_POLL = 0.9
_FIRST_POLL_UNKNOWN = 0.3
#: Loads whose times are remembered, a count.
_REMEMBERED = 16
#: How long a load may take before the order is given again, in seconds.
_LOAD_LIMIT = 4.0
#: Pause after an order that came to nothing, in seconds.
_RETRY_PAUSE = 0.3


@dataclass(eq=False)
class _Loaded:
    """
    What this node knows of an engine's weights beyond its entry.

    :param reached: Versions that its reports have shown, by model.
    :param load: What it is being brought to, if anything.
    :param paused_until: When it is looked at again, monotonic, in seconds.
    """

    reached: dict[str, int] = field(default_factory=dict)
    load: _Load | None = None
    paused_until: float = 0.0


@dataclass(frozen=True)
class _Load:
    """
    An engine that is being brought to a version.
    """

    engine: EngineEntry
    model: str
    version: int


class WeightUpdater:
    """
    Gives absolute orders under the lease's fencing number.

    Each order names the incarnation and the count of orders the engine has taken, so
    one that is carried out late, after a newer one, is refused by the engine.

    :param retain_running: Tells of a model whether runs may go on under new weights.
    :param oldest_allowed: Tells of a model the oldest version that its newest job
        allows.
    """

    def __init__(
        self,
        view: ClusterView,
        engines: Engines,
        lives: EngineTimeouts,
        lease: DutyLease,
        holder: str,
        retain_running: Callable[[str], bool],
        oldest_allowed: Callable[[str], int],
    ) -> None:
        self._view = view
        self._engines = engines
        self._lives = lives
        self._lease = lease
        self._holder = holder
        self._keep_runs = retain_running
        self._oldest_allowed = oldest_allowed
        self._loaded: EngineTable[_Loaded] = view.engine_tables.table(_Loaded)
        self._tasks: set[asyncio.Task] = set()
        self._times: deque[float] = deque(maxlen=_REMEMBERED)

    async def run(self) -> None:
        """
        Look after the engines until cancelled.
        """
        while True:
            await asyncio.sleep(_LOOK)
            if self._lease.current(_ORDER_MARGIN) is None:
                continue
            self._begin_loads(boot_time())

    def _begin_loads(self, now: float) -> None:
        for service in self._view.pools():
            usable = self._view.directory.usable(service.name, now)
            engines = {engine.engine_id: engine for engine in usable}
            loads = [row.load for row in self._loaded.rows() if row.load is not None]
            under_way = [load for load in loads if load.engine.service == service.name]
            free = max_concurrent_loads(len(engines)) - len(under_way)
            for name, model in plan_weight_loads(self._weights_of(service, engines)):
                if free <= 0:
                    break
                known = self._loaded[engines[name].incarnation]
                if known.load is not None or known.paused_until > now:
                    continue
                version = self._view.named_versions[model]
                self._begin(_Load(engines[name], model, version))
                free -= 1

    def _weights_of(
        self, service: GatewayService, engines: dict[str, EngineEntry]
    ) -> list[ModelWeights]:
        """
        Return the models of a pool whose trainers have named versions, the one that
        was named first in front.
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

    def _begin(self, load: _Load) -> None:
        known = self._loaded[load.engine.incarnation]
        known.load = load
        task = asyncio.create_task(self._bring(load))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._ended(known, load, task))

    @property
    def _usual_time(self) -> float | None:
        """
        What the quickest load of late took, in seconds, or none before any.
        """
        return min(self._times, default=None)

    def _ended(self, known: _Loaded, load: _Load, task: asyncio.Task) -> None:
        known.load = None
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "order_task_failed",
                engine=load.engine.engine_id,
                exc_info=task.exception(),
            )
            self._pause(load)

    def _version_of(self, engine: EngineEntry, model: str) -> int:
        known = self._loaded[engine.incarnation]
        if known.load is not None and known.load.model == model:
            return known.load.version
        return max(known.reached.get(model, 0), engine.versions.get(model, 0))

    async def _bring(self, load: _Load) -> None:
        try:
            async with self._lives.within(load.engine.incarnation):
                await self._look_and_order(load)
        except TimeoutError:
            _log.info(
                "load_lost",
                engine=load.engine.engine_id,
                model=load.model,
                version=load.version,
                reason="the engine has started again",
            )

    async def _look_and_order(self, load: _Load) -> None:
        state = await self._state(load.engine)
        if state is None or state.busy:
            self._pause(load)
        elif not self._is_reached(load, state):
            await self._order(load, state)

    async def _order(self, load: _Load, state: EngineState) -> None:
        held = self._lease.current(_ORDER_MARGIN)
        if held is None:
            return
        order = VersionOrder(
            load.model,
            load.version,
            self._holder,
            held.fence,
            state.accepted_orders,
            self._keep_runs(load.model),
        )
        began = boot_time()
        outcome = await self._engines.order(load.engine, order)
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
                self._lease.fenced(held.fence)
            case OrderOutcome.ACCEPTED | OrderOutcome.UNKNOWN:
                await self._await_load(load, began)
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                self._pause(load)

    async def _await_load(self, load: _Load, began: float) -> None:
        usual = self._usual_time
        first = _FIRST_POLL_UNKNOWN if usual is None else _FIRST_POLL * usual
        await asyncio.sleep(first)
        while boot_time() < began + _LOAD_LIMIT:
            state = await self._state(load.engine)
            if state is not None:
                if self._is_reached(load, state):
                    self._times.append(boot_time() - began)
                    return
                if not state.busy:
                    # The order was lost: the next look gives it again.
                    return
            await asyncio.sleep(_POLL)
        self._pause(load)

    async def _state(self, engine: EngineEntry) -> EngineState | None:
        """
        Ask an engine what it holds; what a later life says is not credited to this one.
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

    def _pause(self, load: _Load) -> None:
        known = self._loaded[load.engine.incarnation]
        known.paused_until = boot_time() + _RETRY_PAUSE

    def _is_reached(self, load: _Load, state: EngineState) -> bool:
        now = state.versions.get(load.model, 0)
        if now < load.version or state.busy:
            return False
        engine = load.engine
        self._loaded[engine.incarnation].reached[load.model] = now
        _log.info(
            "engine_reached", engine=engine.engine_id, model=load.model, version=now
        )
        return True
