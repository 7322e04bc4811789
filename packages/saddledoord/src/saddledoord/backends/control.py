# SPDX-License-Identifier: MIT

"""
Orders weight swaps of a data centre's engines while holding its control lease.
"""

from __future__ import annotations

import asyncio
import json
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
from .client import UNUSABLE_JSON, BackendClient, LoadReading


__all__ = ["WeightController", "control_lease_name"]

_log = structlog.get_logger()

#: Interval of the control loop, in seconds.
_POLL_INTERVAL = 0.5
#: Interval of reading an engine that runs its target version, in seconds. A report of
#: another version triggers an earlier read.
_REREAD_INTERVAL = 30.0
#: Delay per rank before a VM tries to claim a free control lease, in seconds.
_CLAIM_DELAY_PER_RANK = 0.5
#: Interval of writing a snapshot of the accepted configuration to the log, in seconds.
_SNAPSHOT_INTERVAL = 600.0


def control_lease_name(data_centre: str) -> str:
    """
    Return the name of a data centre's control lease.
    """
    return f"control/{data_centre}"


@dataclass
class _EngineState:
    """
    What the lease holder knows of an engine.

    :param reading: The latest reading; None if there is none or it failed.
    :param read_at: Time of the latest read attempt, in seconds of `boot_time`.
    :param busy: Whether an order to the engine is in flight.
    """

    reading: LoadReading | None = None
    read_at: float = -1e9
    busy: bool = False


class WeightController:
    """
    Loop that updates the weights of this data centre's engines.

    It runs on every VM; only the lease holder sends orders.
    """

    def __init__(
        self,
        state: NodeState,
        keeper: LeaseKeeper,
        backends: BackendClient,
        log: LogClient,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._backends = backends
        self._log = log
        self._metrics = metrics
        self._engine_states: dict[str, _EngineState] = {}
        self._announced_versions: dict[str, int] = {}
        self._fence = -1
        self._snapshot_at = boot_time()
        self._lease_free_since: float | None = None
        self._orders: set[asyncio.Task] = set()

    async def run(self) -> None:
        """
        Claim the lease when it is free, and send orders while it is held.
        """
        name = control_lease_name(self._state.data_centre)
        while True:
            await asyncio.sleep(_POLL_INTERVAL)
            if self._state.stage != "serving":
                continue
            lease = self._keeper.held(name) or await self._try_claim(name)
            if lease is not None and lease.may_act(boot_time()):
                await self._control_engines(lease)

    async def _try_claim(self, name: str) -> HeldLease | None:
        if not self._keeper.may_claim(name):
            self._lease_free_since = None
            return None
        now = boot_time()
        self._lease_free_since = self._lease_free_since or now
        order = rendezvous_order(name, self._state.live_vms())
        rank = order.index(self._state.settings.vm)
        if now - self._lease_free_since < rank * _CLAIM_DELAY_PER_RANK:
            return None
        return await self._keeper.try_claim(name)

    async def _control_engines(self, lease: HeldLease) -> None:
        if lease.fence != self._fence:
            # A new holder reads the engines' state before it sends any order.
            self._fence = lease.fence
            self._engine_states.clear()
        await self._snapshot_when_due()
        await self._read_announcements()
        await self._read_engines()
        for pool in self._state.deployment.pools if self._state.deployment else ():
            for model in pool.models:
                target = self._target_version(model.name, model.version)
                if target is not None:
                    self._order_pool(lease, pool, model.name, target)

    async def _snapshot_when_due(self) -> None:
        fold = self._state.config_fold
        snapshot: ConfigSnapshot | None = fold.snapshot() if fold else None
        if snapshot is None or boot_time() - self._snapshot_at < _SNAPSHOT_INTERVAL:
            return
        try:
            await self._log.append(CONFIG_STREAM, [snapshot])
            self._snapshot_at = boot_time()
        except LogUnavailableError:
            pass

    def _target_version(self, model: str, version: int | str) -> int | None:
        if isinstance(version, int):
            return version
        return self._announced_versions.get(model)

    async def _read_announcements(self) -> None:
        url = self._state.settings.weight_store
        if url is None:
            return
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._backends.session.get(
                f"{url}/v1/weights", timeout=limit
            ) as response:
                body = await response.read()
            versions = {
                str(model): int(version)
                for model, version in json.loads(body)["models"].items()
            }
        except (aiohttp.ClientError, TimeoutError, *UNUSABLE_JSON) as error:
            _log.info("weights_not_read", reason=repr(error)[:100])
            return
        for model, version in versions.items():
            # Never decreases: the response may be stale.
            previous = self._announced_versions.get(model, -1)
            self._announced_versions[model] = max(previous, version)

    async def _read_engines(self) -> None:
        due = [
            engine
            for pool in (self._state.deployment.pools if self._state.deployment else ())
            for engine in pool.engines
            if engine.data_centre == self._state.data_centre
            if self._is_read_due(pool, engine)
        ]
        await asyncio.gather(*(self._read_engine(engine) for engine in due))

    def _is_read_due(self, pool: Pool, engine: Engine) -> bool:
        engine_state = self._engine_states.setdefault(engine.name, _EngineState())
        if engine_state.busy:
            return False
        if engine_state.reading is None:
            return boot_time() - engine_state.read_at > 1.0
        report = self._state.members.reports().get(engine.name)
        if (
            report
            and report.at > engine_state.read_at
            and report.versions != engine_state.reading.versions
        ):
            return True
        for model in pool.models:
            target = self._target_version(model.name, model.version)
            if (
                target is not None
                and engine_state.reading.versions.get(model.name) != target
            ):
                return True
        return boot_time() - engine_state.read_at > _REREAD_INTERVAL

    async def _read_engine(self, engine: Engine) -> None:
        engine_state = self._engine_states[engine.name]
        engine_state.read_at = boot_time()
        try:
            engine_state.reading = await self._backends.read_load(engine.address, 1.0)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            engine_state.reading = None

    def _order_pool(
        self, lease: HeldLease, pool: Pool, model: str, target: int
    ) -> None:
        engines = {
            e.name: e for e in pool.engines if e.data_centre == self._state.data_centre
        }
        weights = [self._weights(name, model) for name in engines]
        for order in next_orders(weights, model, target, pool.swap_share):
            task = asyncio.create_task(
                self._send_order(lease, engines[order.engine], order)
            )
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    def _weights(self, name: str, model: str) -> EngineWeights:
        engine_state = self._engine_states.get(name, _EngineState())
        if engine_state.reading is None:
            return EngineWeights(name, -1, -1, engine_state.busy, alive=False)
        return EngineWeights(
            name,
            engine_state.reading.versions.get(model, -1),
            engine_state.reading.staged.get(model, -1),
            engine_state.busy,
        )

    async def _send_order(self, lease: HeldLease, engine: Engine, order: Order) -> None:
        engine_state = self._engine_states[engine.name]
        if engine_state.busy:
            return
        timeout = self._state.settings.timings.order_timeout
        # Checked immediately before the order is sent: it is the only protection for an
        # engine that ignores fencing numbers.
        with self._keeper.acting(lease.name, timeout) as current:
            if current is None:
                return
            engine_state.busy = True
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
                engine_state.busy = False
        # The engine's state decides, not its response to the order.
        await self._read_engine(engine)
