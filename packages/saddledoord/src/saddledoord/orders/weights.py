# SPDX-License-Identifier: MIT

"""
Brings the engines to the weight versions that trainers name, a few at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saddledoor import EngineEntry, engines_at_once, engines_to_update

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
#: When an engine is first asked whether it is done, in seconds; a load takes 0.9 s.
_FIRST_POLL = 0.9
#: How often it is asked after that, in seconds.
_POLL = 0.2
#: How long a load may take before the order is given again, in seconds.
_LOAD_LIMIT = 4.0
#: Pause after an order that came to nothing, in seconds.
_RETRY_PAUSE = 0.3


@dataclass(frozen=True)
class _Load:
    """
    An engine that is to be brought to a version.

    :param urgent: Whether it is too old for the jobs at hand.
    :param rank: Its place among the loads of its model.
    """

    engine: EngineEntry
    model: str
    version: int
    urgent: bool
    rank: int


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
        wanted = [
            load
            for model, version in self._view.named_versions.items()
            for load in self._wanted(model, version, now)
        ]
        # Models take turns, so that none waits for all the loads of another.
        wanted.sort(key=lambda load: (not load.urgent, load.rank))
        for load in wanted:
            name, service = load.engine.engine_id, load.engine.service
            pool = len(self._view.directory.usable(service, now))
            loading = [o for o in self._loading.values() if o.engine.service == service]
            if name in self._loading or self._paused.get(name, 0.0) > now:
                continue
            if len(loading) < engines_at_once(pool):
                self._begin(load)

    def _wanted(self, model: str, version: int, now: float) -> list[_Load]:
        """
        Return the loads of one model, the most urgent first.
        """
        found = self._view.engines_following(model, now)
        engines = {engine.engine_id: engine for engine in found}
        versions = {
            name: self._version_of(engine, model) for name, engine in engines.items()
        }
        for name, load in self._loading.items():
            # An engine that is being loaded counts as there already.
            if load.model == model and name in versions:
                versions[name] = load.version
        oldest = self._oldest_allowed(model)
        return [
            _Load(engines[name], model, version, versions[name] < oldest, rank)
            for rank, name in enumerate(engines_to_update(versions, version, oldest))
        ]

    def _begin(self, load: _Load) -> None:
        name = load.engine.engine_id
        self._loading[name] = load
        task = asyncio.create_task(self._bring(load.engine, load.model, load.version))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._ended(name, task))

    def _ended(self, name: str, task: asyncio.Task) -> None:
        del self._loading[name]
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("order_task_failed", engine=name, exc_info=task.exception())
            self._paused[name] = boot_time() + _RETRY_PAUSE

    def _version_of(self, engine: EngineEntry, model: str) -> int:
        reached = self._reached.get((engine.engine_id, model), 0)
        return max(reached, engine.versions.get(model, 0))

    async def _bring(self, engine: EngineEntry, model: str, version: int) -> None:
        state = await self._engines.state(engine)
        if state is None or state.busy:
            self._paused[engine.engine_id] = boot_time() + _RETRY_PAUSE
            return
        if not self._is_reached(engine, model, version, state):
            await self._order(engine, model, version, state)

    async def _order(
        self, engine: EngineEntry, model: str, version: int, state: EngineState
    ) -> None:
        held = self._lease.current(_ORDER_MARGIN)
        if held is None:
            return
        order = VersionOrder(
            model,
            version,
            self._holder,
            held.fence,
            state.orders_taken,
            self._keep_runs(model),
        )
        outcome = await self._engines.order(engine, order)
        _log.info(
            "engine_ordered",
            engine=engine.engine_id,
            model=model,
            version=version,
            before=state.versions.get(model),
            fence=held.fence,
            orders_taken=state.orders_taken,
            outcome=outcome,
        )
        match outcome:
            case OrderOutcome.FENCED:
                self._lease.fenced(held.fence)
            case OrderOutcome.TAKEN | OrderOutcome.UNKNOWN:
                await self._await_load(engine, model, version)
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                self._paused[engine.engine_id] = boot_time() + _RETRY_PAUSE

    async def _await_load(self, engine: EngineEntry, model: str, version: int) -> None:
        deadline = boot_time() + _LOAD_LIMIT
        await asyncio.sleep(_FIRST_POLL)
        while boot_time() < deadline:
            state = await self._engines.state(engine)
            if state is not None:
                if self._is_reached(engine, model, version, state):
                    return
                if not state.busy:
                    # The order was lost: the next look gives it again.
                    return
            await asyncio.sleep(_POLL)
        self._paused[engine.engine_id] = boot_time() + _RETRY_PAUSE

    def _is_reached(
        self, engine: EngineEntry, model: str, version: int, state: EngineState
    ) -> bool:
        now = state.versions.get(model, 0)
        if now < version or state.busy:
            return False
        self._reached[engine.engine_id, model] = now
        _log.info("engine_reached", engine=engine.engine_id, model=model, version=now)
        return True
