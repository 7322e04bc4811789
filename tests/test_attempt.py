# SPDX-License-Identifier: MIT

"""
One attempt at an item, before an engine that is a generator.
"""

from __future__ import annotations

import asyncio

import pytest
from crash_watches import make_crash_watch

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
    Engines that make events at a pace.
    """

    def __init__(self, events: int, gap: float) -> None:
        self._events = events
        self._gap = gap

    async def generate(self, engine, generation):
        for number in range(generation.resume_after + 1, self._events + 1):
            await asyncio.sleep(self._gap)
            yield GeneratedEvent(number, "data", 1)


class _Placement:
    """
    There is always room at another engine.
    """

    def __init__(self) -> None:
        self.versions: list[int] = []

    def started(self, engine, model):
        pass

    def note_version(self, engine, model, version):
        self.versions.append(version)

    def weigh(self, run):
        pass

    def elsewhere(self, run, engine):
        return make_engine_entry("fast")

    def faster(self, run, engine):
        return make_engine_entry("fast")


def _play(events: int, gap: float) -> ItemRun:
    view = ClusterView()
    paces = EnginePaces(view.engine_tables)
    paces.observe(Incarnation("fast"), 0.001, boot_time())
    job = make_job(1)
    run = ItemRun.begin(make_job_state(job), job.items[0])
    lives = EngineTimeouts(view)
    attempts = AttemptRunner(
        _Engines(events, gap), paces, _Placement(), lives, make_crash_watch(view)
    )
    route = make_route("/train/")
    asyncio.run(attempts.run(run, route, make_engine_entry("slow")))
    return run


def test_a_short_text_does_not_move_for_a_faster_engine():
    """
    It would be made whole at once where it is.
    """
    assert _play(events=5, gap=0.02).text.last == 5


def test_a_long_text_moves_to_a_much_faster_engine():
    """
    Once it has stayed for a quarter of a second.
    """
    with pytest.raises(GenerationFailedError) as caught:
        _play(events=40, gap=0.02)
    assert caught.value.outcome == GenerationFailedError.SLOW
