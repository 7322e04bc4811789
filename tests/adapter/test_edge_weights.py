# SPDX-License-Identifier: MIT

"""
Weight versions, orders and the handover of texts between edges.
"""

from __future__ import annotations

import signal
import time
from datetime import UTC, datetime

import pytest
from links import Link

from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_job, texts, whole_texts


def _bring(bed, version: int, edge: str = "edge-0") -> None:
    """
    Name a version, and submit a job that requires it, so that every engine loads it.
    """
    bed.name_version(version)
    job = make_job(0, min_version=version)
    item = make_job(1)["requests"][0]
    job["requests"] = [{**item, "id": f"needs-{version}"}]
    assert bed.submit(f"needs-{version}", job, edge).status == 202


def test_half_of_the_engines_follow_a_version_that_no_job_needs_yet(platform_bed):
    """
    The other half keeps serving the older version that jobs still allow.
    """
    platform_bed.name_version(2)
    engines = ("engine-0", "engine-1")
    until(lambda: 2 in [platform_bed.fake_engine(e)["version"] for e in engines])
    time.sleep(1.0)
    assert sorted(platform_bed.fake_engine(e)["version"] for e in engines) == [1, 2]


def test_texts_say_which_weights_made_them(platform_bed):
    """
    If weights change during a run, the result lists both versions.
    """
    # The engines load one after the other, a second apart; both loads fall between the
    # first event and a second before the last.
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, pace=0.3, events=10)
    assert platform_bed.submit("job-1", make_job(2)).status == 202
    until(lambda: len(platform_bed.runs()) == 2)
    time.sleep(0.7)
    _bring(platform_bed, 2)
    for result in platform_bed.finished("job-1", 2):
        assert result["versions"] == [1, 2]
        assert texts([result]) == {result["id"]: whole_texts(2, 10)[result["id"]]}


def test_no_token_is_older_than_the_job_allows(platform_bed):
    """
    A job that requires version 2 waits until an engine reports it.
    """
    assert platform_bed.submit("job-1", make_job(2, min_version=2)).status == 202
    time.sleep(0.5)
    assert platform_bed.results("job-1") == []
    platform_bed.name_version(2)
    results = platform_bed.finished("job-1", 2)
    assert {tuple(result["versions"]) for result in results} == {(2,)}


def test_an_order_carried_out_late_changes_nothing(platform_bed):
    """
    The engine has accepted a newer order since, so it rejects the late one.
    """
    platform_bed.fake_engine("engine-0", late_orders=1)
    _bring(platform_bed, 2)
    until(lambda: platform_bed.fake_engine("engine-0")["version"] == 2)
    _bring(platform_bed, 3)
    until(lambda: platform_bed.fake_engine("engine-0")["version"] == 3)
    assert until(lambda: _late(platform_bed)) == 409
    time.sleep(0.5)
    assert platform_bed.fake_engine("engine-0")["history"] == [2, 3]


def _late(bed) -> int | None:
    return bed.fake_engine("engine-0")["orders"][0].get("late_status")


def test_orders_come_from_one_holder_with_rising_fences(two_edges):
    """
    After the holder's crash the next one uses a higher fencing number.
    """
    _bring(two_edges, 2)
    until(lambda: two_edges.fake_engine("engine-0")["version"] == 2)
    first = two_edges.fake_engine("engine-0")["orders"][-1]
    two_edges.signal(first["holder"], signal.SIGKILL)
    killed = datetime.now(UTC)
    left = "edge-1" if first["holder"] == "edge-0" else "edge-0"
    _bring(two_edges, 3, left)
    until(lambda: two_edges.fake_engine("engine-0")["version"] == 3)
    second = two_edges.fake_engine("engine-0")["orders"][-1]
    # The term is 1 s, renewed at least every third of it.
    taken = _lines(two_edges, left, "duty_taken")[-1]["timestamp"]
    waited = datetime.fromisoformat(taken) - killed
    assert waited.total_seconds() > 0.6
    assert second["holder"] != first["holder"]
    assert second["fence_token"] > first["fence_token"]
    assert second["model"] == MODEL


def test_a_machine_that_comes_back_has_its_lease_at_once(long_lease):
    """
    It need not wait for its own term of 8 s, and uses a higher fencing number.
    """
    until(lambda: _lines(long_lease, "edge-0", "duty_taken"))
    long_lease.signal("edge-0", signal.SIGKILL)
    long_lease.wait_end("edge-0")
    long_lease.start_edge("edge-0")
    until(lambda: len(_lines(long_lease, "edge-0", "duty_taken")) == 2, 6.0)
    before, taken = _lines(long_lease, "edge-0", "duty_taken")
    assert taken["fence"] > before["fence"]


def _lines(bed, edge: str, event: str) -> list[dict]:
    return [line for line in bed.log(edge) if line["event"] == event]


def test_a_planned_stop_hands_the_texts_over(two_edges):
    """
    The next owner resumes after the events that the stopping one has persisted.
    """
    for engine in ("engine-0", "engine-1"):
        two_edges.fake_engine(engine, pace=0.4)
    assert two_edges.submit("job-1", make_job(2), "edge-1").status == 202
    until(lambda: len(two_edges.runs()) == 2)
    time.sleep(1.0)
    owner = two_edges.owner()
    other = "edge-1" if owner == "edge-0" else "edge-0"
    two_edges.signal(owner, signal.SIGTERM)
    # Long before the stopping one exits.
    until(lambda: len(_resumed(two_edges)) == 2, 2.0)
    assert texts(two_edges.finished("job-1", 2, other)) == whole_texts(2)
    assert len(_resumed(two_edges)) == 2
    assert two_edges.wait_end(owner) == 0


def test_a_planned_stop_while_the_store_is_away_loses_no_text(two_edges):
    """
    The items keep running until another edge can take them over.
    """
    for engine in ("engine-0", "engine-1"):
        two_edges.fake_engine(engine, pace=0.4)
    owner = two_edges.owner()
    other = "edge-1" if owner == "edge-0" else "edge-0"
    assert two_edges.submit("job-1", make_job(2), other).status == 202
    until(lambda: len(two_edges.runs()) == 2)
    two_edges.fake_store(mode="busy")
    two_edges.signal(owner, signal.SIGTERM)
    time.sleep(1.2)
    assert all(run["ended"] == "running" for run in two_edges.runs())
    two_edges.fake_store(mode="ok")
    assert texts(two_edges.finished("job-1", 2, other)) == whole_texts(2)
    # No event was generated twice.
    items = [run for run in two_edges.runs() if run["request_id"].startswith("item")]
    assert sorted(run["resume_after"] for run in items)[:2] == [0, 0]
    assert all(run["resume_after"] >= 3 for run in items if run["resume_after"])
    assert len(items) == 4
    assert two_edges.wait_end(owner) == 0


def test_a_planned_stop_while_the_store_is_silent_ends_within_its_grace(platform_bed):
    """
    Every call to the store then runs into its timeout.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, pace=0.4)
    until(lambda: _lines(platform_bed, "edge-0", "duty_taken"))
    assert platform_bed.submit("job-1", make_job(2)).status == 202
    until(lambda: len(platform_bed.runs()) == 2)
    platform_bed.fake_store(mode="silent")
    time.sleep(0.5)
    began = time.monotonic()
    platform_bed.signal("edge-0", signal.SIGTERM)
    assert platform_bed.wait_end("edge-0") == 0
    # The settings allow 8 s.
    assert time.monotonic() - began < 7.8


def _resumed(bed) -> list[dict]:
    return [run for run in bed.runs() if run["resume_after"] >= 1]


@pytest.fixture
def one_engine(tmp_path):
    """
    Two edges and one model engine.
    """
    with PlatformBed.open(tmp_path, edges=2, engines=1) as bed:
        yield bed


def test_no_order_of_a_stopped_holder_arrives_after_one_of_the_next(one_engine):
    """
    Guards against a lease that is released while an order is still on its way: engines
    that check no fences would carry it out.
    """
    bed = one_engine
    until(lambda: _holder(bed))
    first = _holder(bed)
    with Link.open(bed.engine_ports["engine-0"], delay=0.3) as link:
        link.hold(b'"opcode"', f'"{first}"'.encode())
        bed.put_entry("engine-0", "pool", link.port, MODEL)
        time.sleep(0.6)
        bed.name_version(2)
        assert link.held.wait(5.0)
        bed.signal(first, signal.SIGTERM)
        stopped_at = time.monotonic()
        until(lambda: _holder(bed) != first, 5.0)
        # The order on its way delays the next holder by its own time only.
        assert time.monotonic() - stopped_at < 0.9
        until(lambda: bed.fake_engine("engine-0")["version"] == 2)
        bed.name_version(3)
        until(lambda: bed.fake_engine("engine-0")["version"] == 3)
    orders = bed.fake_engine("engine-0")["orders"]
    fences = [order["fence_token"] for order in orders]
    assert fences == sorted(fences)
    assert {order["holder"] for order in orders} == set(bed.front_ports)


def _holder(bed) -> str:
    """
    Return the edge that was the last to claim the lease of the orders.
    """
    taken = [
        (line["fence"], edge)
        for edge in bed.front_ports
        for line in _lines(bed, edge, "duty_taken")
        if line["duty"] == "orders"
    ]
    return max(taken, default=(0, ""))[1]
