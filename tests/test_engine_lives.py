# SPDX-License-Identifier: MIT

"""
Engines that start again under the id that they had.

Nothing that was known of the life before holds for the one after: a node that took an
engine's old weights, load or silence for the new one's never loaded it again, and sent
it items that it could not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
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
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pass_through import PassThrough
from saddledoord.serving.pool import EnginePool
from saddledoord.serving.unresponsive_engines import UnresponsiveEngines


MODEL = "model-a"
#: Starts of the lives of an engine, in Unix milliseconds.
FIRST, SECOND = 1_000, 2_000


def _entry(started_at: int | None, engine_id: str = "e-1", **changes) -> EngineEntry:
    return make_engine_entry(engine_id, started_at=started_at, **changes)


class _Node:
    """
    What a node remembers of engines.
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
        self.lives = EngineTimeouts(self.view)
        self.pool = EnginePool(self.view, least_outstanding(lambda: 0.0))
        self.paces = EnginePaces(engine_tables)
        self.silent = UnresponsiveEngines(_Mute(), engine_tables)
        self.placement = Placement(self.view, self.pool, self.paces, self.silent)

    def put(self, entry: EngineEntry) -> None:
        self.view.apply_engine(KeyedEntry(entry.engine_id, 0, entry))

    def remove(self, engine_id: str) -> None:
        self.view.apply_engine(KeyedEntry(engine_id, 0, None))

    def item(self, oldest: int = 1) -> ItemRun:
        job = replace(make_job(1), model=MODEL, oldest_version=oldest)
        return ItemRun.begin(make_job_state(job), job.items[0])


class _Mute:
    """
    Engines that answer no report.
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
def test_a_life_follows_another_if_it_began_later(one, other, follows):
    """
    Of the same engine; one that does not say when it began comes before all others.
    """
    assert one.follows(other) == follows


def test_an_entry_of_an_earlier_life_is_passed_over():
    """
    A write may be done seconds after the engine that sent it has crashed.
    """
    directory = EngineDirectory()
    assert directory.put(_entry(SECOND))
    assert not directory.put(_entry(FIRST))
    assert directory.get("e-1").started_at == SECOND


def test_an_entry_that_claims_a_later_start_does_not_shut_an_engine_out():
    """
    An engine that lives goes on writing, and its second entry is taken.
    """
    directory = EngineDirectory()
    directory.put(_entry(10 * SECOND))
    assert not directory.put(_entry(SECOND))
    assert directory.put(_entry(SECOND))
    assert directory.get("e-1").started_at == SECOND


def test_an_entry_of_an_earlier_life_is_passed_over_each_time():
    """
    Not only the first time, as long as the engine itself goes on writing.
    """
    directory = EngineDirectory()
    for _ in range(3):
        assert directory.put(_entry(SECOND))
        assert not directory.put(_entry(FIRST))


def test_what_was_known_of_the_life_before_is_forgotten():
    """
    Requests in flight, failures, refusals, pace, and weights that were seen.
    """
    before, after = _entry(FIRST), _entry(SECOND, versions={MODEL: 1})
    node = _Node(before)
    for _ in range(before.slots):
        node.placement.reserve(node.item(), before)
    node.pool.record_failure(before)
    node.pool.record_refusal(before, MODEL)
    node.pool.record_overtaken(before)
    node.paces.observe(before.incarnation, 0.5, boot_time())
    node.placement.note_version(before, MODEL, 2)
    route = make_route("/train/")
    assert node.placement.choose(node.item(), route, ()) is None
    node.put(after)
    assert node.pool.in_flight(after) == 0
    assert node.paces.gap(after.incarnation, boot_time()) is None
    assert node.placement.choose(node.item(), route, ()) == after
    assert node.placement.choose(node.item(oldest=2), route, ()) is None


def test_a_place_at_the_life_before_is_not_given_back_to_the_one_after():
    """
    Requests that end late would make room that is not there.
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
    An engine that lost its entry and starts again within a minute.
    """
    before, after = _entry(FIRST), _entry(SECOND)
    node = _Node(before)
    node.pool.reserve(before)
    node.remove("e-1")
    node.put(after)
    assert node.pool.in_flight(before) == 0
    assert node.lives.has_restarted(before.incarnation)


def test_an_entry_that_lapses_and_comes_back_is_the_same_life():
    """
    What is in flight there still counts.
    """
    node = _Node(_entry(FIRST))
    node.pool.reserve(_entry(FIRST))
    node.remove("e-1")
    node.put(_entry(FIRST))
    assert node.pool.in_flight(_entry(FIRST)) == 1


def test_an_engine_that_is_gone_is_forgotten_after_a_while(monkeypatch):
    """
    Otherwise the memory grows with every engine there ever was.
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
    And the life before is asked no more.
    """

    async def play():
        node = _Node(_entry(FIRST))
        node.silent.probe(_entry(FIRST))
        assert _entry(FIRST).incarnation in node.silent
        node.put(_entry(SECOND))
        await asyncio.sleep(0)
        assert _entry(SECOND).incarnation not in node.silent
        assert _entry(FIRST).incarnation not in node.silent

    asyncio.run(play())


class _Hanging:
    """
    Engines of which one life never answers.
    """

    def __init__(self, hangs: Incarnation) -> None:
        self.asked: list[Incarnation] = []
        self._hangs = hangs

    async def call(self, engine, request, deadline):
        self.asked.append(engine.incarnation)
        if engine.incarnation == self._hangs:
            await asyncio.sleep(60)
        return EngineAnswer(200, (), b"", "mark")

    async def generate(self, engine, generation):
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
        engines,
        node.lives,
        make_crash_watch(node.view),
        Admission(node.view, boot_time, KeyFreshnessBounds(2.0)),
        lambda route, code, seconds: None,
    )


async def _serve_over_a_restart(node: _Node, engines, kind: RouteKind):
    serving = _serving(node, engines, kind)
    asked = asyncio.create_task(serving.serve(make_request("/book/x"), 5.0))
    while not engines.asked:
        await asyncio.sleep(0.01)
    node.put(_entry(SECOND))
    async with asyncio.timeout(1.0):
        return await asked


def test_a_repeatable_request_is_repeated_at_once():
    """
    Not when its time is up; the engine of the life before says nothing any more.
    """
    node = _Node(_entry(FIRST))
    engines = _Hanging(_entry(FIRST).incarnation)
    answer = asyncio.run(_serve_over_a_restart(node, engines, RouteKind.SAFE))
    assert isinstance(answer, EngineAnswer)
    assert engines.asked == [_entry(FIRST).incarnation, _entry(SECOND).incarnation]


def test_an_unrepeatable_request_has_its_answer_at_once():
    """
    It may have run, so it is neither called not run nor sent again.
    """
    node = _Node(_entry(FIRST))
    engines = _Hanging(_entry(FIRST).incarnation)
    outcome = asyncio.run(_serve_over_a_restart(node, engines, RouteKind.UNSAFE))
    assert isinstance(outcome, OutcomeUnknown)
    assert "started again" in outcome.detail
    assert engines.asked == [_entry(FIRST).incarnation]


def test_an_item_leaves_an_engine_that_has_started_again():
    """
    With the events that it has, which another engine goes on from.
    """
    node = _Node(_entry(FIRST))
    engines = _Hanging(_entry(FIRST).incarnation)
    attempts = AttemptRunner(
        engines, node.paces, node.placement, node.lives, make_crash_watch(node.view)
    )
    run = node.item()

    async def play():
        route = make_route("/train/")
        trying = asyncio.create_task(attempts.run(run, route, _entry(FIRST)))
        while run.text.last < 2:
            await asyncio.sleep(0.01)
        node.put(_entry(SECOND))
        async with asyncio.timeout(0.3):
            await trying

    with pytest.raises(GenerationFailedError) as caught:
        asyncio.run(play())
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


class _Loader:
    """
    An engine that takes orders, in whichever of its lives.

    :param first: What it holds at each start.
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

    async def order(self, engine, order):
        await asyncio.sleep(0.005)
        self.orders.append((self.started_at, order.version, order.accepted_orders))
        if order.accepted_orders != self.taken:
            return OrderOutcome.CONFLICT
        self.version, self.taken = order.version, self.taken + 1
        return OrderOutcome.ACCEPTED


async def _keep_weights(
    node: _Node, engine: _Loader, play: Callable[[], Awaitable[None]]
) -> None:
    keeper = WeightUpdater(
        node.view,
        engine,
        node.lives,
        _Lease(),
        "vm-1",
        lambda model: True,
        lambda model: 2,
    )
    task = asyncio.create_task(keeper.run())
    try:
        await play()
    finally:
        task.cancel()


async def _until(check: Callable[[], object]) -> None:
    async with asyncio.timeout(3.0):
        while not check():
            await asyncio.sleep(0.01)


def _named(node: _Node, version: int) -> None:
    node.view.named_versions[MODEL] = version


def test_an_engine_that_starts_again_is_loaded_again():
    """
    Its report once showed the version, but that was the life before.
    """
    node, engine = _Node(_entry(FIRST, versions={MODEL: 1})), _Loader(first=1)
    _named(node, 2)

    async def play():
        await _until(lambda: engine.version == 2)
        await asyncio.sleep(0.5)
        engine.start(SECOND)
        node.put(_entry(SECOND, versions={MODEL: 1}))
        await _until(lambda: engine.version == 2)

    asyncio.run(_keep_weights(node, engine, play))
    assert [order[0] for order in engine.orders] == [FIRST, SECOND]


def test_a_report_of_another_life_is_not_credited_to_the_one_known():
    """
    The engine has started again, and its entry does not say so yet: no order is given
    by the count of the one life to the other.
    """
    node, engine = _Node(_entry(FIRST, versions={MODEL: 1})), _Loader(first=1)
    engine.start(SECOND)
    _named(node, 2)

    async def play():
        await asyncio.sleep(0.6)
        assert engine.orders == []
        node.put(_entry(SECOND, versions={MODEL: 1}))
        await _until(lambda: engine.version == 2)

    asyncio.run(_keep_weights(node, engine, play))
    assert [order[0] for order in engine.orders] == [SECOND]


def test_a_load_of_the_life_before_does_not_hold_up_the_one_after(monkeypatch):
    """
    Its end is not waited for, 4 s, before the new life is loaded.
    """
    node, engine = _Node(_entry(FIRST, versions={MODEL: 1})), _Loader(first=1)
    _named(node, 2)
    usual = engine.order

    async def lost(at, order):
        if engine.started_at == FIRST:
            engine.orders.append((FIRST, order.version, order.accepted_orders))
            return OrderOutcome.UNKNOWN
        return await usual(at, order)

    async def silent(at):
        if engine.started_at == FIRST and engine.orders:
            await asyncio.sleep(60)
        return EngineState(
            {MODEL: engine.version}, False, engine.taken, engine.started_at
        )

    monkeypatch.setattr(engine, "order", lost)
    monkeypatch.setattr(engine, "state", silent)

    async def play():
        await _until(lambda: engine.orders)
        await asyncio.sleep(0.4)
        engine.start(SECOND)
        node.put(_entry(SECOND, versions={MODEL: 1}))
        await _until(lambda: engine.version == 2)

    asyncio.run(_keep_weights(node, engine, play))
    assert [order[0] for order in engine.orders] == [FIRST, SECOND]
