# SPDX-License-Identifier: MIT

"""
The gate of all sends to engines.

Guards against a request that reaches an engine which it may not be sent to, on any of
the paths by which requests are sent.
"""

from __future__ import annotations

import asyncio
import inspect
import re
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from unittest.mock import AsyncMock, Mock, patch

import pytest
from function_engines import FunctionEngines, make_pass_through

from builders import (
    make_engine_entry,
    make_gateway_config,
    make_job,
    make_job_state,
    make_request,
    make_route,
)
from engines import EngineClient
from saddledoor import (
    Denial,
    EngineFacts,
    NotRun,
    RouteKind,
    ScoreCall,
    SendNeeds,
    least_outstanding,
)
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.log_freshness import LogFreshness, LogReadState
from saddledoord.jobs.placement import Placement
from saddledoord.jobs.runner import JobRunner
from saddledoord.jobs.scoring import Scorer
from saddledoord.ports import EngineAnswer, Engines, KeyedEntry, SendPermit
from saddledoord.serving.gate import SendGate, SendSettings
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pool import EnginePool


_ROOT = Path(__file__).parent.parent
_ENGINE = make_engine_entry("desk-0", started_at=1_000)
_NORTH = SendNeeds(frozenset({"north"}))
_REGIONS = SendSettings({"dc-a": "north", "dc-b": "south"})
#: Calls that make a permit or a changed copy of one.
_MAKES = re.compile(r"\bSendPermit\(|\breplace\(\s*[\w.]*permit\b")


class _Check:
    """
    A check of sends that can be told to deny them all.
    """

    def __init__(self) -> None:
        self.denial: Denial | None = None
        self.count = 0

    def __call__(self, needs, engine) -> Denial | None:
        self.count += 1
        return self.denial


@pytest.fixture
def check():
    check = _Check()
    with (
        patch("saddledoord.serving.gate.check_send", check),
        patch.object(SendGate, "is_unrestricted", lambda *_: False),
    ):
        yield check


def _view(*entries) -> ClusterView:
    view = ClusterView()
    for offset, entry in enumerate(entries):
        view.apply_engine(KeyedEntry(entry.engine_id, offset, entry))
    return view


def _permit(gate: SendGate, needs: SendNeeds | None = None) -> SendPermit | Denial:
    return gate.permit(_ENGINE, needs or SendNeeds(), boot_time())


def test_without_settings_nothing_restricts_an_engine():
    """
    Deployments that do not use regions, evacuations or cold starts are served as
    before.
    """
    gate = SendGate(_view(_ENGINE))
    assert gate.facts(_ENGINE, boot_time()) == EngineFacts()
    assert isinstance(_permit(gate), SendPermit)
    assert not gate.denials


def test_permits_name_the_engine_the_time_and_the_check():
    """
    A permit whose time is later than the first check could be used after a pause.
    """
    gate = SendGate(_view(_ENGINE))
    permits = [gate.permit(_ENGINE, SendNeeds(), 5.0) for _ in range(2)]
    assert permits == [SendPermit(_ENGINE, 5.0, 1), SendPermit(_ENGINE, 5.0, 2)]


@pytest.mark.parametrize(
    "change",
    [
        replace(_ENGINE, draining=True),
        replace(_ENGINE, started_at=2_000),
        None,
    ],
    ids=["draining", "restarted", "gone"],
)
def test_an_engine_that_left_after_the_choice_gets_no_request(change):
    """
    The text of an item is read between the choice of the engine and the send.
    """
    view = _view(_ENGINE)
    gate = SendGate(view)
    view.apply_engine(KeyedEntry("desk-0", 1, change))
    assert _permit(gate) is Denial.LEAVING


def test_an_engine_whose_entry_lapsed_in_an_outage_stays_allowed():
    """
    Its entry will be written again; until then it would get no request at all.
    """
    view = _view(_ENGINE)
    gate = SendGate(view)
    view.store_reached()
    view.apply_engine(KeyedEntry("desk-0", 1, None))
    assert isinstance(_permit(gate), SendPermit)


def test_the_pool_never_falls_back_to_a_denied_engine():
    """
    It does fall back to one that is backing off, if that one is allowed.
    """
    south = make_engine_entry("desk-1", data_centre="dc-b")
    view = _view(_ENGINE, south)
    gate = SendGate(view, _REGIONS)
    pool = EnginePool(view, least_outstanding(lambda: 0.0), gate)
    pool.record_failure(_ENGINE)
    assert pool.choose("desk", needs=_NORTH) == _ENGINE
    assert pool.choose("desk", [_ENGINE.incarnation], _NORTH) is None
    assert pool.choose_again("desk", [south.incarnation], _NORTH) is None
    assert south.incarnation not in pool.retry_times("desk", _NORTH)
    assert pool.with_free_slots("desk", "", _NORTH) == []
    assert pool.with_free_slots("desk", "") == [south]


def test_the_placement_passes_over_a_denied_engine(check):
    """
    Items would be sent there over and over.
    """
    view = _view(_ENGINE)
    pool = EnginePool(view, least_outstanding(lambda: 0.0), SendGate(view))
    placement = Placement(view, pool, EnginePaces(view.engine_tables), set())
    run = ItemRun.create(make_job_state(make_job(1)), make_job(1).items[0])
    route = make_route("/train/")
    assert placement.choose(run, route, ()) == _ENGINE
    check.denial = Denial.EVACUATED
    assert placement.choose(run, route, ()) is None


def test_a_refusal_names_the_reason_that_ends_first():
    """
    Each engine counts with its longest-lasting reason; callers may ask again when the
    first engine is expected to be allowed.
    """
    view = _view(_ENGINE, make_engine_entry("desk-1", data_centre="dc-b"))
    gate = SendGate(view, _REGIONS)
    refusal = gate.refusal("desk", SendNeeds(frozenset({"east"})))
    assert (refusal.code.http_status, refusal.retry_after) == (503, 5.0)
    assert "region" in refusal.detail
    assert gate.refusal("desk", _NORTH) is None
    assert gate.refusal("other", _NORTH) is None


def test_denials_are_counted_by_reason_and_logged_once(check):
    """
    A log line for each engine that is passed over would flood the log.
    """
    gate = SendGate(_view(_ENGINE))
    with patch("saddledoord.serving.gate._log") as log:
        for denial in (None, Denial.EVACUATED, Denial.EVACUATED, Denial.RATE, None):
            check.denial = denial
            _permit(gate)
        check.denial = Denial.RATE
        _permit(gate)
        check.denial = Denial.COLD
        _permit(gate)
        check.denial = None
        _permit(gate)
    lines = [(call.args[0], call.kwargs["reason"]) for call in log.info.mock_calls]
    assert lines == [
        ("engine_denied", "EVACUATED"),
        ("engine_denied", "RATE"),
        ("engine_denied", "COLD"),
        ("engine_allowed", "COLD"),
    ]
    assert gate.denials == {Denial.EVACUATED: 2, Denial.RATE: 2, Denial.COLD: 1}


async def _answer_ok(engine, request):
    return EngineAnswer(200, (), b"", "mark")


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_a_request_that_finds_only_denied_engines_is_refused_at_once(check, kind):
    """
    It would otherwise wait for its deadline although it cannot be served.
    """
    engines = FunctionEngines(_answer_ok)
    pass_through, _, _ = make_pass_through(engines, make_route("/look/", kind=kind))
    check.denial = Denial.EVACUATED
    started_at = boot_time()
    outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 2.0))
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after == 5.0
    assert engines.called == []
    assert boot_time() - started_at < 0.5


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_a_request_is_not_sent_if_its_engine_is_denied_after_the_choice(check, kind):
    """
    The pool's check alone is too early.
    """
    engines = FunctionEngines(_answer_ok)
    pass_through, pool, _ = make_pass_through(
        engines, make_route("/look/", kind=kind, max_attempts=1)
    )
    choose = pool.choose

    def choose_and_deny(*args):
        engine = choose(*args)
        check.denial = Denial.EVACUATED
        return engine

    with patch.object(pool, "choose", choose_and_deny):
        outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 2.0))
    assert isinstance(outcome, NotRun)
    assert engines.called == []


def _denying(check: _Check, answer: Callable) -> FunctionEngines:
    """
    Return engines that are all denied as soon as one of them got a request.
    """

    async def answer_and_deny(engine, request):
        check.denial = Denial.EVACUATED
        return await answer()

    return FunctionEngines(answer_and_deny)


def test_a_denied_engine_gets_no_hedge(check):
    """
    Hedges are sent while the first attempt is in flight.
    """

    async def answer_late():
        await asyncio.sleep(0.5)
        return EngineAnswer(200, (), b"", "mark")

    engines = _denying(check, answer_late)
    route = make_route("/look/", objective=0.1)
    pass_through, _, _ = make_pass_through(engines, route)
    outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 2.0))
    assert isinstance(outcome, EngineAnswer)
    assert len(engines.called) == 1


@pytest.mark.parametrize("count", [1, 2])
def test_a_denied_engine_gets_no_retry(check, count):
    """
    Neither another engine nor the one that has answered.
    """

    async def answer_failed():
        return EngineAnswer(500, (), b"", "mark")

    engines = _denying(check, answer_failed)
    pass_through, _, _ = make_pass_through(engines, make_route("/look/"), count)
    outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 2.0))
    assert isinstance(outcome, EngineAnswer)
    assert len(engines.called) == 1


def test_a_scoring_call_waits_while_its_engines_are_denied(check):
    """
    The text that it scores is finished and must not be lost.
    """
    engines = FunctionEngines(_answer_ok)
    pass_through, _, view = make_pass_through(engines, make_route("/score/"))
    scorer = Scorer(view, pass_through)
    call = ScoreCall("s-1", "desk.example", "/score/x", b"text")
    check.denial = Denial.EVACUATED

    async def score() -> str:
        scoring = asyncio.create_task(scorer.score(call, 0, Mock(), lambda: True))
        await asyncio.sleep(0.3)
        assert engines.called == []
        check.denial = None
        async with asyncio.timeout(2.0):
            return await scoring

    assert asyncio.run(score()) == "mark"


def test_an_item_whose_engine_is_denied_after_the_choice_waits(check):
    """
    It is sent once the engine is allowed again, and not before.
    """
    view = _view(_ENGINE)
    view.apply_operator(
        KeyedEntry("config", 0, make_gateway_config(1, [make_route("/train/")]))
    )
    gate = SendGate(view)
    state = make_job_state(make_job(1))
    generate = AsyncMock()
    read_state = LogReadState(boot_time(), True, float("-inf"))
    reservation = Mock(__enter__=Mock(), __exit__=Mock(return_value=False))
    pool = EnginePool(view, least_outstanding(lambda: 0.0), gate)
    placement = Mock(
        choose=lambda *_: _ENGINE,
        reserve=lambda *_: reservation,
        latest_start=lambda run: 0.0,
    )
    crash_watch = Mock(choose_unsuspected=lambda choose: choose(()))
    runner = JobRunner(
        Mock(
            caught_up=True,
            open_jobs=lambda: [state],
            is_rejected=lambda _: False,
            failures=lambda key: 0,
        ),
        view,
        pool,
        gate,
        Mock(),
        placement,
        Mock(run=generate),
        crash_watch,
        Mock(),
        Mock(read=AsyncMock(return_value=[])),
        Mock(),
        lambda share: True,
        LogFreshness(lambda: read_state, cancel_limit=3.0),
    )

    async def run() -> None:
        task = asyncio.create_task(runner.run())
        check.denial = Denial.EVACUATED
        await asyncio.sleep(0.2)
        generate.assert_not_awaited()
        assert check.count > 0
        check.denial = None
        await asyncio.sleep(0.2)
        generate.assert_awaited()
        task.cancel()

    asyncio.run(run())


def _sources() -> list[Path]:
    folders = [_ROOT / "platform", *(_ROOT / "packages").glob("*/src")]
    return [path for folder in folders for path in sorted(folder.rglob("*.py"))]


def test_only_the_gate_makes_permits():
    """
    A send with a permit from elsewhere would go around the check.
    """
    makers = {path.name for path in _sources() if _MAKES.search(path.read_text())}
    assert makers == {"gate.py"}


@pytest.mark.parametrize("client", [Engines, EngineClient])
def test_engines_are_sent_no_request_without_a_permit(client):
    """
    Every method of the engines that takes a request takes a permit and no engine, so
    that nothing can be sent to an engine other than the checked one.
    """
    carrying = set()
    for name, method in inspect.getmembers(client, inspect.isfunction):
        types = [p.annotation for p in inspect.signature(method).parameters.values()]
        if {"ForwardedRequest", "Generation"} & set(types):
            carrying.add(name)
            assert "SendPermit" in types
            assert "EngineEntry" not in types
    public = {name for name in carrying if not name.startswith("_")}
    assert public == {"call", "generate"}
