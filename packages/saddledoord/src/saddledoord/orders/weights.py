# SPDX-License-Identifier: MIT

"""
Brings the engines to the weight versions that trainers name, a few at a time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saddledoor import (
    EngineEntry,
    GatewayService,
    ModelWeights,
    engines_at_once,
    wanted_loads,
)

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..ports import Engines, EngineState, OrderOutcome, VersionOrder
from .lease import OrderLease


__all__ = ["WeightKeeper"]

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


@dataclass(frozen=True)
class _Load:
    """
    An engine that is being brought to a version.
    """

    engine: EngineEntry
    model: str
    version: int


class WeightKeeper:
    """
    Gives absolute orders under the lease's fencing number.

    Each order names the incarnation and the count of orders the engine has taken, so
    one that is carried out late, after a newer one, is refused by the engine.

    :param keep_runs: Tells of a model whether runs may go on under new weights.
    :param oldest_allowed: Tells of a model the oldest version that its newest job
        allows.
    """

    def __init__(
        self,
        view: ClusterView,
        engines: Engines,
        lease: OrderLease,
        holder: str,
        keep_runs: Callable[[str], bool],
        oldest_allowed: Callable[[str], int],
    ) -> None:
        self._view = view
        self._engines = engines
        self._lease = lease
        self._holder = holder
        self._keep_runs = keep_runs
        self._oldest_allowed = oldest_allowed
        self._reached: dict[tuple[str, str], int] = {}
        self._loading: dict[str, _Load] = {}
        self._tasks: set[asyncio.Task] = set()
        self._paused: dict[str, float] = {}
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
            under_way = [
                load
                for load in self._loading.values()
                if load.engine.service == service.name
            ]
            free = engines_at_once(len(engines)) - len(under_way)
            for name, model in wanted_loads(self._weights_of(service, engines)):
                if free <= 0:
                    break
                if name in self._loading or self._paused.get(name, 0.0) > now:
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
        name = load.engine.engine_id
        self._loading[name] = load
        task = asyncio.create_task(self._bring(load))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._ended(name, task))

    @property
    def _usual_time(self) -> float | None:
        """
        What the quickest load of late took, in seconds, or none before any.
        """
        return min(self._times, default=None)

    def _ended(self, name: str, task: asyncio.Task) -> None:
        del self._loading[name]
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("order_task_failed", engine=name, exc_info=task.exception())
            self._paused[name] = boot_time() + _RETRY_PAUSE

    def _version_of(self, engine: EngineEntry, model: str) -> int:
        load = self._loading.get(engine.engine_id)
        if load is not None and load.model == model:
            return load.version
        reached = self._reached.get((engine.engine_id, model), 0)
        return max(reached, engine.versions.get(model, 0))

    async def _bring(self, load: _Load) -> None:
        state = await self._engines.state(load.engine)
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
            state.orders_taken,
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
            orders_taken=state.orders_taken,
            outcome=outcome,
        )
        match outcome:
            case OrderOutcome.FENCED:
                self._lease.fenced(held.fence)
            case OrderOutcome.TAKEN | OrderOutcome.UNKNOWN:
                await self._await_load(load, began)
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                self._pause(load)

    async def _await_load(self, load: _Load, began: float) -> None:
        usual = self._usual_time
        first = _FIRST_POLL_UNKNOWN if usual is None else _FIRST_POLL * usual
        await asyncio.sleep(first)
        while boot_time() < began + _LOAD_LIMIT:
            state = await self._engines.state(load.engine)
            if state is not None:
                if self._is_reached(load, state):
                    self._times.append(boot_time() - began)
                    return
                if not state.busy:
                    # The order was lost: the next look gives it again.
                    return
            await asyncio.sleep(_POLL)
        self._pause(load)

    def _pause(self, load: _Load) -> None:
        self._paused[load.engine.engine_id] = boot_time() + _RETRY_PAUSE

    def _is_reached(self, load: _Load, state: EngineState) -> bool:
        now = state.versions.get(load.model, 0)
        if now < load.version or state.busy:
            return False
        name = load.engine.engine_id
        self._reached[name, load.model] = now
        _log.info("engine_reached", engine=name, model=load.model, version=now)
        return True
