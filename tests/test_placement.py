# SPDX-License-Identifier: MIT

"""
Which engine an item goes to.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from builders import (
    make_engine_entry,
    make_gateway_config,
    make_job,
    make_job_state,
    make_route,
)
from saddledoor import EngineTables, GatewayService, Incarnation, least_outstanding
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.item_times import ItemPhase
from saddledoord.jobs.placement import Placement
from saddledoord.ports import KeyedEntry
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pool import EnginePool


ROUTE = make_route("/train/")


class _Bed:
    """
    Four engines of one model, at the versions that a test says.
    """

    def __init__(self, versions: list[int], oldest: int = 1) -> None:
        config = make_gateway_config(1, [ROUTE])
        services = {"desk": GatewayService("desk", 50, ("model-a",))}
        self.view = ClusterView()
        self.view.apply_operator(
            KeyedEntry("config", 0, replace(config, services=services))
        )
        for index, version in enumerate(versions):
            entry = make_engine_entry(f"e-{index}", versions={"model-a": version})
            self.view.apply_engine(KeyedEntry(entry.engine_id, index, entry))
        self.paces = EnginePaces(self.view.engine_tables)
        pool = EnginePool(self.view, least_outstanding(lambda: 0.0))
        self.silent: set[Incarnation] = set()
        self.placement = Placement(self.view, pool, self.paces, self.silent)
        self._oldest = oldest
        self.run = self.item()

    def item(self, expected_tokens: int = 2000, first_seen_at: float = 0.0) -> ItemRun:
        job = replace(make_job(1), oldest_version=self._oldest)
        item = replace(job.items[0], expected_tokens=expected_tokens)
        return ItemRun.begin(make_job_state(job, first_seen_at), item)

    def pace(self, engine_id: str, gap: float) -> None:
        self.paces.observe(Incarnation(engine_id), gap, boot_time())

    def chosen(self, *exclude: str) -> str | None:
        left_out = {Incarnation(name) for name in exclude}
        engine = self.placement.choose(self.run, ROUTE, left_out)
        return engine and engine.engine_id


def test_the_fastest_engine_with_room_is_chosen():
    """
    Of those whose pace is known; one that is unknown counts as fast.
    """
    bed = _Bed([1, 1, 1, 1])
    for index, gap in enumerate([0.08, 0.04, 0.08, 0.08]):
        bed.pace(f"e-{index}", gap)
    assert bed.chosen() == "e-1"
    assert bed.chosen("e-1") == "e-0"


def test_an_engine_whose_weights_are_too_old_is_left_out():
    """
    As far as this node has heard or seen.
    """
    bed = _Bed([1, 2], oldest=2)
    assert bed.chosen() == "e-1"
    assert bed.chosen("e-1") is None
    bed.placement.note_version(make_engine_entry("e-0"), "model-a", 2)
    assert bed.chosen("e-1") == "e-0"


@pytest.mark.parametrize(
    ("other", "moves"), [(0.04, True), (0.19, False), (None, False)]
)
def test_an_item_moves_to_an_engine_that_is_much_faster(other, moves):
    """
    And stays where it is for a pace that differs by little, or is not known.
    """
    bed = _Bed([1, 1])
    bed.pace("e-0", 0.2)
    if other is not None:
        bed.pace("e-1", other)
    faster = bed.placement.faster(bed.run, make_engine_entry("e-0"))
    assert (faster is not None) == moves


def test_an_engine_that_has_gone_silent_is_left_out():
    """
    Until it has answered a report.
    """
    bed = _Bed([1, 1])
    bed.silent.add(Incarnation("e-0"))
    assert bed.chosen() == "e-1"
    assert bed.chosen("e-1") is None
    bed.silent.clear()
    assert bed.chosen("e-1") == "e-0"


def test_an_engine_whose_streams_have_stopped_gets_no_item(monkeypatch):
    """
    It may have gone silent at the same moment as the one that an item leaves.
    """
    bed = _Bed([1, 1])
    engine = make_engine_entry("e-0")
    now = boot_time()
    bed.placement.reserve(bed.run, engine)
    bed.run.times.enter(ItemPhase.EVENTS, now)
    bed.paces.observe(engine.incarnation, None, now)
    other = bed.item()
    clock = "saddledoord.jobs.placement.boot_time"
    monkeypatch.setattr(clock, lambda: now + 0.1)
    assert bed.placement.choose(other, ROUTE, {Incarnation("e-1")}) is not None
    monkeypatch.setattr(clock, lambda: now + 0.2)
    assert bed.placement.choose(other, ROUTE, {Incarnation("e-1")}) is None


def test_long_texts_start_before_short_ones_of_the_same_age():
    """
    And an old job's before those of a new one.
    """
    bed = _Bed([1])
    short, long = bed.item(expected_tokens=500), bed.item(expected_tokens=9000)
    later = bed.item(expected_tokens=500, first_seen_at=1.0)
    order = sorted([later, short, long], key=bed.placement.latest_start)
    assert order == [long, short, later]


def test_a_place_counts_until_it_is_given_back():
    """
    Once only, also if it is given back twice.
    """
    bed = _Bed([1, 1])
    first = bed.chosen()
    place = bed.placement.reserve(bed.run, make_engine_entry(first))
    assert bed.chosen() != first
    place.release()
    place.release()
    assert bed.chosen() == first


def test_a_pause_says_nothing_of_an_engine_s_pace():
    """
    Weights that load under a stream hold it up for 0.9 s.
    """
    paces, engine = EnginePaces(EngineTables()), Incarnation("e-1")
    paces.observe(engine, 0.04, 10.0)
    paces.observe(engine, 0.9, 10.9)
    assert paces.gap(engine, 11.0) == 0.04
