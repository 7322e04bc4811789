# SPDX-License-Identifier: MIT

"""
Fifty readers of a job that go from edge to edge while the store is cut off and an edge
is restarted.
"""

from __future__ import annotations

import itertools
import json
import signal
import time
from collections.abc import Set
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

import pytest

from platform_bed import Answer, PlatformBed, until
from platform_documents import make_job, texts, whole_texts


_EDGES = ("edge-0", "edge-1", "edge-2")
_READERS = 50
_ITEMS = 60
#: Longest time of the whole load, in seconds.
_LIMIT = 60.0


@pytest.fixture
def three_edges(tmp_path):
    """
    Three edges, two model engines, two instances of a plain service.
    """
    with PlatformBed.open(tmp_path, edges=3) as bed:
        yield bed


def _read_all(bed: PlatformBed, first: int, until_time: float) -> tuple[list[str], int]:
    """
    Read a job from position 0 to its end, each page at the next edge; return its
    results as JSON, and the number of calls that were refused or not answered.

    Fails at any answer but a page that starts at the position, or 503.
    """
    seen: list[str] = []
    refused = 0
    for edge in itertools.islice(itertools.cycle(_EDGES), first, None):
        assert time.monotonic() < until_time, f"{len(seen)} results read in time"
        answer = _read(bed, edge, len(seen), {"edge-0", "edge-1"})
        if answer is None or answer.status == 503:
            refused += 1
            time.sleep(0.2)
            continue
        assert answer.status == 200, (edge, answer)
        page = answer.media
        assert page["total"] == _ITEMS
        assert page["next_token"] == len(seen) + len(page["results"])
        seen += [json.dumps(result, sort_keys=True) for result in page["results"]]
        if len(seen) == _ITEMS:
            return seen, refused
        time.sleep(0.1)
    raise AssertionError


def _read(
    bed: PlatformBed, edge: str, position: int, killed: Set[str]
) -> Answer | None:
    """
    Return an edge's answer; None if one of the killed edges did not answer, or was
    killed between the headers and the body of its answer.
    """
    path = f"/v1/lots/job-1?since_rev={position}"
    try:
        return bed.ask("GET", path, edge=edge, Saddledoor_Wait_Ms="200")
    except (OSError, HTTPException):
        if edge not in killed:
            raise
        return None


def _restart(bed: PlatformBed, edge: str) -> None:
    bed.signal(edge, signal.SIGKILL)
    bed.wait_end(edge)
    bed.start_edge(edge)


def test_fifty_readers_agree_while_the_store_is_cut_off_and_an_edge_restarts(
    three_edges,
):
    """
    Guards against positions that differ between edges or go back, 404 for a job that an
    edge has not read yet, and an end or a submission that edges answer differently.
    """
    for engine in ("engine-0", "engine-1"):
        three_edges.fake_engine(engine, pace=0.05)
    job = make_job(_ITEMS)
    assert three_edges.submit("job-1", job).status == 202
    until_time = time.monotonic() + _LIMIT
    with ThreadPoolExecutor(_READERS) as pool:
        readers = [
            pool.submit(_read_all, three_edges, n % len(_EDGES), until_time)
            for n in range(_READERS)
        ]
        for mode, edge in (("busy", "edge-0"), ("silent", "edge-1"), ("reset", "")):
            time.sleep(0.5)
            three_edges.fake_store(mode=mode)
            if edge:
                _restart(three_edges, edge)
            time.sleep(0.8)
            three_edges.fake_store(mode="ok")
        done = [reader.result() for reader in readers]
    # Otherwise the job was read before the store was cut off.
    assert all(refused for _, refused in done)
    seen = [results for results, _ in done]
    assert all(results == seen[0] for results in seen)
    assert texts(list(map(json.loads, seen[0]))) == whole_texts(_ITEMS)
    for edge in _EDGES:
        until(lambda edge=edge: three_edges.ready(edge), 20.0)
    for edge in _EDGES * 2:
        assert three_edges.submit("job-1", job, edge).status == 202
        assert three_edges.ask("DELETE", "/v1/lots/job-1", edge=edge).status == 200
    for edge in _EDGES:
        again = three_edges.results("job-1", edge)
        assert [json.dumps(r, sort_keys=True) for r in again] == seen[0]


def test_an_edge_without_the_store_answers_what_it_has_read(three_edges):
    """
    Guards against 503 for results and the end of a job that an edge knows, against an
    answer at a restarted edge that knows nothing, and against items that were given up
    at one edge only.
    """
    for engine in ("engine-0", "engine-1"):
        three_edges.fake_engine(engine, fail=422)
    assert three_edges.submit("job-1", make_job(2)).status == 202
    results = three_edges.finished("job-1", 2, "edge-1")
    assert [result["state"] for result in results] == ["dead"] * 2
    assert all(three_edges.results("job-1", edge) == results for edge in _EDGES)
    three_edges.fake_store(mode="silent")
    _restart(three_edges, "edge-2")
    assert three_edges.results("job-1", "edge-0") == results
    end = three_edges.ask("GET", "/v1/lots/job-1?since_rev=2", edge="edge-1")
    assert end.media == {"total": 2, "next_token": 2, "results": []}
    until(lambda: _read(three_edges, "edge-2", 0, {"edge-2"}))
    answer = _read(three_edges, "edge-2", 0, {"edge-2"})
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    three_edges.fake_store(mode="ok")
    until(lambda: three_edges.results("job-1", "edge-2") == results)
