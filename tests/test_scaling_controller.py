# SPDX-License-Identifier: MIT

"""
The controller of engines' numbers, with a platform and a lease in memory.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import pytest

from builders import make_engine_entry, make_gateway_config, make_route
from saddledoor import (
    EngineTables,
    GatewayService,
    HeldLease,
    RouteKind,
    ServiceShare,
)
from saddledoor.scaling import (
    EngineGroup,
    LeavingText,
    OrderRefusals,
    ScalingLimits,
)
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import DutyOutcome, EngineOrder, KeyedEntry
from saddledoord.scaling import controller as controller_module
from saddledoord.scaling import orders as orders_module
from saddledoord.scaling.controller import ReadState, ScalingController
from saddledoord.scaling.leaving import LeavingEngines
from saddledoord.scaling.orders import OrderSender


_LIMITS = ScalingLimits(
    1, 8, 4.0, 0.18, {"dc-a": 1.0, "dc-b": 0.8, "dc-c": 1.25, "dc-d": 0.9}
)


class _Clock:
    """
    A clock that a test moves.
    """

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@dataclass
class _Lease:
    """
    A lease that a test grants by setting its fencing number.

    :ivar in_log: Answer of the log on whether the lease is still held.
    """

    clock: _Clock
    fence: int | None = 7
    in_log: bool | None = True
    fenced_at: list[int] = field(default_factory=list)
    backoffs: int = 0

    def current(self, margin: float) -> HeldLease | None:
        if self.fence is None:
            return None
        return HeldLease("scale", self.fence, self.clock() + 10.0)

    @contextmanager
    def acting(self, margin: float) -> Iterator[HeldLease | None]:
        yield self.current(margin)

    async def confirm(self, fence: int) -> bool | None:
        return self.in_log

    def record_fenced(self, fence: int) -> None:
        self.fenced_at.append(fence)
        self.fence = None

    async def back_off(self) -> None:
        self.backoffs += 1
        self.fence = None


class _Platform:
    """
    Records every order, and answers with the result of a function.
    """

    def __init__(self) -> None:
        self.orders: list[EngineOrder] = []
        self.answer: Callable[[EngineOrder], str] = lambda order: DutyOutcome.DONE

    async def order_engines(self, order: EngineOrder, decided_at: float) -> str:
        self.orders.append(order)
        return self.answer(order)

    def groups(self) -> dict[EngineGroup, int]:
        return {EngineGroup(o.data_centre, o.is_spot): o.desired for o in self.orders}


class _Bed:
    """
    A controller whose clock, reads, engines and platform a test sets.
    """

    def __init__(self, monkeypatch) -> None:
        self.clock = _Clock()
        for module in (controller_module, orders_module):
            monkeypatch.setattr(module, "boot_time", self.clock)
        self.view = ClusterView()
        self.lease = _Lease(self.clock)
        self.platform = _Platform()
        self.is_reading = True
        self.evacuated: frozenset[str] = frozenset()
        self.is_fixed = False
        self.controller = self.new_controller(self.lease, "vm-1")
        route = make_route(
            "/train/", kind=RouteKind.JOB, shares=(ServiceShare("pool", 1.0),)
        )
        config = make_gateway_config(1, [route])
        service = GatewayService("pool", 50, ("model-a",), scaling=_LIMITS)
        config = replace(config, services={"pool": service})
        self.view.apply_operator(KeyedEntry("config", 0, config))

    def new_controller(self, lease: _Lease, holder: str) -> ScalingController:
        return ScalingController(
            self.view,
            self.platform,
            lease,
            lambda: ReadState(self.clock.now, self.is_reading, 0.0),
            list,
            lambda: self.evacuated,
            lambda: self.is_fixed,
            holder,
        )

    def put(self, data_centre: str, count: int, **changes: object) -> None:
        for number in range(count):
            name = f"{data_centre}-{number}"
            entry = make_engine_entry(
                name, service="pool", data_centre=data_centre, **changes
            )
            self.view.apply_engine(KeyedEntry(name, 0, entry))

    def remove(self, name: str) -> None:
        self.view.apply_engine(KeyedEntry(name, 1, None))

    async def run(self, seconds: float, *controllers: ScalingController) -> None:
        """
        Run the controllers' steps for a time of the clock.
        """
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += 0.5
            for controller in controllers or (self.controller,):
                controller._observe(self.clock.now)
                for service in controller._scaled_services():
                    await controller._order(service)


@pytest.fixture
def bed(monkeypatch):
    """
    Three engines in each data centre but the last, which has spot engines.
    """
    bed = _Bed(monkeypatch)
    for name in ("dc-a", "dc-b", "dc-c"):
        bed.put(name, 3)
    bed.put("dc-d", 3, is_spot=True)
    return bed


def test_nothing_is_ordered_where_the_engines_agree(bed):
    """
    Guards against orders of a new holder that only states what it sees.
    """
    asyncio.run(bed.run(60.0))
    assert bed.platform.orders == []


def test_nothing_is_ordered_while_reads_are_not_fresh(bed):
    """
    Guards against an order from what was read before an outage of the store.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.is_reading = False
        bed.put("dc-d", 3, is_spot=True, draining=True, leaves_in=2.5)
        await bed.run(10.0)
        assert bed.platform.orders == []
        bed.is_reading = True
        await bed.run(3.0)
        assert bed.platform.orders == []
        await bed.run(3.0)
        assert bed.platform.orders

    asyncio.run(run())


def test_entries_that_lapse_during_an_outage_are_not_replaced(bed):
    """
    Guards against replacing engines that serve although their entries are gone.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.is_reading = False
        for number in range(3):
            bed.remove(f"dc-a-{number}")
        await bed.run(60.0)
        assert bed.platform.orders == []
        bed.is_reading = True
        # The entries are written again soon after the store is back.
        await bed.run(1.0)
        bed.put("dc-a", 3)
        await bed.run(60.0)

    asyncio.run(run())
    assert bed.platform.orders == []


def test_a_lost_engine_is_replaced_after_six_seconds_by_the_same_number(bed):
    """
    Guards against an extra engine for one that comes back, and against an order that
    names fewer engines than were wanted.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(5.0)
        assert bed.platform.orders == []
        await bed.run(3.0)

    asyncio.run(run())
    assert bed.platform.groups() == {EngineGroup("dc-a"): 3}


def test_a_reclaimed_data_centre_is_replaced_elsewhere_at_once(bed):
    """
    Guards against an order for spot engines where they are being taken away.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.put("dc-d", 3, is_spot=True, draining=True, leaves_in=2.5)
        await bed.run(0.5)

    asyncio.run(run())
    assert bed.platform.orders
    assert EngineGroup("dc-d", is_spot=True) not in bed.platform.groups()


def test_an_evacuated_data_centre_is_replaced_elsewhere(bed):
    """
    Guards against engines ordered where they get no work.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.evacuated = frozenset({"dc-b"})
        await bed.run(1.0)

    asyncio.run(run())
    assert bed.platform.orders
    assert "dc-b" not in {order.data_centre for order in bed.platform.orders}
    assert all(order.desired >= 1 for order in bed.platform.orders)


def test_a_refusal_for_the_fence_ends_the_lease_of_another_holder(bed):
    """
    Guards against a holder that goes on after another one has a higher fence.
    """
    bed.platform.answer = lambda order: DutyOutcome.FENCED
    bed.lease.in_log = False

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(30.0)

    asyncio.run(run())
    assert bed.lease.fenced_at == [7]
    assert len(bed.platform.orders) == 1


def test_no_call_follows_a_refusal_before_the_lease_is_read(bed):
    """
    Guards against a call under a fence that may be outdated.
    """
    bed.platform.answer = lambda order: DutyOutcome.FENCED
    bed.lease.in_log = None

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(60.0)

    asyncio.run(run())
    assert len(bed.platform.orders) == 1
    assert bed.lease.fenced_at == []


def test_a_data_centre_without_engines_is_replaced_by_others(bed):
    """
    Guards against a need that stays unmet because one data centre has no engine.
    """
    refused = EngineGroup("dc-a")
    bed.platform.answer = lambda order: (
        DutyOutcome.FENCED
        if (order.data_centre, order.is_spot) == refused
        else DutyOutcome.DONE
    )

    async def run() -> None:
        await bed.run(10.0)
        for number in range(3):
            bed.remove(f"dc-a-{number}")
        await bed.run(10.0)

    asyncio.run(run())
    others = {group for group in bed.platform.groups() if group != refused}
    assert others
    assert bed.lease.fenced_at == []


@pytest.mark.parametrize("claims_again", [False, True])
def test_a_lease_that_lapses_for_a_moment_keeps_the_pauses(bed, claims_again):
    """
    Guards against an order that is repeated without a pause after each lapse.
    """
    bed.platform.answer = lambda order: DutyOutcome.FENCED

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(7.0)
        for _ in range(14):
            bed.lease.fence = None
            await bed.run(0.5)
            bed.lease.fence = 7 + claims_again
            await bed.run(0.5)

    asyncio.run(run())
    places = Counter((o.data_centre, o.is_spot) for o in bed.platform.orders)
    assert max(places.values()) <= 4


def test_a_lease_that_lapses_for_a_moment_keeps_the_count(bed):
    """
    Guards against a lost engine that is forgotten when the lease is renewed late.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(5.0)
        bed.lease.fence = None
        await bed.run(3.0)
        assert bed.platform.orders == []
        bed.lease.fence = 7
        await bed.run(1.0)

    asyncio.run(run())
    assert bed.platform.groups() == {EngineGroup("dc-a"): 3}


def test_engines_that_never_boot_are_ordered_elsewhere(bed):
    """
    Guards against an order that is accepted, repeated and never fulfilled.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(40.0)

    asyncio.run(run())
    assert len(bed.platform.groups()) > 1


def test_a_call_without_an_answer_is_repeated_with_the_same_number(bed):
    """
    Guards against a second, different order while the first may still be carried out.
    """
    answers = iter([DutyOutcome.UNKNOWN])
    bed.platform.answer = lambda order: next(answers, DutyOutcome.DONE)

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(9.0)

    asyncio.run(run())
    assert [order.desired for order in bed.platform.orders] == [3, 3]


def test_a_call_that_is_carried_out_late_gives_no_engine_back(bed):
    """
    Guards against giving back engines at once that an earlier call has added.
    """

    async def run() -> None:
        await bed.run(10.0)
        bed.put("dc-b", 6)
        await bed.run(60.0)

    asyncio.run(run())
    assert bed.platform.orders == []


def test_the_lease_is_left_when_the_platform_does_not_answer(bed):
    """
    Guards against a holder that cannot reach the platform and keeps the lease.
    """
    bed.platform.answer = lambda order: DutyOutcome.UNKNOWN

    async def run() -> None:
        await bed.run(10.0)
        bed.remove("dc-a-0")
        await bed.run(20.0)

    asyncio.run(run())
    assert bed.lease.backoffs == 1
    assert len(bed.platform.orders) <= 4


def test_a_new_holder_repeats_the_order_of_a_killed_one(bed):
    """
    Guards against a different number from a holder that takes over during an order.
    """

    async def run() -> None:
        lease = _Lease(bed.clock, fence=None)
        second = bed.new_controller(lease, "vm-2")
        await bed.run(10.0, bed.controller, second)
        bed.remove("dc-a-0")
        await bed.run(3.0, bed.controller, second)
        # The first is killed before it has ordered.
        lease.fence = 9
        await bed.run(10.0, second)

    asyncio.run(run())
    assert {(o.holder, o.desired) for o in bed.platform.orders} == {("vm-2", 3)}


def test_an_old_decision_is_not_sent(bed):
    """
    Guards against an order that was decided before a pause of the process.
    """

    async def run() -> None:
        sender = OrderSender("pool", bed.platform, bed.lease, "vm-1", OrderRefusals())
        group = EngineGroup("dc-a")
        await sender.send([(group, 3)], 4.0, bed.clock.now - 1.0)
        assert bed.platform.orders == []
        await sender.send([(group, 3)], 4.0, bed.clock.now)
        assert len(bed.platform.orders) == 1

    asyncio.run(run())


def test_the_longest_texts_move_first_and_as_many_as_find_a_place():
    """
    Guards against texts that leave an engine without another one to go to.
    """
    clock = _Clock()
    leaving = LeavingEngines(EngineTables(), clock)
    entry = make_engine_entry("e-1", is_spot=True)
    texts = [LeavingText("a", 3.0), LeavingText("b", 9.0), LeavingText("c", 0.5)]

    def moving(places: int) -> set[str]:
        return {
            name
            for name in "abc"
            if leaving.must_move(entry.incarnation, name, lambda: texts, lambda: places)
        }

    leaving.observe(entry)
    assert moving(3) == set()
    leaving.observe(replace(entry, draining=True, leaves_in=2.5))
    assert moving(3) == {"a", "b"}
    assert moving(1) == {"b"}
    assert moving(0) == set()
    # A repeated entry gives the time left when it was first written.
    clock.now += 1.5
    leaving.observe(replace(entry, draining=True, leaves_in=2.5))
    assert moving(3) == {"a", "b", "c"}
