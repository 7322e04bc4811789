# SPDX-License-Identifier: MIT

"""
Which requests are retried at an engine that has received them.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import pytest
from function_engines import FunctionEngines, make_pass_through
from hypothesis import given
from hypothesis import strategies as st

from builders import make_request, make_route
from saddledoor import (
    AttemptOutcome,
    EngineAttempts,
    Incarnation,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    RouteKind,
)
from saddledoord.ports import EngineAnswer, UnusableAnswer


_A, _B = Incarnation("desk-0"), Incarnation("desk-1")
_DONE = EngineAnswer(200, (), b"", "mark")
_REFUSED = NotRun(ResultCode.NO_BACKEND, "the engine refused")
_UNUSABLE = UnusableAnswer(ResultCode.OUTCOME_UNKNOWN, "the answer of another request")
_BROKEN = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "broken off")
_RETRYABLE_OUTCOMES = [
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.UNUSABLE,
    AttemptOutcome.FAILED,
]


def _attempts(
    *outcomes: tuple[Incarnation, AttemptOutcome], **changes
) -> EngineAttempts:
    """
    Return attempts that ended at 10.0, except those that still run.
    """
    attempts = EngineAttempts(**({"max_attempts": 3, "repeatable": True} | changes))
    for engine, outcome in outcomes:
        attempt = attempts.begin(engine)
        if outcome is not AttemptOutcome.RUNNING:
            attempt.finish(outcome, 10.0)
    return attempts


@pytest.mark.parametrize("outcome", _RETRYABLE_OUTCOMES)
def test_a_request_may_be_retried_at_an_engine_that_finished_it(outcome):
    """
    The retry follows a backoff, and need not wait for another engine's run.
    """
    attempts = _attempts((_A, outcome), (_B, AttemptOutcome.RUNNING))
    assert list(attempts.earliest_retry_times()) == [_A]
    assert attempts.earliest_retry_times()[_A] > 10.0


def test_a_request_does_not_return_where_it_broke_off():
    """
    The engine may still run it, whatever it answered to another attempt.
    """
    assert _attempts((_A, AttemptOutcome.BROKEN)).earliest_retry_times() == {}
    twice = _attempts((_A, AttemptOutcome.BROKEN), (_A, AttemptOutcome.NOT_RUN))
    assert twice.earliest_retry_times() == {}


@pytest.mark.parametrize("outcome", _RETRYABLE_OUTCOMES)
def test_an_unrepeatable_request_returns_nowhere(outcome):
    """
    Not even if the engine did not run it.
    """
    assert _attempts((_A, outcome), repeatable=False).earliest_retry_times() == {}


def test_the_backoff_doubles_with_each_attempt_at_the_engine():
    """
    So that an engine that keeps failing gets few attempts.
    """
    pauses = [
        _attempts(*[(_A, AttemptOutcome.UNUSABLE)] * count).earliest_retry_times()[_A]
        - 10.0
        for count in (1, 2, 3)
    ]
    assert pauses == pytest.approx([pauses[0], 2 * pauses[0], 4 * pauses[0]])


_CHOICES = st.tuples(st.sampled_from(list(AttemptOutcome)), st.integers(0, 3))


@given(st.integers(1, 4), st.lists(_CHOICES, max_size=20))
def test_attempts_stay_within_what_the_route_allows(most, choices):
    """
    The limit holds for engines and for attempts that run, failed or were interrupted.
    """
    attempts = EngineAttempts(most, True)
    spent = Counter()
    for outcome, number in choices:
        returns = list(attempts.earliest_retry_times())
        if attempts.may_try_another_engine():
            engine = Incarnation(f"desk-{len(attempts.engines)}")
        elif returns:
            engine = returns[number % len(returns)]
        else:
            break
        attempt = attempts.begin(engine)
        if outcome is not AttemptOutcome.RUNNING:
            attempt.finish(outcome, 10.0)
        spent[outcome] += 1
    assert len(attempts.engines) <= most
    used_up = (AttemptOutcome.RUNNING, AttemptOutcome.FAILED, AttemptOutcome.BROKEN)
    assert sum(spent[outcome] for outcome in used_up) <= most


def _serve(answer, count: int = 1, caller_timeout: float = 2.0, **route):
    """
    Serve `count` requests at once with two engines.

    :returns: The outcomes, the number of calls by engine and the duration in seconds.
    """
    engines = FunctionEngines(answer)
    pass_through, _, _ = make_pass_through(engines, make_route("/look/", **route))

    async def ask() -> list:
        asking = [
            pass_through.serve(make_request(f"/look/{number}"), caller_timeout)
            for number in range(count)
        ]
        return await asyncio.gather(*asking)

    started_at = time.monotonic()
    outcomes = asyncio.run(ask())
    return outcomes, Counter(engines.called), time.monotonic() - started_at


def test_a_request_that_broke_off_waits_for_the_slow_engine():
    """
    The engine of the first attempt may still run it, or may have crashed.
    """

    async def answer(engine, request):
        if engine.engine_id == "desk-0":
            return _BROKEN
        await asyncio.sleep(0.6)
        return _DONE

    outcomes, calls, _ = _serve(answer)
    assert (outcomes, calls["desk-0"]) == ([_DONE], 1)


def test_a_request_refused_everywhere_is_refused_at_once():
    """
    Another VM may accept it.
    """

    async def answer(engine, request):
        return _REFUSED

    (outcome,), calls, seconds = _serve(answer)
    assert isinstance(outcome, NotRun)
    assert (calls, seconds < 0.1) == (Counter({"desk-0": 1, "desk-1": 1}), True)


def test_no_attempt_is_started_that_cannot_be_answered_in_time():
    """
    The caller gets the outcome at once instead.
    """

    async def answer(engine, request):
        return _UNUSABLE

    (outcome,), calls, seconds = _serve(answer, caller_timeout=0.15)
    assert isinstance(outcome, OutcomeUnknown)
    assert (calls, seconds < 0.1) == (Counter({"desk-0": 1, "desk-1": 1}), True)


def test_an_engine_that_stays_sick_is_tried_again_by_one_at_a_time():
    """
    Twenty requests have failed there at the same time, and the other engine is slow.
    """

    async def answer(engine, request):
        if engine.engine_id == "desk-0":
            return _UNUSABLE
        await asyncio.sleep(5.0)
        return _DONE

    _, calls, _ = _serve(answer, count=20, caller_timeout=0.7)
    assert calls["desk-0"] - 20 <= 3


def test_all_are_retried_once_one_of_them_has_been_answered():
    """
    The engine fails for 0.3 s.
    """
    started_at = time.monotonic()

    async def answer(engine, request):
        if engine.engine_id == "desk-0":
            is_failing = time.monotonic() < started_at + 0.3
            return _UNUSABLE if is_failing else _DONE
        await asyncio.sleep(5.0)
        return _DONE

    outcomes, _, _ = _serve(answer, count=20, caller_timeout=1.9)
    assert outcomes == [_DONE] * 20


def test_a_request_of_an_unrepeatable_route_is_not_sent_again():
    """
    Its attempt got the answer of another request.
    """

    async def answer(engine, request):
        return _UNUSABLE

    (outcome,), calls, _ = _serve(answer, kind=RouteKind.UNSAFE)
    assert (outcome, calls.total()) == (_UNUSABLE, 1)
