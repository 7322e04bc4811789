# SPDX-License-Identifier: MIT

"""
The runner of job items, between the read of a job's end and the drop of its items.

Guards against work that is sent in this interval.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest.mock import AsyncMock, Mock

from crash_watches import FakeControlLog, make_crash_watch

from builders import make_engine_entry, make_job, make_job_state, make_route
from saddledoor import EngineCrashed, JobState, PoisonStatus, ScoreCall
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.log_freshness import LogFreshness, LogReadState
from saddledoord.jobs.runner import JobRunner
from saddledoord.serving.engine_crash_watch import EngineCrashWatch


_TIMEOUT = 2.0


def _fresh_log() -> LogFreshness:
    read_state = LogReadState(boot_time(), True, float("-inf"))
    return LogFreshness(lambda: read_state, cancel_limit=3.0)


def _job_with_score() -> JobState:
    job = make_job(1)
    score = ScoreCall("score-0", "desk.example", "/look/score", b"score")
    items = tuple(replace(item, score=score) for item in job.items)
    return make_job_state(replace(job, items=items))


async def _run_until(
    state: JobState,
    reached: asyncio.Event,
    score: Callable[..., Awaitable[str]],
    load: Callable[..., Awaitable[list[bytes]]],
    generate: Callable[..., Awaitable[None]],
    crash_watch: EngineCrashWatch | None = None,
) -> None:
    """
    Run the items of a job until an event is set.

    :param score: In place of `Scorer.score`.
    :param load: In place of `TextStore.read`.
    :param generate: In place of `AttemptRunner.run`.
    """
    reservation = Mock(__enter__=Mock(), __exit__=Mock(return_value=False))
    runner = JobRunner(
        Mock(
            caught_up=True,
            open_jobs=lambda: [state],
            is_rejected=lambda key: False,
            failures=lambda key: 0,
        ),
        Mock(route=lambda host, path: make_route("/train/", max_item_age=None)),
        Mock(),
        Mock(),
        Mock(),
        Mock(
            latest_start=lambda run: 0.0,
            choose=lambda *_: make_engine_entry("engine-0"),
            reserve=lambda *_: reservation,
        ),
        Mock(run=generate),
        crash_watch or make_crash_watch(ClusterView()),
        Mock(),
        Mock(read=load),
        Mock(score=score),
        lambda share: True,
        _fresh_log(),
    )
    task = asyncio.create_task(runner.run())
    try:
        await asyncio.wait_for(reached.wait(), _TIMEOUT)
    finally:
        task.cancel()


def test_a_text_is_not_scored_once_its_job_s_end_is_known():
    """
    The scorer asks before each call.
    """
    state = _job_with_score()
    answers: list[bool] = []

    async def run() -> None:
        scored = asyncio.Event()

        async def score(call, failures, on_failure, may_call, workspace) -> str:
            answers.append(may_call())
            state.ended = True
            answers.append(may_call())
            scored.set()
            return "mark"

        await _run_until(state, scored, score, AsyncMock(return_value=[]), AsyncMock())

    asyncio.run(run())
    assert answers == [True, False]


def test_an_item_is_not_sent_once_its_job_s_end_is_known():
    """
    The end is read while the item's stored events are.
    """
    state = make_job_state(make_job(1))
    generate = AsyncMock()

    async def run() -> None:
        loaded = asyncio.Event()

        async def load(parts) -> list[bytes]:
            state.ended = True
            asyncio.get_running_loop().call_later(0.1, loaded.set)
            return []

        await _run_until(state, loaded, AsyncMock(), load, generate)

    asyncio.run(run())
    generate.assert_not_awaited()


def test_an_item_is_sent_whatever_engines_crashed_under_it():
    """
    Guards against an item that is never placed again after crashes of its engines.
    """
    state = make_job_state(make_job(1))
    (item,) = state.items.values()
    key = ItemRun.create(state, item).key
    control_log = FakeControlLog()
    watch = make_crash_watch(ClusterView(), control_log)

    async def run() -> None:
        sent = asyncio.Event()

        async def generate(run, route, permit) -> None:
            sent.set()

        # As a release that suspected items reported them.
        for number in range(8):
            control_log.deliver(EngineCrashed(f"engine-{number}", number, (key,), key))
        assert watch.poison_status(key) is PoisonStatus.QUARANTINED
        load = AsyncMock(return_value=[])
        await _run_until(state, sent, AsyncMock(), load, generate, watch)

    asyncio.run(run())
