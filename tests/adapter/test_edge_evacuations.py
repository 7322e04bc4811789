# SPDX-License-Identifier: MIT

"""
Evacuations of data centres, with edges and stand-ins of the platform.

Guards against requests that reach an evacuated data centre, and against engines that
get none after its evacuation.
"""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_job, texts, whole_texts


_BOUNDS = "evacuate_ms = 5000\n"


@pytest.fixture
def bed(tmp_path):
    """
    One edge; engines of both services in dc-a and in dc-b.
    """
    with PlatformBed.open(tmp_path, bounds=_BOUNDS) as bed:
        _start_others(bed)
        yield bed


def _start_others(bed: PlatformBed) -> None:
    bed.start_engine("engine-b", "pool", MODEL, zone="dc-b")
    bed.start_engine("desk-b", "desk", zone="dc-b")
    for edge in bed.front_ports:
        until(lambda edge=edge: _known(bed, edge, "desk-b"))


def _known(bed: PlatformBed, edge: str, engine: str) -> bool:
    return any(line.get("engine") == engine for line in bed.log(edge))


def _evacuate(bed: PlatformBed, *data_centres: str) -> None:
    before = _count(bed, "evacuation_started")
    for data_centre in data_centres:
        bed.put("keyed.op", f"evacuate/{data_centre}", "{}")
    until(lambda: _count(bed, "evacuation_started") == before + len(data_centres))


def _end(bed: PlatformBed, data_centre: str) -> None:
    before = _count(bed, "evacuation_ended")
    bed.put("keyed.op", f"evacuate/{data_centre}", "")
    until(lambda: _count(bed, "evacuation_ended") == before + 1)


def _count(bed: PlatformBed, event: str, edge: str = "edge-0") -> int:
    return sum(line["event"] == event for line in bed.log(edge))


def _runs(bed: PlatformBed, *engines: str) -> int:
    return sum(len(bed.fake_engine(engine)["runs"]) for engine in engines)


def _ask(bed: PlatformBed, count: int, edge: str = "edge-0") -> list[int]:
    """
    Send requests at the same time, and return their statuses.
    """

    def ask(number: int) -> int:
        request_id = f"r-{time.monotonic_ns()}-{number}"
        return bed.ask("POST", "/look/x", b"b", request_id, edge).status

    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(ask, range(count)))


def _reaches(bed: PlatformBed, *engines: str) -> bool:
    before = _runs(bed, *engines)
    _ask(bed, 12)
    return _runs(bed, *engines) > before


def test_an_evacuated_data_centre_gets_nothing_until_the_evacuation_ends(bed):
    """
    It can be ended and started again.
    """
    for _ in range(2):
        _evacuate(bed, "dc-a")
        before = _runs(bed, "desk-0", "desk-1")
        assert set(_ask(bed, 12)) == {200}
        assert _runs(bed, "desk-0", "desk-1") == before
        _end(bed, "dc-a")
        until(lambda: _reaches(bed, "desk-0", "desk-1"))


def test_running_texts_end_where_they_run(bed):
    """
    Items that wait meanwhile go to the other data centre.
    """
    inside = ("engine-0", "engine-1")
    for engine in (*inside, "engine-b"):
        bed.fake_engine(engine, pace=0.2, events=10)
    assert bed.submit("job-1", make_job(6)).status == 202
    until(lambda: _runs(bed, *inside, "engine-b") == 6)
    running = _runs(bed, *inside)
    assert running > 0
    _evacuate(bed, "dc-a")
    assert bed.submit("job-2", make_job(4)).status == 202
    assert texts(bed.finished("job-2", 4)) == whole_texts(4, 10)
    assert texts(bed.finished("job-1", 6)) == whole_texts(6, 10)
    assert _runs(bed, *inside) == running


def test_a_text_that_breaks_off_is_resumed_elsewhere(bed):
    """
    The engine would otherwise get it again.
    """
    inside = ("engine-0", "engine-1")
    for engine in (*inside, "engine-b"):
        bed.fake_engine(engine, pace=0.1, events=20, cut_after=15)
    assert bed.submit("job-1", make_job(6)).status == 202
    until(lambda: _runs(bed, *inside, "engine-b") == 6)
    running = _runs(bed, *inside)
    _evacuate(bed, "dc-a")
    bed.fake_engine("engine-b", cut_after=0)
    assert texts(bed.finished("job-1", 6)) == whole_texts(6, 20)
    assert _runs(bed, *inside) == running


def test_with_all_data_centres_evacuated_requests_are_refused_and_items_wait(bed):
    """
    A request is refused at once, since it cannot be served before its deadline.
    """
    _evacuate(bed, "dc-a", "dc-b")
    engines = ("engine-0", "engine-1", "engine-b", "desk-0", "desk-1", "desk-b")
    before = _runs(bed, *engines)
    started_at = time.monotonic()
    answer = bed.ask("POST", "/look/x", b"b", "r-1")
    assert time.monotonic() - started_at < 1.0
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) >= 1.0
    assert bed.submit("job-1", make_job(2)).status == 202
    time.sleep(1.0)
    assert _runs(bed, *engines) == before
    _end(bed, "dc-b")
    assert texts(bed.finished("job-1", 2)) == whole_texts(2)
    assert _runs(bed, "engine-0", "engine-1", "desk-0", "desk-1") == 0


def test_an_edge_that_starts_meanwhile_knows_the_evacuation(bed):
    """
    It reads the registry before it sends anything.
    """
    _evacuate(bed, "dc-a")
    before = _runs(bed, "desk-0", "desk-1")
    bed.start_edge("edge-1")
    until(lambda: bed.ready("edge-1"))
    assert set(_ask(bed, 12, "edge-1")) == {200}
    assert _runs(bed, "desk-0", "desk-1") == before


def test_a_change_that_the_registry_dropped_is_still_learnt(bed):
    """
    Only the newest record of each key stays; a key that is gone has no record.
    """
    _evacuate(bed, "dc-a")
    bed.fake_store(mode="busy")
    until(lambda: _count(bed, "store_lost"))
    bed.put("keyed.op", "evacuate/dc-a", "")
    bed.put("keyed.op", "evacuate/dc-b", "{}")
    bed.fake_store(forget=["keyed.op"])
    before = _runs(bed, "desk-b")
    bed.fake_store(mode="ok")
    until(lambda: _count(bed, "evacuation_ended") == 1)
    until(lambda: _count(bed, "evacuation_started") == 2)
    assert set(_ask(bed, 12)) == {200}
    assert _runs(bed, "desk-b") == before


def test_an_edge_without_the_store_goes_on_by_what_it_knows(bed):
    """
    It neither stops serving nor forgets the evacuation, and logs the age of its
    knowledge.
    """
    _evacuate(bed, "dc-a")
    bed.fake_store(mode="silent")
    before = _runs(bed, "desk-0", "desk-1")
    stop_at = time.monotonic() + 6.0
    while time.monotonic() < stop_at:
        assert set(_ask(bed, 4)) == {200}
        time.sleep(0.1)
    assert _runs(bed, "desk-0", "desk-1") == before
    lines = [line for line in bed.log("edge-0") if line["event"] == _LAST_READ]
    assert len(lines) in (1, 2)
    assert lines[0]["age"] > 3.0


_LAST_READ = "evacuations_last_read"


def test_an_edge_that_was_paused_reads_the_registry_before_it_sends(bed):
    """
    The evacuation may have started during the pause, so that it must be in effect.
    """
    before = _runs(bed, "desk-0", "desk-1")
    bed.signal("edge-0", signal.SIGSTOP)
    bed.put("keyed.op", "evacuate/dc-a", "{}")
    with ThreadPoolExecutor(1) as pool:
        asking = pool.submit(_ask, bed, 12)
        time.sleep(6.0)
        bed.signal("edge-0", signal.SIGCONT)
        statuses = asking.result()
    assert _runs(bed, "desk-0", "desk-1") == before
    assert set(statuses) <= {200, 503}
    until(lambda: set(_ask(bed, 12)) == {200})
    assert _runs(bed, "desk-0", "desk-1") == before
