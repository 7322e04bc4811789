# SPDX-License-Identifier: MIT

"""
Servers that send bytes without end, in a head or a body, to edges that are processes.

Guards against one such server that stops an edge, or takes all of its memory.
"""

from __future__ import annotations

import contextlib
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from standin_pour import ITEM_WAYS, PLAIN_WAYS

from platform_bed import PlatformBed
from platform_documents import MODEL, make_config, make_job


#: Time for which each way is played, and the interval of look-ups, in seconds.
_LENGTH, _INTERVAL = 1.5, 0.02
#: Longest time of a look-up, in seconds, and the share of its route's timeout within
#: which a server that pours must be given up.
_SLOWEST = 1.0
_TIMEOUT = 2.0
#: Additional memory that an edge may take, in MB.
_MEMORY = 32.0


@pytest.fixture
def bed(tmp_path):
    """
    Two edges; half of the instances of the plain service pour.
    """
    with PlatformBed.open(tmp_path, edges=2) as bed:
        for name in ("pour-0", "pour-1"):
            bed.start_pour(name, "desk")
        yield bed


def _look_up(bed: PlatformBed, number: int) -> tuple[int, float]:
    """
    Return the status of a look-up and its time, in seconds.
    """
    edge = f"edge-{number % 2}"
    started_at = time.monotonic()
    status = 0
    with contextlib.suppress(OSError):
        answer = bed.ask("POST", "/look/x", b"x", f"r-{number}", edge, timeout=3.0)
        status = answer.status
    return status, time.monotonic() - started_at


def _play(bed: PlatformBed, first: int) -> list[tuple[int, float]]:
    """
    Send look-ups for some time; return the statuses and times.
    """
    with ThreadPoolExecutor(32) as pool:
        count = int(_LENGTH / _INTERVAL)
        answers = []
        for number in range(first, first + count):
            answers.append(pool.submit(_look_up, bed, number))
            time.sleep(_INTERVAL)
        return [answer.result() for answer in answers]


@pytest.mark.parametrize("pause", [0.0, 0.05], ids=["fast", "slow"])
def test_look_ups_are_served_beside_servers_that_pour(bed, pause):
    """
    Interim responses without end stopped whole edges, and bodies took all memory.
    """
    _play(bed, 0)
    before = {edge: bed.peak_memory(edge) for edge in bed.front_ports}
    wrong = {}
    for index, way in enumerate(PLAIN_WAYS):
        for name in bed.pour_ports:
            bed.fake_pour(name, way=way, pause=pause)
        answers = _play(bed, 1000 * (index + 1))
        closed_after = [
            seconds
            for name in bed.pour_ports
            for seconds in bed.fake_pour(name)["closed_after"]
        ]
        failed = [status for status, _ in answers if status != 200]
        slowest = max(seconds for _, seconds in answers)
        longest = max(closed_after, default=0.0)
        if failed or (slowest > _SLOWEST and not pause) or longest > _TIMEOUT + 0.5:
            wrong[way] = (failed, slowest, longest)
    assert wrong == {}
    for edge, size in before.items():
        assert bed.peak_memory(edge) - size <= _MEMORY


@pytest.fixture
def item_bed(tmp_path):
    """
    Two edges; one of two model engines pours.
    """
    with PlatformBed.open(tmp_path, edges=2, engines=1) as bed:
        bed.start_pour("pour-0", "pool", MODEL)
        yield bed


def test_items_and_look_ups_are_served_beside_an_engine_that_pours(item_bed):
    """
    Empty lines without end stopped both edges until the engine gave up.
    """
    bed = item_bed
    _play(bed, 0)
    before = {edge: bed.peak_memory(edge) for edge in bed.front_ports}
    wrong = {}
    for index, way in enumerate(ITEM_WAYS):
        bed.fake_pour("pour-0", way=way, items=True)
        job = make_job(6)
        for item in job["requests"]:
            item["id"] = f"{index}-{item['id']}"
            item["scorer"]["id"] = f"{index}-{item['scorer']['id']}"
        assert bed.submit(f"job-{index}", job).status == 202
        answers = _play(bed, 1000 * (index + 1))
        results = bed.finished(f"job-{index}", 6)
        failed = [status for status, _ in answers if status != 200]
        slowest = max(seconds for _, seconds in answers)
        states = {result["state"] for result in results}
        if failed or slowest > _SLOWEST or states != {"completed"}:
            wrong[way] = (failed, slowest, states)
    assert wrong == {}
    for edge, size in before.items():
        assert bed.peak_memory(edge) - size <= _MEMORY


def test_a_scoring_service_that_pours_delays_no_item_for_long(bed):
    """
    Its calls are sent to another instance.
    """
    for name in bed.pour_ports:
        bed.fake_pour(name, way="continue")
    assert bed.submit("job-1", make_job()).status == 202
    results = bed.finished("job-1", 6)
    assert {result["state"] for result in results} == {"completed"}


def test_reports_and_answers_to_orders_without_end_stop_no_edge(item_bed):
    """
    The engine that pours is asked for its state before each order.
    """
    bed = item_bed
    for version, way in enumerate(("continue", "chunked", "length"), 2):
        bed.fake_pour("pour-0", way=way)
        bed.name_version(version)
        job = make_job(1, min_version=version)
        job["requests"][0]["id"] = f"needs-{version}"
        job["requests"][0]["scorer"]["id"] = f"scores-{version}"
        assert bed.submit(f"job-{version}", job).status == 202
        answers = _play(bed, 1000 * version)
        assert {status for status, _ in answers} == {200}
        (result,) = bed.finished(f"job-{version}", 1)
        assert result["versions"] == [version]


@pytest.mark.parametrize("size", [100_000, 8_000_000, 33_554_432])
def test_a_long_answer_is_passed_on_whole(tmp_path, size):
    """
    Guards against a limit below the largest legal body.
    """
    config = make_config()
    for route in config["routes"]:
        route["timeout_ms"] = 20_000
    with PlatformBed.open(tmp_path, config=config) as bed:
        for name in ("desk-0", "desk-1"):
            bed.fake_engine(name, answer_size=size)
        answer = bed.ask("POST", "/look/x", b"x", "r-1", timeout=30.0)
        assert (answer.status, len(answer.body)) == (200, size)
