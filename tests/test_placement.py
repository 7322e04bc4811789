# SPDX-License-Identifier: MIT

"""
Which engine an item goes to.
"""

from __future__ import annotations

from dataclasses import replace

from builders import make_engine_entry, make_gateway_config, make_job, make_route
from saddledoor import GatewayService, JobState, least_outstanding
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.placement import Placement
from saddledoord.ports import KeyedEntry, NamedVersion
from saddledoord.serving.pace import EnginePaces
from saddledoord.serving.pool import EnginePool


ROUTE = make_route("/train/")


class _Bed:
    """
    Four engines of one model, at the versions that a test says.
    """

    def __init__(self, versions: list[int], named: int, oldest: int = 1) -> None:
        config = make_gateway_config(1, [ROUTE])
        services = {"desk": GatewayService("desk", 50, ("model-a",))}
        self.view = ClusterView()
        self.view.apply_operator(
            KeyedEntry("config", 0, replace(config, services=services))
        )
        version = NamedVersion("model-a", named)
        self.view.apply_operator(KeyedEntry("version/model-a", 1, version))
        for index, version in enumerate(versions):
            entry = make_engine_entry(f"e-{index}", versions={"model-a": version})
            self.view.apply_engine(KeyedEntry(entry.engine_id, index, entry))
        self.paces = EnginePaces()
        pool = EnginePool(self.view, least_outstanding(lambda: 0.0))
        self.placement = Placement(self.view, pool, self.paces, lambda model: oldest)
        job = make_job(1)
        self.run = ItemRun.begin(JobState(job, 1, 0.0), job.items[0])

    def pace(self, engine_id: str, gap: float) -> None:
        self.paces.observe(engine_id, gap, boot_time())

    def chosen(self, *exclude: str) -> str | None:
        engine = self.placement.choose(self.run, ROUTE, set(exclude))
        return engine and engine.engine_id


def test_the_fastest_engine_with_room_is_chosen():
    """
    Of those whose pace is known; one that is unknown counts as fast.
    """
    bed = _Bed([1, 1, 1, 1], named=1)
    for index, gap in enumerate([0.08, 0.04, 0.08, 0.08]):
        bed.pace(f"e-{index}", gap)
    assert bed.chosen() == "e-1"
    assert bed.chosen("e-1") == "e-0"


def test_an_engine_that_is_about_to_load_weights_comes_last():
    """
    It refuses what it has not begun; but it comes before one that is slow.
    """
    bed = _Bed([1, 1, 2, 2], named=3, oldest=1)
    # Half of the engines follow, the oldest first.
    assert bed.chosen() == "e-2"
    assert bed.chosen("e-2", "e-3") == "e-0"
    for index, gap in enumerate([0.04, 0.04, 0.20, 0.20]):
        bed.pace(f"e-{index}", gap)
    assert bed.chosen() == "e-0"


def test_an_item_moves_to_no_engine_that_is_about_to_load_for_its_pace_only():
    """
    Away from a silent engine it may move anywhere.
    """
    bed = _Bed([1, 1, 2], named=3, oldest=1)
    slow = make_engine_entry("e-2")
    bed.pace("e-2", 0.2)
    fast = make_engine_entry("e-1")
    assert bed.placement.elsewhere(bed.run, slow, settled=True).engine_id == "e-1"
    bed.run.unfit.add("e-1")
    assert bed.placement.elsewhere(bed.run, slow, settled=True) is None
    assert bed.placement.elsewhere(bed.run, slow, settled=False).engine_id == "e-0"
    assert bed.placement.elsewhere(bed.run, fast, settled=True).engine_id == "e-2"


def test_a_pause_says_nothing_of_an_engine_s_pace():
    """
    Weights that load under a stream hold it up for 0.9 s.
    """
    paces = EnginePaces()
    paces.observe("e-1", 0.04, 10.0)
    paces.observe("e-1", 0.9, 10.9)
    assert paces.gap("e-1", 11.0) == 0.04
