# SPDX-License-Identifier: MIT

"""
The choice of an engine for a job item.
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
from saddledoord.serving.gate import SendGate
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pool import EnginePool


ROUTE = make_route("/train/")


class _Setup:
    """
    A placement and its engines, which serve one model at given weight versions.
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
        pool = EnginePool(
            self.view, least_outstanding(lambda: 0.0), SendGate(self.view)
        )
        self.silent: set[Incarnation] = set()
        self.placement = Placement(self.view, pool, self.paces, self.silent)
        self._oldest = oldest
        self.run = self.make_item_run()

    def make_item_run(
        self, expected_tokens: int = 2000, first_seen_at: float = 0.0
    ) -> ItemRun:
        job = replace(make_job(1), oldest_version=self._oldest)
        item = replace(job.items[0], expected_tokens=expected_tokens)
        return ItemRun.create(make_job_state(job, first_seen_at), item)

    def set_gap(self, engine_id: str, gap: float) -> None:
        self.paces.observe(Incarnation(engine_id), gap, boot_time())

    def choose_engine(self, *exclude: str) -> str | None:
        excluded = {Incarnation(name) for name in exclude}
        engine = self.placement.choose(self.run, ROUTE, excluded)
        return engine and engine.engine_id


def test_the_fastest_engine_with_room_is_chosen():
    """
    The next fastest is chosen if that one is excluded.
    """
    setup = _Setup([1, 1, 1, 1])
    for index, gap in enumerate([0.08, 0.04, 0.08, 0.08]):
        setup.set_gap(f"e-{index}", gap)
    assert setup.choose_engine() == "e-1"
    assert setup.choose_engine("e-1") == "e-0"


def test_an_engine_whose_weights_are_too_old_is_left_out():
    """
    A version that this node saw in an event counts before the engine's entry has it.
    """
    setup = _Setup([1, 2], oldest=2)
    assert setup.choose_engine() == "e-1"
    assert setup.choose_engine("e-1") is None
    setup.placement.record_version(make_engine_entry("e-0"), "model-a", 2)
    assert setup.choose_engine("e-1") == "e-0"


@pytest.mark.parametrize(
    ("other", "moves"), [(0.04, True), (0.19, False), (None, False)]
)
def test_an_item_moves_to_an_engine_that_is_much_faster(other, moves):
    """
    It does not move if the other pace is similar or unknown.
    """
    setup = _Setup([1, 1])
    setup.set_gap("e-0", 0.2)
    if other is not None:
        setup.set_gap("e-1", other)
    faster = setup.placement.find_faster(setup.run, make_engine_entry("e-0"))
    assert (faster is not None) == moves


def test_an_engine_that_has_gone_silent_is_left_out():
    """
    It is eligible again once it has answered a report.
    """
    setup = _Setup([1, 1])
    setup.silent.add(Incarnation("e-0"))
    assert setup.choose_engine() == "e-1"
    assert setup.choose_engine("e-1") is None
    setup.silent.clear()
    assert setup.choose_engine("e-1") == "e-0"


def test_an_engine_whose_streams_have_stopped_gets_no_item(monkeypatch):
    """
    It may have failed together with the engine that an item leaves.
    """
    setup = _Setup([1, 1])
    engine = make_engine_entry("e-0")
    now = boot_time()
    setup.placement.reserve(setup.run, engine)
    setup.run.times.enter(ItemPhase.EVENTS, now)
    setup.paces.observe(engine.incarnation, None, now)
    other = setup.make_item_run()
    clock = "saddledoord.jobs.placement.boot_time"
    monkeypatch.setattr(clock, lambda: now + 0.1)
    assert setup.placement.choose(other, ROUTE, {Incarnation("e-1")}) is not None
    monkeypatch.setattr(clock, lambda: now + 0.2)
    assert setup.placement.choose(other, ROUTE, {Incarnation("e-1")}) is None


def test_long_texts_start_before_short_ones_of_the_same_age():
    """
    Texts of an old job start before those of the same length of a new one.
    """
    setup = _Setup([1])
    short, long = (
        setup.make_item_run(expected_tokens=500),
        setup.make_item_run(expected_tokens=9000),
    )
    later = setup.make_item_run(expected_tokens=500, first_seen_at=1.0)
    order = sorted([later, short, long], key=setup.placement.latest_start)
    assert order == [long, short, later]


def test_a_slot_is_reserved_until_it_is_released():
    """
    A second release has no effect.
    """
    setup = _Setup([1, 1])
    first = setup.choose_engine()
    reservation = setup.placement.reserve(setup.run, make_engine_entry(first))
    assert setup.choose_engine() != first
    reservation.release()
    reservation.release()
    assert setup.choose_engine() == first


def test_a_pause_does_not_change_an_engine_s_pace():
    """
    A stream pauses while its engine loads weights.
    """
    paces, engine = EnginePaces(EngineTables()), Incarnation("e-1")
    paces.observe(engine, 0.04, 10.0)
    paces.observe(engine, 0.9, 10.9)
    assert paces.gap(engine, 11.0) == 0.04
