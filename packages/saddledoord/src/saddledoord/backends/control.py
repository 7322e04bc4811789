# SPDX-License-Identifier: MIT

"""
The data centre's control lease: its holder swaps the engines' weights in waves.
"""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass

import aiohttp
import structlog

from saddledoor import (
    ConfigSnapshot,
    Engine,
    EngineWeights,
    HeldLease,
    Order,
    Pool,
    next_orders,
    rendezvous_order,
)

from .._clock import boot_time
from .._state import NodeState
from ..log.client import LogClient, LogUnavailableError
from ..log.follower import CONFIG_STREAM
from ..log.leases import LeaseKeeper
from ..observability.daemon_metrics import Metrics
from .client import Backends, LoadReading


__all__ = ["Control", "control_lease"]

_log = structlog.get_logger()

#: How often the holder looks for work, in seconds.
_TICK = 0.5
#: How often an engine at its target is read again by the holder, in seconds; sooner if
#: its watcher reports another version.
_REREAD = 30.0
#: Wait per rank before a VM tries to take a control lease, in seconds.
_RANK_STEP = 0.5
#: How often the accepted configuration is written to the log again, in seconds.
_SNAPSHOT_EVERY = 600.0


def control_lease(data_centre: str) -> str:
    """
    Return the name of a data centre's control lease.
    """
    return f"control/{data_centre}"


@dataclass
class _Known:
    """
    The holder's newest reading of an engine.
    """

    reading: LoadReading | None = None
    at: float = -1e9
    busy: bool = False


class Control:
    """
    Runs on every VM; acts only on the one that holds the lease.
    """

    def __init__(
        self,
        state: NodeState,
        keeper: LeaseKeeper,
        backends: Backends,
        log: LogClient,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._backends = backends
        self._log = log
        self._metrics = metrics
        self._known: dict[str, _Known] = {}
        self._announced: dict[str, int] = {}
        self._fence = -1
        self._snapshot_at = boot_time()
        self._free_since: float | None = None
        self._orders: set[asyncio.Task] = set()

    async def run(self) -> None:
        """
        Take the lease when it is free, and act while it is held.
        """
        name = control_lease(self._state.data_centre)
        while True:
            await asyncio.sleep(_TICK)
            if self._state.stage != "serving":
                continue
            held = self._keeper.held(name) or await self._try_take(name)
            if held is not None and held.may_act(boot_time()):
                await self._act(held)

    async def _try_take(self, name: str) -> HeldLease | None:
        if not self._keeper.may_claim(name):
            self._free_since = None
            return None
        now = boot_time()
        self._free_since = self._free_since or now
        order = rendezvous_order(name, self._state.live_vms())
        rank = order.index(self._state.settings.vm)
        if now - self._free_since < rank * _RANK_STEP:
            return None
        return await self._keeper.take(name)

    async def _act(self, held: HeldLease) -> None:
        if held.fence != self._fence:
            # A new holder orders nothing before it has read the engines' true state.
            self._fence = held.fence
            self._known.clear()
        await self._snapshot_when_due()
        await self._read_announcements()
        await self._read_engines()
        for pool in self._state.deployment.pools if self._state.deployment else ():
            for model in pool.models:
                target = self._target(model.name, model.version)
                if target is not None:
                    self._order_pool(held, pool, model.name, target)

    async def _snapshot_when_due(self) -> None:
        fold = self._state.config_fold
        snapshot: ConfigSnapshot | None = fold.snapshot() if fold else None
        if snapshot is None or boot_time() - self._snapshot_at < _SNAPSHOT_EVERY:
            return
        try:
            await self._log.append(CONFIG_STREAM, [snapshot])
            self._snapshot_at = boot_time()
        except LogUnavailableError:
            pass

    def _target(self, model: str, version: int | str) -> int | None:
        if isinstance(version, int):
            return version
        return self._announced.get(model)

    async def _read_announcements(self) -> None:
        url = self._state.settings.weight_store
        if url is None:
            return
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._backends.session.get(
                f"{url}/v1/weights", timeout=limit
            ) as response:
                data = await response.json()
            for model, version in data["models"].items():
                # Absolute and never downwards: an answer may be an old one.
                known = self._announced.get(model, -1)
                self._announced[model] = max(known, int(version))
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return

    async def _read_engines(self) -> None:
        due = [
            engine
            for pool in (self._state.deployment.pools if self._state.deployment else ())
            for engine in pool.engines
            if engine.data_centre == self._state.data_centre
            if self._is_due(pool, engine)
        ]
        await asyncio.gather(*(self._read_engine(engine) for engine in due))

    def _is_due(self, pool: Pool, engine: Engine) -> bool:
        known = self._known.setdefault(engine.name, _Known())
        if known.busy:
            return False
        if known.reading is None:
            return boot_time() - known.at > 1.0
        report = self._state.members.reports().get(engine.name)
        if (
            report
            and report.at > known.at
            and report.versions != known.reading.versions
        ):
            return True
        for model in pool.models:
            target = self._target(model.name, model.version)
            if target is not None and known.reading.versions.get(model.name) != target:
                return True
        return boot_time() - known.at > _REREAD

    async def _read_engine(self, engine: Engine) -> None:
        known = self._known[engine.name]
        known.at = boot_time()
        try:
            known.reading = await self._backends.read_load(engine.address, 1.0)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            known.reading = None

    def _order_pool(self, held: HeldLease, pool: Pool, model: str, target: int) -> None:
        engines = {
            e.name: e for e in pool.engines if e.data_centre == self._state.data_centre
        }
        weights = [self._weights(name, model) for name in engines]
        for order in next_orders(weights, model, target, pool.swap_share):
            task = asyncio.create_task(self._give(held, engines[order.engine], order))
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    def _weights(self, name: str, model: str) -> EngineWeights:
        known = self._known.get(name, _Known())
        if known.reading is None:
            return EngineWeights(name, -1, -1, known.busy, alive=False)
        return EngineWeights(
            name,
            known.reading.versions.get(model, -1),
            known.reading.staged.get(model, -1),
            known.busy,
        )

    async def _give(self, held: HeldLease, engine: Engine, order: Order) -> None:
        known = self._known[engine.name]
        if known.busy:
            return
        timeout = self._state.settings.timings.order_timeout
        current = self._keeper.held(held.name)
        # Checked in the very step in which the order is written: an engine that
        # ignores fencing numbers has only this guard.
        if current is None or not current.may_act(boot_time(), timeout):
            return
        known.busy = True
        body = {
            "order_id": uuid.uuid4().hex,
            "fence": current.fence,
            "action": order.action,
            "model": order.model,
            "version": order.version,
        }
        try:
            status = await self._backends.order(engine.address, body, timeout)
            self._metrics.orders.add(1, {"outcome": str(status)})
        except (aiohttp.ClientError, TimeoutError):
            self._metrics.orders.add(1, {"outcome": "unknown"})
        finally:
            known.busy = False
        # What the engine said of the order does not count, only its state does.
        await self._read_engine(engine)
