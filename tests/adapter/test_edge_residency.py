# SPDX-License-Identifier: MIT

"""
Data residency in two regions, with edges and stand-ins of the platform.

Guards against requests, and bodies and texts of jobs, that reach a region which the
route or the workspace excludes.
"""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_bed import PlatformBed, until
from platform_documents import ITEMS, MODEL, make_config, make_job, texts, whole_texts
from saddledoor import restricted_share
from saddledoord.jobs.texts import text_stream


_ZONES = {"dc-a": "north", "dc-b": "south"}
_NORTHERN = ("engine-0", "engine-1", "desk-0", "desk-1")
_SOUTHERN = ("engine-b", "desk-b")
_KEY = {"Saddledoor_Key": "key-1"}
_SOUTH = text_stream(("south",))
_SOUTH_SHARE = restricted_share("pool", frozenset({"south"}))
_NORTH_SHARE = restricted_share("pool", frozenset({"north"}))


def _config(
    version: int = 2, route: list[str] | None = None, workspace: list[str] | None = None
) -> dict:
    """
    Return a configuration with allowed regions of all routes, or of the one workspace.
    """
    tenant: dict[str, object] = {"name": "w", "api_keys": ["key-1"]}
    if workspace is not None:
        tenant["allowed_regions"] = workspace
    config = make_config(version, tenants=[tenant])
    if route is not None:
        for fields in config["routes"]:
            fields["allowed_regions"] = route
    return config


@pytest.fixture
def bed(tmp_path):
    """
    An edge and engines in the north, and an edge and one engine of each service in the
    south.
    """
    with PlatformBed.open(
        tmp_path, edges=2, zones=_ZONES, edge_zones={"edge-1": "dc-b"}
    ) as bed:
        bed.start_engine("engine-b", "pool", MODEL, zone="dc-b")
        bed.start_engine("desk-b", "desk", zone="dc-b")
        for edge in bed.front_ports:
            until(lambda edge=edge: _known(bed, edge, "desk-b"))
        yield bed


def _known(bed: PlatformBed, edge: str, engine: str) -> bool:
    return any(line.get("engine") == engine for line in bed.log(edge))


def _apply(bed: PlatformBed, config: dict) -> None:
    bed.configure(config)
    for edge in bed.front_ports:
        until(lambda edge=edge: _version(bed, edge) == config["version"])


def _version(bed: PlatformBed, edge: str) -> int | None:
    lines = _lines(bed, "configuration_in_force", edge)
    return lines[-1]["version"] if lines else None


def _lines(bed: PlatformBed, event: str, edge: str) -> list[dict]:
    return [line for line in bed.log(edge) if line["event"] == event]


def _taken(bed: PlatformBed, edge: str) -> list[str]:
    return [line["share"] for line in _lines(bed, "share_taken", edge)]


def _runs(bed: PlatformBed, engines: tuple[str, ...]) -> int:
    return sum(len(bed.fake_engine(engine)["runs"]) for engine in engines)


def _ask(bed: PlatformBed, count: int, edge: str = "edge-0") -> set[int]:
    """
    Send requests at the same time, and return their statuses.
    """

    def ask(number: int) -> int:
        request_id = f"r-{time.monotonic_ns()}-{number}"
        return bed.ask("POST", "/look/x", b"b", request_id, edge, **_KEY).status

    with ThreadPoolExecutor(count) as pool:
        return set(pool.map(ask, range(count)))


def _remove(bed: PlatformBed, *engines: str) -> None:
    """
    Remove the entries of engines, and wait until both edges use them no more.
    """
    for engine in engines:
        bed.remove_entry(engine)
    for edge in bed.front_ports:
        for engine in engines:
            until(
                lambda edge=edge, engine=engine: any(
                    line["engine"] == engine
                    for line in _lines(bed, "engine_entry_gone", edge)
                )
            )


@pytest.mark.parametrize(
    ("route", "workspace"),
    [(["south"], None), (None, ["south"]), (["north", "south"], ["south"])],
    ids=["route", "workspace", "both"],
)
def test_plain_requests_and_their_hedges_stay_in_the_region(bed, route, workspace):
    """
    At an edge of either region, also if the region's engine is slow.
    """
    _apply(bed, _config(2, route, workspace))
    for edge in ("edge-0", "edge-1"):
        assert _ask(bed, 6, edge) == {200}
    # The hedge would be sent after half of the objective of 0.2 s.
    bed.fake_engine("desk-b", delay=0.4)
    assert _ask(bed, 4) == {200}
    assert _runs(bed, ("desk-b",)) == 16
    assert _runs(bed, _NORTHERN) == 0


def test_plain_requests_are_refused_while_the_region_s_engines_are_away(bed):
    """
    They are refused at once, since no other engine may serve them.
    """
    _apply(bed, _config(2, ["south"]))
    _remove(bed, "desk-b")
    # An engine counts as usable for some time after its entry has gone late.
    until(lambda: _ask(bed, 1) == {503})
    started_at = time.monotonic()
    answer = bed.ask("POST", "/look/x", b"b", "r-1", **_KEY)
    assert time.monotonic() - started_at < 0.5
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) >= 1.0
    assert _runs(bed, _NORTHERN) == 0


def test_requests_and_jobs_without_a_common_region_are_refused(bed):
    """
    The route allows one region, and the workspace the other one.
    """
    _apply(bed, _config(2, ["south"], ["north"]))
    assert _ask(bed, 2) == {503}
    assert bed.submit("job-1", make_job(2), **_KEY).status == 503
    assert _runs(bed, (*_NORTHERN, *_SOUTHERN)) == 0
    assert _lines(bed, "no_region_in_common", "edge-0")
    assert len(_lines(bed, "no_region_allowed", "edge-0")) == 3


def test_items_and_scoring_calls_stay_in_the_region(bed):
    """
    The job's client is connected to an edge of the other region, which reads only the
    records that the client asks for.
    """
    _apply(bed, _config(2, None, ["south"]))
    assert bed.submit("job-1", make_job(), **_KEY).status == 202
    bed.finished("job-1", ITEMS, "edge-1", **_KEY)
    store = bed.fake_store()
    assert "texts" not in store["ends"]
    assert store["ends"][_SOUTH] >= 1
    before = store["reads"].get(_SOUTH, 0)
    results = bed.results("job-1", "edge-0", **_KEY)
    assert texts(results) == whole_texts()
    assert bed.fake_store()["reads"][_SOUTH] - before == ITEMS
    body = bed.ask("GET", "/v1/items/job-1?id=item-0", edge="edge-0", **_KEY)
    assert body.body == b"prompt"
    assert _taken(bed, "edge-1").count(_SOUTH_SHARE) == 1
    assert _SOUTH_SHARE not in _taken(bed, "edge-0")
    assert _runs(bed, ("engine-b",)) == ITEMS
    assert _runs(bed, ("desk-b",)) == ITEMS
    assert _runs(bed, _NORTHERN) == 0


def test_resumed_items_stay_in_the_region(bed):
    """
    While the region's engine is away, its items wait.
    """
    _apply(bed, _config(2, ["south"]))
    bed.fake_engine("engine-b", pace=0.1, events=20, cut_after=12)
    assert bed.submit("job-1", make_job(3), **_KEY).status == 202
    until(lambda: _runs(bed, ("engine-b",)) >= 3)
    _remove(bed, "engine-b")
    time.sleep(3.0)
    assert _runs(bed, _NORTHERN) == 0
    bed.fake_engine("engine-b", cut_after=0)
    port = bed.engine_ports["engine-b"]
    bed.put_entry("engine-b", "pool", port, MODEL, zone="dc-b")
    assert texts(bed.finished("job-1", 3, **_KEY)) == whole_texts(3, 20)
    resumed = [run["resume_after"] for run in bed.fake_engine("engine-b")["runs"]]
    assert max(resumed) > 0
    assert _runs(bed, _NORTHERN) == 0


def test_a_share_waits_for_an_edge_of_its_region(bed):
    """
    The other region's edge does not take it over.
    """
    _apply(bed, _config(2, ["south"]))
    bed.fake_engine("engine-b", pace=0.1, events=20)
    assert bed.submit("job-1", make_job(3), **_KEY).status == 202
    until(lambda: _runs(bed, ("engine-b",)) == 3)
    bed.processes["edge-1"].end()
    time.sleep(3.0)
    assert _SOUTH_SHARE not in _taken(bed, "edge-0")
    assert bed.results("job-1", **_KEY) == []
    bed.start_edge("edge-1")
    assert texts(bed.finished("job-1", 3, **_KEY)) == whole_texts(3, 20)
    assert _runs(bed, _NORTHERN) == 0


def test_a_changed_configuration_moves_the_jobs_to_the_other_region(bed):
    """
    The texts are resumed there, and nothing more is sent to the first region.
    """
    _apply(bed, _config(2, ["south"]))
    for engine in ("engine-0", "engine-1", "engine-b"):
        bed.fake_engine(engine, pace=0.1, events=30)
    assert bed.submit("job-1", make_job(3), **_KEY).status == 202
    until(lambda: _runs(bed, ("engine-b",)) == 3)
    time.sleep(1.5)
    _apply(bed, _config(3, ["north"]))
    changed_at = time.monotonic()
    until(lambda: _runs(bed, ("engine-0", "engine-1")) == 3, 4.0)
    assert time.monotonic() - changed_at < 3.0
    assert texts(bed.finished("job-1", 3, "edge-1", **_KEY)) == whole_texts(3, 30)
    assert _runs(bed, _SOUTHERN) == 3
    northern = [
        run
        for engine in ("engine-0", "engine-1")
        for run in bed.fake_engine(engine)["runs"]
    ]
    assert all(run["resume_after"] > 0 for run in northern)
    assert _NORTH_SHARE in _taken(bed, "edge-0")
    # What was made after the change is not in the stream of the first region.
    assert bed.fake_store()["ends"][text_stream(("north",))] >= 3
    assert _ask(bed, 6, "edge-1") == {200}
    assert _runs(bed, _SOUTHERN) == 3


def test_an_edge_that_was_paused_sends_by_the_newest_regions(bed):
    """
    It gets the requests before it has read the configuration, since the store answers
    that read more slowly than others.
    """
    south, north = _config(2, ["south"]), _config(3, ["north"])
    for config in (south, north):
        # Leaves 2 s after the pause: a request that is sent just before its deadline
        # could end without an answer (502).
        config["routes"][0]["slo_ms"] = 1000
    _apply(bed, south)
    assert _ask(bed, 2) == {200}
    before = _runs(bed, ("desk-b",))
    bed.signal("edge-0", signal.SIGSTOP)
    bed.configure(north)
    with ThreadPoolExecutor(1) as pool:
        asking = pool.submit(_ask, bed, 12)
        time.sleep(4.0)
        bed.fake_store(slow_in="keyed.op", slow_by=0.4)
        bed.signal("edge-0", signal.SIGCONT)
        statuses = asking.result()
    bed.fake_store(slow_by=0.0)
    assert statuses <= {200, 503}
    assert _runs(bed, ("desk-b",)) == before
    until(lambda: _ask(bed, 4) == {200})
    assert _runs(bed, ("desk-b",)) == before


def test_without_allowed_regions_shares_and_streams_keep_their_names(bed):
    """
    The regions of the data centres alone restrict nothing.
    """
    _apply(bed, _config())
    assert bed.submit("job-1", make_job(), **_KEY).status == 202
    assert texts(bed.finished("job-1", ITEMS, **_KEY)) == whole_texts()
    assert [*_taken(bed, "edge-0"), *_taken(bed, "edge-1")] == ["pool"]
    ends = bed.fake_store()["ends"]
    assert [name for name in ends if name.startswith("texts")] == ["texts"]
    for edge in bed.front_ports:
        for event in ("engine_denied", "no_region_in_common", "shares_forbidden"):
            assert not _lines(bed, event, edge)
