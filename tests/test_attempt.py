# SPDX-License-Identifier: MIT

"""
Attempts at a job item, with an engine that makes events at a fixed pace.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from send_permits import make_permit

from builders import make_engine_entry, make_job, make_job_state, make_route
from saddledoor import GeneratedEvent, Incarnation
from saddledoord._clock import boot_time
from saddledoord.cluster.engine_timeouts import EngineTimeouts
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.attempt import AttemptRunner
from saddledoord.jobs.item_run import ItemRun
from saddledoord.ports import GenerationFailedError
from saddledoord.serving.pace import EnginePaces


class _Engines:
    """
    Engines that make a number of events at a fixed pace.

    :param accept_time: Time until they accept an item, in seconds.
    """

    def __init__(self, events: int, gap: float, accept_time: float = 0.0) -> None:
        self._events = events
        self._gap = gap
        self._accept_time = accept_time

    async def generate(self, permit, generation, on_accepted):
        await asyncio.sleep(self._accept_time)
        on_accepted()
        for number in range(generation.resume_after + 1, self._events + 1):
            await asyncio.sleep(self._gap)
            yield GeneratedEvent(number, "data", 1)


class _BufferedEngines(_Engines):
    """
    Engines whose events arrive regardless of pauses of this process.
    """

    async def generate(self, permit, generation, on_accepted):
        on_accepted()
        started_at = boot_time()
        for number in range(1, self._events + 1):
            await asyncio.sleep(max(0.0, started_at + number * self._gap - boot_time()))
            yield GeneratedEvent(number, "data", 1)


class _Placement:
    """
    A placement that always offers another, faster engine.

    :param cold: Whether the engines are cold.
    """

    def __init__(self, cold: bool) -> None:
        self._cold = cold
        self.versions: list[int] = []

    def record_started(self, engine, model):
        pass

    def record_version(self, engine, model, version):
        self.versions.append(version)

    def update_is_long(self, run):
        pass

    def find_alternative(self, run, engine):
        return make_engine_entry("fast")

    def is_cold(self, engine):
        return self._cold

    def find_faster(self, run, engine):
        return make_engine_entry("fast")


def _run_attempt(
    engines: _Engines,
    pause: float = 0.0,
    paces: EnginePaces | None = None,
    cold: bool = False,
) -> ItemRun:
    """
    Run an attempt.

    :param pause: Duration of a pause of the event loop, soon after the start; seconds.
    :param paces: Measured paces; None for new ones.
    :param cold: Whether the engines are cold.
    """
    view = ClusterView()
    paces = paces or EnginePaces(view.engine_tables)
    paces.observe(Incarnation("fast"), 0.001, boot_time())
    job = make_job(1)
    run = ItemRun.create(make_job_state(job), job.items[0])
    timeouts = EngineTimeouts(view)
    attempts = AttemptRunner(engines, paces, _Placement(cold), timeouts)
    route = make_route("/train/")

    async def run_paused() -> None:
        asyncio.get_running_loop().call_later(0.1, time.sleep, pause)
        await attempts.run(run, route, make_permit(make_engine_entry("slow"), 0.0))

    asyncio.run(run_paused())
    return run


def test_a_short_text_does_not_move_for_a_faster_engine():
    """
    A move would cost more than the rest of the text.
    """
    assert _run_attempt(_Engines(events=5, gap=0.02)).text.last == 5


def test_a_long_text_moves_to_a_much_faster_engine():
    """
    The attempt ends as slow after the shortest stay at an engine.
    """
    with pytest.raises(GenerationFailedError) as caught:
        _run_attempt(_Engines(events=40, gap=0.02))
    assert caught.value.outcome == GenerationFailedError.SLOW


def test_an_engine_is_not_silent_while_this_process_is_paused():
    """
    An event that arrived meanwhile is read before the engine is judged.
    """
    run = _run_attempt(_BufferedEngines(events=2, gap=0.3), pause=0.8)
    assert (run.text.last, run.stalls) == (2, 0)


def test_events_that_are_read_after_a_pause_do_not_change_the_pace():
    """
    They arrived during the pause, and are all read at its end.
    """
    paces = EnginePaces(ClusterView().engine_tables)
    _run_attempt(_BufferedEngines(events=4, gap=0.2), pause=0.8, paces=paces)
    gap = paces.gap(Incarnation("slow"), boot_time())
    assert gap is None or gap > 0.15


def test_an_engine_that_accepts_an_item_late_is_not_silent_meanwhile():
    """
    Its first event comes in time after that, so the item does not move.
    """
    run = _run_attempt(_Engines(events=2, gap=0.3, accept_time=0.4))
    assert (run.text.last, run.stalls) == (2, 0)


def test_an_item_leaves_an_engine_that_accepts_it_and_falls_silent():
    """
    Accepting an item is a sign of life only once.
    """
    with pytest.raises(GenerationFailedError) as caught:
        _run_attempt(_Engines(events=1, gap=2.0))
    assert caught.value.outcome == GenerationFailedError.STALLED


def test_a_cold_engine_may_be_silent_for_twice_as_long():
    """
    Its items would move from one cold engine to the next.
    """
    with pytest.raises(GenerationFailedError) as caught:
        _run_attempt(_Engines(events=1, gap=0.75))
    assert caught.value.outcome == GenerationFailedError.STALLED
    run = _run_attempt(_Engines(events=1, gap=0.75), cold=True)
    assert (run.text.last, run.stalls) == (1, 0)


def test_the_pace_of_a_cold_engine_is_no_fault():
    """
    Its texts stay, and its pace does not count once it is warm.
    """
    paces = EnginePaces(ClusterView().engine_tables)
    run = _run_attempt(_Engines(events=40, gap=0.02), paces=paces, cold=True)
    assert run.text.last == 40
    assert paces.gap(Incarnation("slow"), boot_time()) is None
