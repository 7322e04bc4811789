# SPDX-License-Identifier: MIT

"""
Orders engines for the services whose configuration has limits for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saddledoor import GatewayService, JobState
from saddledoor.scaling import (
    EngineGroup,
    OrderRefusals,
    ScalingInputs,
    ScalingState,
    decide_scaling,
    orders_due,
)

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..duties.lease import DutyLease
from ..ports import DutyCalls
from .history import Freshness, ServiceHistory, gets_plain_requests
from .orders import OrderSender


__all__ = ["ReadState", "ScalingController"]

_log = structlog.get_logger()

#: Interval between decisions, in seconds.
_INTERVAL = 0.5
#: Shortest remaining validity of the lease for which a decision is made, in seconds.
_DECISION_MARGIN = 0.6


@dataclass(frozen=True)
class ReadState:
    """
    How far this node has read what decisions are based on.

    :param read_at: See `Freshness.observe`, monotonic, in seconds.
    :param is_reading: See `Freshness.observe`.
    :param resumed_at: When the process last resumed after a pause, monotonic, in
        seconds.
    """

    read_at: float
    is_reading: bool
    resumed_at: float


class _ServiceScaling:
    """
    What this node knows of a service, and its decisions while it holds the lease.
    """

    def __init__(
        self, service: str, calls: DutyCalls, lease: DutyLease, holder: str
    ) -> None:
        # What the platform has refused stays known under the next fencing number.
        self.refusals = OrderRefusals()
        self._new_orders = lambda: OrderSender(
            service, calls, lease, holder, self.refusals
        )
        self.history = ServiceHistory(service)
        self.orders = self._new_orders()
        self.state: ScalingState | None = None
        self._fence: int | None = None

    def keep_decisions_of(self, fence: int) -> None:
        """
        Forget what was ordered under another fencing number, since another node may
        have ordered meanwhile.
        """
        if fence != self._fence:
            self._fence = fence
            self.state = None
            self.orders = self._new_orders()


class ScalingController:
    """
    Follows the demand on every node, and orders engines on the one with the lease.

    :param read_state: Returns how far this node has read.
    :param open_jobs: Returns the jobs with items left to run.
    :param evacuated: Returns the data centres whose engines get no work.
    :param is_fixed: Tells whether the operator holds the counts.
    :param holder: Name of this node.
    :ivar engine_seconds: Seconds of engines seen, by service, data centre and kind.
    """

    def __init__(
        self,
        view: ClusterView,
        calls: DutyCalls,
        lease: DutyLease,
        read_state: Callable[[], ReadState],
        open_jobs: Callable[[], list[JobState]],
        evacuated: Callable[[], frozenset[str]],
        is_fixed: Callable[[], bool],
        holder: str,
    ) -> None:
        self._view = view
        self._calls = calls
        self._lease = lease
        self._read_state = read_state
        self._open_jobs = open_jobs
        self._evacuated = evacuated
        self._is_fixed = is_fixed
        self._holder = holder
        self._freshness = Freshness()
        self._services: dict[str, _ServiceScaling] = {}
        self._observed_at: float | None = None
        self.engine_seconds: dict[tuple[str, EngineGroup], float] = {}

    async def run(self) -> None:
        """
        Observe and decide until cancelled.
        """
        while True:
            await asyncio.sleep(_INTERVAL)
            self._observe(boot_time())
            for service in self._scaled_services():
                await self._order(service)

    def counts(self) -> dict[tuple[str, str, EngineGroup], int]:
        """
        Return the numbers of engines by service, state and group.

        Engines that are wanted or booting are known only to the node with the lease.
        """
        found: dict[tuple[str, str, EngineGroup], int] = {}
        is_holder = self._lease.current(0.0) is not None
        for name, scaling in self._services.items():
            census = scaling.history.census
            kinds = {"seen": census.seen, "leaving": census.leaving}
            if scaling.state is not None and is_holder:
                wanted = scaling.state.wanted
                kinds["wanted"] = wanted
                kinds["booting"] = {
                    group: max(0, n - census.present.get(group, 0))
                    for group, n in wanted.items()
                }
            for kind, groups in kinds.items():
                found |= {(name, kind, group): n for group, n in groups.items()}
        return found

    def _scaled_services(self) -> list[GatewayService]:
        config = self._view.config
        services = config.services.values() if config is not None else ()
        return [service for service in services if service.scaling is not None]

    def _observe(self, now: float) -> None:
        reads = self._read_state()
        just_resumed = reads.read_at < reads.resumed_at
        self._freshness.observe(
            reads.read_at, reads.is_reading and not just_resumed, now
        )
        scaled = {service.name for service in self._scaled_services()}
        for name in self._services.keys() - scaled:
            del self._services[name]
        open_jobs = self._open_jobs()
        elapsed = 0.0 if self._observed_at is None else now - self._observed_at
        self._observed_at = now
        for name in scaled:
            if name not in self._services:
                self._services[name] = _ServiceScaling(
                    name, self._calls, self._lease, self._holder
                )
            history = self._services[name].history
            history.observe(self._view, open_jobs, self._freshness, now)
            for group, n in history.census.seen.items():
                seconds = self.engine_seconds.get((name, group), 0.0)
                self.engine_seconds[name, group] = seconds + n * elapsed

    async def _order(self, service: GatewayService) -> None:
        scaling = self._services.get(service.name)
        now = boot_time()
        if scaling is None:
            return
        held = self._lease.current(_DECISION_MARGIN)
        if held is None:
            return
        scaling.keep_decisions_of(held.fence)
        if not self._freshness.is_certain(now):
            return
        history = scaling.history
        for group in history.census.reclaimed:
            scaling.refusals.record_reclaimed(group, now)
        inputs = ScalingInputs(
            now,
            service.scaling,
            history.census,
            history.demand,
            scaling.refusals.closed(now),
            self._evacuated(),
            gets_plain_requests(self._view.config, service.name),
            self._is_fixed(),
            self._freshness.is_settled(now),
        )
        before = scaling.state or ScalingState.from_census(history.census)
        scaling.state = decide_scaling(before, inputs)
        if scaling.state.wanted != before.wanted:
            _log_change(service.name, before, scaling.state, inputs)
        await scaling.orders.send(
            orders_due(scaling.state, inputs), service.scaling.boot_time, now
        )


def _log_change(
    service: str, before: ScalingState, after: ScalingState, inputs: ScalingInputs
) -> None:
    demand = inputs.demand
    _log.info(
        "engines_wanted",
        service=service,
        wanted=_named(after.wanted),
        before=_named(before.wanted),
        present=_named(inputs.census.present),
        needed=after.need,
        slots_used=None if demand.used is None else round(demand.used, 1),
        slots_in_use=demand.in_use,
        closed=sorted(map(_name_of, inputs.closed)),
        evacuated=sorted(inputs.evacuated),
        fixed=inputs.is_fixed,
    )


def _named(counts) -> dict[str, int]:
    return {_name_of(group): n for group, n in sorted(counts.items()) if n}


def _name_of(group: EngineGroup) -> str:
    return f"{group.data_centre}/spot" if group.is_spot else group.data_centre
