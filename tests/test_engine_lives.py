# SPDX-License-Identifier: MIT

"""
Engines that restart under the same id.

Weights, load and failures of an incarnation must not be applied to the next one:
otherwise the restarted engine would not be loaded, or would get items that it cannot
run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from dataclasses import dataclass, replace

import pytest
from crash_watches import make_crash_watch

from builders import (
    make_engine_entry,
    make_gateway_config,
    make_job,
    make_job_state,
    make_request,
    make_route,
)
from saddledoor import (
    EngineDirectory,
    EngineEntry,
    GatewayService,
    GeneratedEvent,
    Incarnation,
    KeyFreshnessBounds,
    OutcomeUnknown,
    RouteKind,
    least_outstanding,
)
from saddledoord._clock import boot_time
from saddledoord.cluster import view as view_module
from saddledoord.cluster.engine_timeouts import EngineTimeouts
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.attempt import AttemptRunner
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.placement import Placement
from saddledoord.orders.weights import WeightUpdater
from saddledoord.ports import (
    EngineAnswer,
    EngineState,
    GenerationFailedError,
    KeyedEntry,
    OrderOutcome,
)
from saddledoord.serving.admission import Admission
from saddledoord.serving.gate import SendGate
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pass_through import PassThrough
from saddledoord.serving.pool import EnginePool
from saddledoord.serving.unresponsive_engines import UnresponsiveEngines


MODEL = "model-a"
#: Start times of two incarnations of an engine, in Unix milliseconds.
FIRST, SECOND = 1_000, 2_000


def _entry(started_at: int | None, engine_id: str = "e-1", **changes) -> EngineEntry:
    return make_engine_entry(engine_id, started_at=started_at, **changes)


class _Node:
    """
    The parts of a node that hold state of engines.
    """

    def __init__(self, *entries: EngineEntry) -> None:
        self.view = ClusterView()
        config = make_gateway_config(1, [make_route("/train/")])
        services = {"desk": GatewayService("desk", 50, (MODEL,))}
        config = replace(config, services=services)
        self.view.apply_operator(KeyedEntry("config", 0, config))
        for entry in entries:
            self.put(entry)
        engine_tables = self.view.engine_tables
        self.timeouts = EngineTimeouts(self.view)
        self.gate = SendGate(self.view)
        self.pool = EnginePool(self.view, least_outstanding(lambda: 0.0), self.gate)
        self.paces = EnginePaces(engine_tables)
        self.unresponsive = UnresponsiveEngines(_EnginesWithoutAnswer(), engine_tables)
        self.placement = Placement(self.view, self.pool, self.paces, self.unresponsive)

    def put(self, entry: EngineEntry) -> None:
        self.view.apply_engine(KeyedEntry(entry.engine_id, 0, entry))

    def remove(self, engine_id: str) -> None:
        self.view.apply_engine(KeyedEntry(engine_id, 0, None))

    def item(self, oldest: int = 1) -> ItemRun:
        job = replace(make_job(1), model=MODEL, oldest_version=oldest)
        return ItemRun.create(make_job_state(job), job.items[0])


class _EnginesWithoutAnswer:
    """
    Engines that do not answer state requests.
    """

    async def state(self, engine):
        return None


@pytest.mark.parametrize(
    ("one", "other", "follows"),
    [
        (Incarnation("e-1", SECOND), Incarnation("e-1", FIRST), True),
        (Incarnation("e-1", FIRST), Incarnation("e-1", SECOND), False),
        (Incarnation("e-1", FIRST), Incarnation("e-1", FIRST), False),
        (Incarnation("e-1", FIRST), Incarnation("e-1"), True),
        (Incarnation("e-1"), Incarnation("e-1", FIRST), False),
        (Incarnation("e-2", SECOND), Incarnation("e-1", FIRST), False),
    ],
)
def test_an_incarnation_follows_one_that_started_earlier(one, other, follows):
    """
    Only for the same engine; an incarnation without a start time precedes all others.
    """
    assert one.follows(other) == follows


def test_an_entry_of_an_earlier_life_is_passed_over():
    """
    A write may take effect seconds after the engine that sent it has crashed.
    """
    directory = EngineDirectory()
    assert directory.put(_entry(SECOND))
    assert not directory.put(_entry(FIRST))
    assert directory.get("e-1").started_at == SECOND


def test_an_entry_that_claims_a_later_start_does_not_shut_an_engine_out():
    """
    A running engine keeps writing, and its second entry is stored.
    """
    directory = EngineDirectory()
    directory.put(_entry(10 * SECOND))
    assert not directory.put(_entry(SECOND))
    assert directory.put(_entry(SECOND))
    assert directory.get("e-1").started_at == SECOND


def test_an_entry_of_an_earlier_life_is_passed_over_each_time():
    """
    Each one is ignored as long as the engine itself keeps writing.
    """
    directory = EngineDirectory()
    for _ in range(3):
        assert directory.put(_entry(SECOND))
        assert not directory.put(_entry(FIRST))


def test_what_was_known_of_the_life_before_is_forgotten():
    """
    Requests in flight, failures, refusals, event intervals and weight versions.
    """
    before, after = _entry(FIRST), _entry(SECOND, versions={MODEL: 1})
    node = _Node(before)
    for _ in range(before.slots):
        node.placement.reserve(node.item(), before)
    node.pool.record_failure(before)
    node.pool.record_refusal(before, MODEL)
    node.pool.record_overtaken(before)
    node.paces.observe(before.incarnation, 0.5, boot_time())
    node.placement.record_version(before, MODEL, 2)
    route = make_route("/train/")
    assert node.placement.choose(node.item(), route, ()) is None
    node.put(after)
    assert node.pool.in_flight(after) == 0
    assert node.paces.gap(after.incarnation, boot_time()) is None
    assert node.placement.choose(node.item(), route, ()) == after
    assert node.placement.choose(node.item(oldest=2), route, ()) is None


def test_a_place_at_the_life_before_is_not_given_back_to_the_one_after():
    """
    Otherwise a request that ends late would free a slot of the new incarnation.
    """
    before, after = _entry(FIRST), _entry(SECOND)
    node = _Node(before)
    old = node.pool.reserve(before)
    node.put(after)
    node.pool.reserve(after)
    old.release()
    assert node.pool.in_flight(after) == 1


def test_a_life_that_is_over_is_forgotten_also_if_its_entry_went_first():
    """
    An engine whose entry expires and that restarts within a minute.
    """
    before, after = _entry(FIRST), _entry(SECOND)
    node = _Node(before)
    node.pool.reserve(before)
    node.remove("e-1")
    node.put(after)
    assert node.pool.in_flight(before) == 0
    assert node.timeouts.has_restarted(before.incarnation)


def test_an_entry_that_expires_and_returns_is_the_same_incarnation():
    """
    Its requests in flight still count.
    """
    node = _Node(_entry(FIRST))
    node.pool.reserve(_entry(FIRST))
    node.remove("e-1")
    node.put(_entry(FIRST))
    assert node.pool.in_flight(_entry(FIRST)) == 1


def test_an_engine_that_is_gone_is_forgotten_after_a_while(monkeypatch):
    """
    Otherwise the tables would grow with every engine that ever ran.
    """
    node = _Node(_entry(FIRST))
    node.pool.reserve(_entry(FIRST))
    node.remove("e-1")
    now = boot_time()
    monkeypatch.setattr(view_module, "boot_time", lambda: now + 61.0)
    node.put(_entry(FIRST, "e-2"))
    assert node.pool.in_flight(_entry(FIRST)) == 0


def test_a_silent_engine_that_starts_again_is_not_left_out():
    """
    The previous incarnation is no longer probed.
    """

    async def scenario():
        node = _Node(_entry(FIRST))
        node.unresponsive.probe(_entry(FIRST))
        assert _entry(FIRST).incarnation in node.unresponsive
        node.put(_entry(SECOND))
        await asyncio.sleep(0)
        assert _entry(SECOND).incarnation not in node.unresponsive
        assert _entry(FIRST).incarnation not in node.unresponsive

    asyncio.run(scenario())


class _HangingEngines:
    """
    Engines of which one incarnation never answers.
    """

    def __init__(self, hangs: Incarnation) -> None:
        self.called: list[Incarnation] = []
        self._hangs = hangs

    async def call(self, permit, request, deadline):
        engine = permit.engine
        self.called.append(engine.incarnation)
        if engine.incarnation == self._hangs:
            await asyncio.sleep(60)
        return EngineAnswer(200, (), b"", "mark")

    async def generate(self, permit, generation, on_accepted):
        for number in (1, 2):
            yield GeneratedEvent(number, "data", 1)
        await asyncio.sleep(60)


def _serving(node: _Node, engines, kind: RouteKind) -> PassThrough:
    route = make_route("/book/", kind=kind, timeout=5.0, objective=5.0)
    config = make_gateway_config(2, [route])
    node.view.apply_operator(KeyedEntry("config", 1, config))
    return PassThrough(
        node.view,
        node.pool,
        node.gate,
        engines,
        node.timeouts,
        make_crash_watch(node.view),
        Admission(node.view, boot_time, KeyFreshnessBounds(2.0)),
        lambda route, code, seconds: None,
    )


async def _serve_over_a_restart(node: _Node, engines, kind: RouteKind):
    serving = _serving(node, engines, kind)
    answer_task = asyncio.create_task(serving.serve(make_request("/book/x"), 5.0))
    while not engines.called:
        await asyncio.sleep(0.01)
    node.put(_entry(SECOND))
    async with asyncio.timeout(1.0):
        return await answer_task


def test_a_repeatable_request_is_repeated_at_once():
    """
    It does not wait for its timeout, since the crashed engine will not answer.
    """
    node = _Node(_entry(FIRST))
    engines = _HangingEngines(_entry(FIRST).incarnation)
    answer = asyncio.run(_serve_over_a_restart(node, engines, RouteKind.SAFE))
    assert isinstance(answer, EngineAnswer)
    assert engines.called == [_entry(FIRST).incarnation, _entry(SECOND).incarnation]


def test_an_unrepeatable_request_has_its_answer_at_once():
    """
    It may have run, so it is not reported as not run and not sent again.
    """
    node = _Node(_entry(FIRST))
    engines = _HangingEngines(_entry(FIRST).incarnation)
    outcome = asyncio.run(_serve_over_a_restart(node, engines, RouteKind.UNSAFE))
    assert isinstance(outcome, OutcomeUnknown)
    assert "started again" in outcome.detail
    assert engines.called == [_entry(FIRST).incarnation]


def test_an_item_leaves_an_engine_that_has_started_again():
    """
    It keeps its events, from which another engine resumes.
    """
    node = _Node(_entry(FIRST))
    engines = _HangingEngines(_entry(FIRST).incarnation)
    attempts = AttemptRunner(engines, node.paces, node.placement, node.timeouts)
    run = node.item()

    async def scenario():
        route = make_route("/train/")
        permit = node.gate.permit(_entry(FIRST), run.needs, 0.0)
        trying = asyncio.create_task(attempts.run(run, route, permit))
        while run.text.last < 2:
            await asyncio.sleep(0.01)
        node.put(_entry(SECOND))
        async with asyncio.timeout(0.3):
            await trying

    with pytest.raises(GenerationFailedError) as caught:
        asyncio.run(scenario())
    assert caught.value.outcome == GenerationFailedError.RESTARTED
    assert run.text.last == 2


@dataclass(frozen=True)
class _Held:
    fence: int = 7


class _Lease:
    """
    A lease that is always held.
    """

    def current(self, margin):
        return _Held()

    @contextmanager
    def acting(self, margin):
        yield self.current(margin)


class _LoadableEngine:
    """
    An engine that carries out load orders and can restart.

    :param first: Weight version after each start.
    """

    def __init__(self, first: int) -> None:
        self._first = first
        self.orders = []
        self.start(FIRST)

    def start(self, started_at: int) -> None:
        self.started_at = started_at
        self.version = self._first
        self.taken = 0

    async def state(self, engine):
        await asyncio.sleep(0.005)
        return EngineState({MODEL: self.version}, False, self.taken, self.started_at)

    async def order(self, engine, order, decided_at):
        await asyncio.sleep(0.005)
        self.orders.append((self.started_at, order.version, order.accepted_orders))
        if order.accepted_orders != self.taken:
            return OrderOutcome.CONFLICT
        self.version, self.taken = order.version, self.taken + 1
        return OrderOutcome.ACCEPTED


async def _run_updater(
    node: _Node, engine: _LoadableEngine, scenario: Callable[[], Awaitable[None]]
) -> None:
    updater = WeightUpdater(
        node.view,
        engine,
        node.timeouts,
        _Lease(),
        "vm-1",
        lambda model: True,
        lambda model: 2,
    )
    task = asyncio.create_task(updater.run())
    try:
        await scenario()
    finally:
        task.cancel()


async def _until(check: Callable[[], object]) -> None:
    async with asyncio.timeout(3.0):
        while not check():
            await asyncio.sleep(0.01)


def _name_version(node: _Node, version: int) -> None:
    node.view.named_versions[MODEL] = version


def test_an_engine_that_starts_again_is_loaded_again():
    """
    The version that its previous incarnation reported no longer counts.
    """
    node, engine = _Node(_entry(FIRST, versions={MODEL: 1})), _LoadableEngine(first=1)
    _name_version(node, 2)

    async def scenario():
        await _until(lambda: engine.version == 2)
        await asyncio.sleep(0.5)
        engine.start(SECOND)
        node.put(_entry(SECOND, versions={MODEL: 1}))
        await _until(lambda: engine.version == 2)

    asyncio.run(_run_updater(node, engine, scenario))
    assert [order[0] for order in engine.orders] == [FIRST, SECOND]


def test_a_report_of_another_life_is_not_credited_to_the_one_known():
    """
    The engine has restarted but has not yet written its entry: it must not get an order
    with the previous incarnation's order count.
    """
    node, engine = _Node(_entry(FIRST, versions={MODEL: 1})), _LoadableEngine(first=1)
    engine.start(SECOND)
    _name_version(node, 2)

    async def scenario():
        await asyncio.sleep(0.6)
        assert engine.orders == []
        node.put(_entry(SECOND, versions={MODEL: 1}))
        await _until(lambda: engine.version == 2)

    asyncio.run(_run_updater(node, engine, scenario))
    assert [order[0] for order in engine.orders] == [SECOND]


def test_a_load_of_the_previous_incarnation_does_not_delay_the_next(monkeypatch):
    """
    The new incarnation is loaded without waiting for the old load's timeout.
    """
    node, engine = _Node(_entry(FIRST, versions={MODEL: 1})), _LoadableEngine(first=1)
    _name_version(node, 2)
    original_order = engine.order

    async def order_without_answer(at, order, decided_at):
        if engine.started_at == FIRST:
            engine.orders.append((FIRST, order.version, order.accepted_orders))
            return OrderOutcome.UNKNOWN
        return await original_order(at, order, decided_at)

    async def state_without_answer(at):
        if engine.started_at == FIRST and engine.orders:
            await asyncio.sleep(60)
        return EngineState(
            {MODEL: engine.version}, False, engine.taken, engine.started_at
        )

    monkeypatch.setattr(engine, "order", order_without_answer)
    monkeypatch.setattr(engine, "state", state_without_answer)

    async def scenario():
        await _until(lambda: engine.orders)
        await asyncio.sleep(0.4)
        engine.start(SECOND)
        node.put(_entry(SECOND, versions={MODEL: 1}))
        await _until(lambda: engine.version == 2)

    asyncio.run(_run_updater(node, engine, scenario))
    assert [order[0] for order in engine.orders] == [FIRST, SECOND]
