# SPDX-License-Identifier: MIT

"""
Cold engines: how many requests they get, from which VM, and when they are presumed.

Guards against a cold engine that gets more requests in a second than it bears, and
against one that gets none.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest
from fake_log import FakeLog
from hypothesis import example, given
from hypothesis import strategies as st

from builders import (
    make_engine_entry,
    make_gateway_config,
    make_job,
    make_job_state,
    make_route,
)
from saddledoor import (
    ColdLimit,
    ColdState,
    Denial,
    GatewayService,
    SendNeeds,
    SendWindow,
    least_outstanding,
)
from saddledoord._clock import boot_time
from saddledoord.cluster.leases import LeaseLog
from saddledoord.cluster.view import ClusterView
from saddledoord.cluster.work_shares import WorkShares
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.placement import Placement
from saddledoord.ports import Evacuation, KeyedEntry, SendPermit
from saddledoord.serving.cold_engines import ColdEngines, ColdPermission
from saddledoord.serving.gate import SendGate, SendSettings
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pool import EnginePool


_LIMIT = ColdLimit.of(8.9, 1.5, 5.0)
_MODEL = "model-a"


def test_the_limit_is_halved_for_each_vm_and_divided_among_holders():
    """
    A share of 0 would keep an engine cold for ever.
    """
    assert _LIMIT.total == 18
    assert [_LIMIT.per_vm(holders) for holders in (0, 1, 2, 9, 30)] == [9, 9, 4, 1, 1]


@pytest.mark.parametrize(
    ("state", "ended_at", "until"),
    [
        (ColdState(), None, float("-inf")),
        (ColdState(arrived_at=10.0), None, 13.0),
        (ColdState(reported_until=11.0), None, 11.0),
        (ColdState(arrived_at=10.0, reported_until=20.0), 12.0, 20.0),
        (ColdState(arrived_at=10.0), 12.0, 15.0),
        (ColdState(arrived_at=10.0), 5.0, 13.0),
    ],
)
def test_an_engine_is_cold_as_long_as_any_reason_says(state, ended_at, until):
    """
    The entry may be older than the reason to presume it.
    """
    assert state.until(3.0, ended_at) == until


#: Of one attempt to send: time since the last one; time until the first byte is
#: written, until this VM has noticed that, and from the first byte to the arrival; all
#: in seconds. A VM that is paused before the first byte for longer sends nothing.
_ATTEMPT = st.tuples(
    st.floats(0.0, 0.1) | st.sampled_from([0.0, 0.5, 1.0]),
    st.floats(0.0, 1.2) | st.sampled_from([0.0, 0.8]),
    st.floats(0.0, 3.0),
    st.floats(0.0, 0.2),
)
#: A burst that is as late as it may be, and then one that is not delayed.
_TWO_BURSTS = [*[(0.01, 0.8, 0.0, 0.2)] * 12, *[(0.1, 0.0, 0.0, 0.0)] * 40]


def _arrivals(start: float, attempts, limit: int) -> list[float]:
    """
    Return when the requests of one VM arrive, which sends whenever it may.
    """
    window, now, arrivals = SendWindow(), start, []
    notices = []
    for gap, until_written, until_noticed, transit in attempts:
        now += gap
        for at, send in notices:
            if at <= now:
                send.record_written(at)
        notices = [(at, send) for at, send in notices if at > now]
        if window.count(now) >= limit:
            continue
        send = window.add(now)
        if until_written > 0.8:
            continue
        arrivals.append(now + until_written + transit)
        notices.append((now + until_written + until_noticed, send))
    return arrivals


def _most_in_a_second(arrivals: list[float]) -> int:
    return max(
        (sum(at <= other <= at + 1.0 for other in arrivals) for at in arrivals),
        default=0,
    )


@given(
    st.lists(_ATTEMPT, max_size=80), st.lists(_ATTEMPT, max_size=80), st.floats(0, 5)
)
@example(_TWO_BURSTS, _TWO_BURSTS, 0.0)
def test_two_vms_never_exceed_the_limit_in_any_second(first, second, start):
    """
    A holder that was cut off and its successor may send at the same time, and each may
    be paused or delayed; what counts is when the requests arrive.
    """
    arrivals = _arrivals(0.0, first, _LIMIT.per_vm())
    arrivals += _arrivals(start, second, _LIMIT.per_vm())
    assert _most_in_a_second(arrivals) <= _LIMIT.total


@pytest.mark.parametrize(("until_written", "least"), [(0.005, 65), (0.8, 40)])
def test_a_cold_engine_is_not_starved(until_written, least):
    """
    It gets nearly the limit of one VM in 10 s if there is enough work, and about half
    of it if every send is as late as it may be.
    """
    attempts = [(0.01, until_written, 0.0, 0.0)] * 1000
    assert len(_arrivals(0.0, attempts, _LIMIT.per_vm())) >= least


def test_the_next_free_time_is_when_a_request_counts_no_more():
    """
    Callers are told to ask again then.
    """
    window = SendWindow()
    for now in (0.0, 0.5):
        window.add(now).record_written(now)
    assert window.free_at(0.6, 3) == 0.6
    assert window.free_at(0.6, 2) == pytest.approx(1.2)
    assert window.free_at(0.6, 1) == pytest.approx(1.7)
    assert window.count(1.3) == 1


class _Setup:
    """
    A gate, a pool and engines of a service with a limit.

    :ivar permission: Whether this VM may send to cold engines.
    """

    def __init__(self, *engines: str, cold_rate: float = 8.9) -> None:
        self.permission = ColdPermission(True)
        self.view = ClusterView()
        config = make_gateway_config(1, [make_route("/train/")])
        services = {
            "desk": GatewayService(
                "desk", 50, (_MODEL,), cold_start=3.0, cold_rate=cold_rate
            )
        }
        config = replace(config, services=services)
        self.view.apply_operator(KeyedEntry("config", 0, config))
        for engine in engines:
            self.put(engine)
        self.view.retain_engines(set(engines))
        self.cold = ColdEngines(self.view, lambda _: self.permission, (1.5, 5.0))
        self.gate = SendGate(self.view, cold=self.cold)
        self.pool = EnginePool(self.view, least_outstanding(lambda: 0.0), self.gate)

    def put(self, engine: str, **changes) -> None:
        entry = make_engine_entry(engine, **changes)
        self.view.apply_engine(KeyedEntry(engine, 0, entry))

    def engine(self, engine: str):
        return self.view.directory.get(engine)

    def is_cold(self, engine: str) -> bool:
        return self.gate.is_cold(self.engine(engine), boot_time())

    def permit(self, engine: str, is_held: bool = False) -> SendPermit | Denial:
        return self.gate.permit(
            self.engine(engine), SendNeeds(), boot_time(), is_held=is_held
        )

    def count_permits(self, engine: str) -> int:
        permits = [self.permit(engine) for _ in range(30)]
        return sum(isinstance(permit, SendPermit) for permit in permits)


def test_a_service_without_a_limit_is_not_restricted():
    """
    Deployments without the setting are served as before.
    """
    setup = _Setup("e-1", cold_rate=0.0)
    setup.put("e-2", cold_left=3.0)
    assert not setup.is_cold("e-2")
    assert setup.count_permits("e-2") == 30
    assert setup.gate.is_unrestricted("desk", SendNeeds())
    assert setup.cold.facts(setup.engine("e-2"), boot_time()) is None


def test_an_engine_is_sent_half_the_limit_whether_it_is_known_to_be_cold_or_not():
    """
    It may have become cold unnoticed.
    """
    setup = _Setup("e-1")
    assert not setup.is_cold("e-1")
    assert setup.count_permits("e-1") == 9
    assert setup.permit("e-1") is Denial.RATE
    refusal = setup.gate.refusal("desk", SendNeeds())
    assert 0.1 <= refusal.retry_after <= 2.0


def test_engines_are_presumed_cold_when_they_appear_or_come_back():
    """
    Those that were there before this VM are known by their entries only.
    """
    setup = _Setup("e-1")
    assert not setup.is_cold("e-1")
    setup.put("e-2")
    assert setup.is_cold("e-2")
    setup.put("e-1", started_at=2_000)
    assert setup.is_cold("e-1")


def test_an_engine_whose_entry_lapsed_is_presumed_cold():
    """
    It got no requests meanwhile.
    """
    setup = _Setup("e-1")
    setup.view.apply_engine(KeyedEntry("e-1", 1, None))
    setup.put("e-1")
    assert setup.is_cold("e-1")


def test_engines_are_presumed_cold_after_an_evacuation():
    """
    Counted from when this VM learnt of its end.
    """
    setup = _Setup("e-1")
    setup.view.apply_operator(KeyedEntry("key", 1, Evacuation("dc-a")))
    assert setup.permit("e-1") is Denial.EVACUATED
    assert not setup.is_cold("e-1")
    setup.view.apply_operator(KeyedEntry("key", 2, None))
    assert setup.is_cold("e-1")


def test_the_newest_entry_says_how_long_an_engine_stays_cold():
    """
    Also at an engine that has become cold while it ran.
    """
    setup = _Setup("e-1")
    setup.put("e-1", cold_left=0.1)
    assert setup.is_cold("e-1")
    setup.put("e-1", cold_left=0.0)
    assert not setup.is_cold("e-1")


def test_only_the_vm_with_the_share_sends_to_cold_engines():
    """
    All VMs together would exceed the limit.
    """
    setup = _Setup("e-1")
    setup.put("e-1", cold_left=2.0)
    setup.permission = ColdPermission(False)
    assert setup.permit("e-1") is Denial.COLD
    refusal = setup.gate.refusal("desk", SendNeeds())
    assert 1.5 < refusal.retry_after <= 2.0
    setup.permission = ColdPermission(True, 2)
    assert setup.count_permits("e-1") == 4


def test_a_cold_engine_is_chosen_after_the_others():
    """
    It is slow; but it is chosen if no other is left.
    """
    setup = _Setup("e-0", "e-1")
    setup.put("e-0", cold_left=30.0)
    assert setup.pool.choose("desk").engine_id == "e-1"
    assert setup.pool.choose("desk", [setup.engine("e-1").incarnation]).engine_id == (
        "e-0"
    )
    paces = EnginePaces(setup.view.engine_tables)
    placement = Placement(setup.view, setup.pool, paces, set())
    job = make_job(1)
    run = ItemRun.create(make_job_state(job), job.items[0])
    route = make_route("/train/")
    chosen = placement.choose(run, route, ())
    assert chosen.engine_id == "e-1"
    assert placement.choose(run, route, {chosen.incarnation}).engine_id == "e-0"
    assert placement.is_cold(setup.engine("e-0"))


def test_a_cold_engine_that_is_overtaken_is_not_taken_for_slow():
    """
    It would be passed over for seconds after it has become warm.
    """
    setup = _Setup("e-0", "e-1")
    setup.put("e-0", cold_left=1.0)
    setup.pool.record_overtaken(setup.engine("e-0"))
    setup.put("e-0")
    assert setup.pool.choose("desk").engine_id == "e-0"
    setup.pool.record_overtaken(setup.engine("e-0"))
    assert setup.pool.choose("desk").engine_id == "e-1"


def test_a_place_is_held_for_an_item_until_it_is_sent():
    """
    The engine would otherwise be chosen for more items than it may get.
    """
    setup = _Setup("e-1")
    engine = setup.engine("e-1")
    releases = [setup.gate.hold(engine) for _ in range(9)]
    assert not setup.gate.is_allowed(engine, SendNeeds(), boot_time())
    assert isinstance(setup.permit("e-1", is_held=True), SendPermit)
    for release in (*releases, *releases):
        release()
    assert setup.cold.facts(engine, boot_time()).sends_left == 8


def test_a_reservation_releases_its_place_when_its_item_is_sent_or_not():
    """
    A place that is kept would count against the engine for the whole text.
    """
    setup = _Setup("e-1")
    engine = setup.engine("e-1")
    paces = EnginePaces(setup.view.engine_tables)
    placement = Placement(setup.view, setup.pool, paces, set())
    job = make_job(2)
    first, second = (
        placement.reserve(ItemRun.create(make_job_state(job), item), engine)
        for item in job.items
    )
    assert setup.cold.facts(engine, boot_time()).sends_left == 7
    first.record_sent()
    assert setup.cold.facts(engine, boot_time()).sends_left == 8
    first.release()
    second.release()
    assert setup.cold.facts(engine, boot_time()).sends_left == 9


def test_a_request_counts_until_it_must_have_arrived():
    """
    The permit is told when the first byte is written.
    """
    setup = _Setup("e-1")
    before = boot_time()
    for _ in range(9):
        setup.permit("e-1").on_written()
    free_at = setup.cold.facts(setup.engine("e-1"), boot_time()).free_at
    assert 1.2 <= free_at - before < 1.5


def test_changed_bounds_take_effect():
    """
    The settings may change while the process runs.
    """
    setup = _Setup("e-1")
    setup.gate.set_settings(SendSettings(cold_bounds=(1.0, 0.0)))
    assert setup.count_permits("e-1") == 4


class _OwnLog(FakeLog):
    """
    The connection of one node to a common log.
    """

    def __init__(self, common: FakeLog) -> None:
        super().__init__()
        self.records = common.records


def test_a_holder_that_is_cut_off_stops_before_another_may_claim():
    """
    It keeps its share, but two VMs would send to the same cold engines.
    """

    async def nothing() -> None:
        pass

    def make_node(log: FakeLog, name: str) -> tuple[LeaseLog, WorkShares]:
        leases = LeaseLog(log, name)
        return leases, WorkShares(leases, lambda: {"pool"}, nothing, nothing, 2.0)

    async def until(check) -> None:
        async with asyncio.timeout(10.0):
            while not check():
                await asyncio.sleep(0.005)

    async def scenario() -> None:
        common = FakeLog()
        logs = [_OwnLog(common), _OwnLog(common)]
        nodes = [make_node(log, name) for log, name in zip(logs, "ab", strict=True)]
        async with AsyncExitStack() as stack:
            for leases, shares in nodes:
                for loop in (leases.run(), shares.run()):
                    stack.callback(asyncio.create_task(loop).cancel)
            await until(lambda: any(shares.holds("pool") for _, shares in nodes))
            holder = next(i for i in (0, 1) if nodes[i][1].holds("pool"))
            other = 1 - holder
            await until(lambda: nodes[holder][1].holds_alone("pool"))
            assert not nodes[other][1].holds_alone("pool")
            logs[holder].unreachable = True
            both = 0

            def has_moved() -> bool:
                nonlocal both
                alone = [shares.holds_alone("pool") for _, shares in nodes]
                both += all(alone)
                return alone[other]

            await until(has_moved)
            assert both == 0
            assert nodes[holder][1].holds("pool")
            assert not nodes[holder][1].holds_alone("pool")

    asyncio.run(scenario())
