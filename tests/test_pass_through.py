# SPDX-License-Identifier: MIT

"""
Requests that are passed through, before engines that are functions.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from function_engines import FunctionEngines, make_pass_through

from builders import make_engine_entry, make_request, make_route
from saddledoor import OutcomeUnknown, RouteKind, ScoreCall
from saddledoord._clock import boot_time
from saddledoord.jobs.scoring import Scorer, ScoringFailedError
from saddledoord.ports import EngineAnswer


def test_a_request_that_an_engine_still_has_is_not_called_not_run():
    """
    Also if the attempt takes a moment to notice that the time is up.
    """

    async def answer(engine, request):
        try:
            await asyncio.sleep(10)
        finally:
            await asyncio.sleep(0.05)

    route = make_route("/book/", kind=RouteKind.UNSAFE)
    serving, _, _ = make_pass_through(FunctionEngines(answer), route)
    outcome = asyncio.run(serving.serve(make_request("/book/x"), 0.1))
    assert isinstance(outcome, OutcomeUnknown)


def test_a_paused_engine_is_asked_rather_than_none():
    """
    All engines have failed lately; the next request still gets its chance.
    """

    async def answer(engine, request):
        return EngineAnswer(200, (), b"", "mark")

    engines = FunctionEngines(answer)
    serving, pool, _ = make_pass_through(engines, make_route("/look/"))
    for index in range(2):
        pool.record_failure(make_engine_entry(f"desk-{index}"))
    outcome = asyncio.run(serving.serve(make_request("/look/x"), 1.0))
    assert isinstance(outcome, EngineAnswer)
    assert len(engines.asked) == 1


def _score(answer, max_attempts: int = 3) -> tuple[str | None, list[str], int]:
    """
    Have a text scored; return the mark, who was asked and the failures told.
    """
    engines = FunctionEngines(answer)
    route = make_route("/score/", max_attempts=max_attempts)
    serving, _, view = make_pass_through(engines, route)
    failures = 0

    def failed():
        nonlocal failures
        failures += 1

    call = ScoreCall("s-1", "desk.example", "/score/x", b"text")
    scorer = Scorer(view, serving)
    try:
        mark = asyncio.run(scorer.score(call, 0, failed, lambda: True))
    except ScoringFailedError:
        mark = None
    return mark, engines.asked, failures


def test_a_late_scoring_call_is_made_at_a_second_instance():
    """
    A step may be waiting for it, and the call may be repeated.
    """

    async def answer(engine, request):
        await asyncio.sleep(1.0 if engine.engine_id == "desk-0" else 0.01)
        return EngineAnswer(200, (), b"", f"mark of {engine.engine_id}")

    began = time.monotonic()
    mark, asked, failures = _score(answer)
    assert (mark, failures) == ("mark of desk-1", 0)
    assert asked == ["desk-0", "desk-1"]
    assert time.monotonic() - began < 0.5


def test_a_scoring_call_fails_as_often_as_its_route_allows():
    """
    Each failure is told, and none beyond them is made.
    """

    async def answer(engine, request):
        return EngineAnswer(500, (), b"", "")

    mark, asked, failures = _score(answer)
    assert (mark, failures, len(asked)) == (None, 3, 3)


@pytest.mark.parametrize(
    ("times", "next_choice"), [((1.0, 0.01), "desk-1"), ((0.2, 1.0), "desk-0")]
)
def test_only_an_engine_that_was_asked_first_counts_as_overtaken(times, next_choice):
    """
    One that was asked later and had less time is not slow.
    """

    async def answer(engine, request):
        await asyncio.sleep(times[int(engine.engine_id == "desk-1")])
        return EngineAnswer(200, (), b"", "mark")

    engines = FunctionEngines(answer)
    serving, pool, _ = make_pass_through(engines, make_route("/look/", objective=0.2))
    asyncio.run(serving.serve(make_request("/look/x"), 1.5))
    assert engines.asked == ["desk-0", "desk-1"]
    # Least outstanding takes the first of two alike, unless it comes after the others.
    assert pool.choose("desk").engine_id == next_choice
    with pool.reserve(make_engine_entry("desk-0")):
        assert pool.choose("desk").engine_id == "desk-1"


def test_a_scoring_call_goes_to_no_second_instance_while_it_may_not():
    """
    Its job may have ended since the first attempt began.
    """
    allowed = [True]

    async def answer(engine, request):
        allowed[0] = False
        await asyncio.sleep(0.4)
        return EngineAnswer(200, (), b"", "mark")

    engines = FunctionEngines(answer)
    serving, _, _ = make_pass_through(engines, make_route("/score/"))

    async def ask():
        route, request = make_route("/score/"), make_request("/score/x")
        deadline = boot_time() + 1.0
        return await serving.run(route, request, deadline, may_begin=lambda: allowed[0])

    assert isinstance(asyncio.run(ask()), EngineAnswer)
    assert len(engines.asked) == 1
