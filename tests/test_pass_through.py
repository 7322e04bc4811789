# SPDX-License-Identifier: MIT

"""
Forwarding of requests and scoring calls to engines.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest
from crash_watches import FakeControlLog
from function_engines import FunctionEngines, make_pass_through

from builders import make_engine_entry, make_request, make_route
from saddledoor import (
    EngineCrashed,
    NotRun,
    OutcomeUnknown,
    RouteKind,
    ScoreCall,
    request_key,
)
from saddledoord._clock import boot_time
from saddledoord.jobs.scoring import Scorer, ScoringFailedError
from saddledoord.ports import EngineAnswer


def test_a_request_that_an_engine_still_has_is_not_called_not_run():
    """
    Its outcome is unknown, also if the attempt ends later than the deadline.
    """

    async def answer(engine, request):
        try:
            await asyncio.sleep(10)
        finally:
            await asyncio.sleep(0.05)

    route = make_route("/book/", kind=RouteKind.UNSAFE)
    pass_through, _, _ = make_pass_through(FunctionEngines(answer), route)
    outcome = asyncio.run(pass_through.serve(make_request("/book/x"), 0.1))
    assert isinstance(outcome, OutcomeUnknown)


def test_a_paused_engine_is_asked_rather_than_none():
    """
    If all engines are backing off, a request is still sent to one of them.
    """

    async def answer(engine, request):
        return EngineAnswer(200, (), b"", "mark")

    engines = FunctionEngines(answer)
    pass_through, pool, _ = make_pass_through(engines, make_route("/look/"))
    for index in range(2):
        pool.record_failure(make_engine_entry(f"desk-{index}"))
    outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 1.0))
    assert isinstance(outcome, EngineAnswer)
    assert len(engines.called) == 1


@pytest.mark.parametrize(("limit", "is_served"), [(0.3, False), (3.0, True)])
def test_a_request_that_must_start_alone_later_is_refused_at_once(limit, is_served):
    """
    It would otherwise be held until its deadline, although it is known that it cannot
    start before.
    """

    async def answer(engine, request):
        return EngineAnswer(200, (), b"", "mark")

    request = make_request("/look/x")
    control_log = FakeControlLog()
    route = replace(make_route("/look/"), timeout=5.0)
    pass_through, _, _ = make_pass_through(
        FunctionEngines(answer), route, control_log=control_log
    )
    key = request_key(request.host, request.method, request.target, request.body, "")
    for number in range(2):
        control_log.deliver(EngineCrashed(f"crashed-{number}", 1, (key,)))
    started_at = boot_time()
    outcome = asyncio.run(pass_through.serve(request, limit))
    if is_served:
        assert isinstance(outcome, EngineAnswer)
    else:
        assert isinstance(outcome, NotRun)
        assert boot_time() - started_at < 0.2
        assert 0.5 < outcome.retry_after <= 1.0


def _score(answer, max_attempts: int = 3) -> tuple[str | None, list[str], int]:
    """
    Score a text; return the signature, the called engines and the number of failures.
    """
    engines = FunctionEngines(answer)
    route = make_route("/score/", max_attempts=max_attempts)
    pass_through, _, view = make_pass_through(engines, route)
    failures = 0

    def record_failure():
        nonlocal failures
        failures += 1

    call = ScoreCall("s-1", "desk.example", "/score/x", b"text")
    scorer = Scorer(view, pass_through)
    try:
        signature = asyncio.run(scorer.score(call, 0, record_failure, lambda: True))
    except ScoringFailedError:
        signature = None
    return signature, engines.called, failures


def test_a_late_scoring_call_is_made_at_a_second_instance():
    """
    A scoring call is repeatable, so it is hedged.
    """

    async def answer(engine, request):
        await asyncio.sleep(1.0 if engine.engine_id == "desk-0" else 0.01)
        return EngineAnswer(200, (), b"", f"mark of {engine.engine_id}")

    started_at = time.monotonic()
    signature, called, failures = _score(answer)
    assert (signature, failures) == ("mark of desk-1", 0)
    assert called == ["desk-0", "desk-1"]
    assert time.monotonic() - started_at < 0.5


def test_a_scoring_call_fails_as_often_as_its_route_allows():
    """
    Each failure is reported, and no further call is made.
    """

    async def answer(engine, request):
        return EngineAnswer(500, (), b"", "")

    signature, called, failures = _score(answer)
    assert (signature, failures, len(called)) == (None, 3, 3)


@pytest.mark.parametrize(
    ("times", "next_choice"), [((1.0, 0.01), "desk-1"), ((0.2, 1.0), "desk-0")]
)
def test_only_the_engine_that_got_the_request_first_counts_as_overtaken(
    times, next_choice
):
    """
    An engine that received the request later is not considered slow.
    """

    async def answer(engine, request):
        await asyncio.sleep(times[int(engine.engine_id == "desk-1")])
        return EngineAnswer(200, (), b"", "mark")

    engines = FunctionEngines(answer)
    pass_through, pool, _ = make_pass_through(
        engines, make_route("/look/", objective=0.2)
    )
    asyncio.run(pass_through.serve(make_request("/look/x"), 1.5))
    assert engines.called == ["desk-0", "desk-1"]
    # The policy takes the first of equal engines, unless it is chosen after the others.
    assert pool.choose("desk").engine_id == next_choice
    with pool.reserve(make_engine_entry("desk-0")):
        assert pool.choose("desk").engine_id == "desk-1"


def test_a_scoring_call_goes_to_no_second_instance_while_it_may_not():
    """
    Its job may have ended after the start of the first attempt.
    """
    allowed = [True]

    async def answer(engine, request):
        allowed[0] = False
        await asyncio.sleep(0.4)
        return EngineAnswer(200, (), b"", "mark")

    engines = FunctionEngines(answer)
    pass_through, _, _ = make_pass_through(engines, make_route("/score/"))

    async def run_request():
        route, request = make_route("/score/"), make_request("/score/x")
        deadline = boot_time() + 1.0
        return await pass_through.run(
            route, request, deadline, may_begin=lambda: allowed[0]
        )

    assert isinstance(asyncio.run(run_request()), EngineAnswer)
    assert len(engines.called) == 1
