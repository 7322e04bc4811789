# SPDX-License-Identifier: MIT

"""
Both errors of the quarantine, with processes: a request that causes no crash is
withheld for too long, or one that crashes engines reaches too many.
"""

from __future__ import annotations

import base64
import contextlib
import itertools
import signal
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from crash_beds import crashing_runs, restarting, runs_of

from platform_bed import PlatformBed, until
from platform_documents import make_job
from standin_engine import CRASHING, PACED


#: Time without a disruption from which the deployment is in steady state, in seconds.
_CONTACT = 3.0
#: Longest time of steady state that a request may be at no engine, in seconds.
_WITHHELD = 5.0
#: Crashes that prove a request to be poison, and retries that may follow.
_CRASHES, _RETRIES = 3, 3
#: Time from the third crash until all retries have been made, in seconds.
_ALL_RETRIES = 18.0
#: Number of crashes under a request that causes them.
_MANY_CRASHES = 12
_DESKS = [f"desk-{index}" for index in range(6)]
_ENGINES = [f"engine-{index}" for index in range(6)]


@pytest.fixture
def crash_bed(tmp_path):
    """
    Three edges, six model engines and six service instances that are restarted.
    """
    with PlatformBed.open(tmp_path, edges=3, engines=6) as bed:
        for name in _DESKS[2:]:
            bed.start_engine(name, "desk")
        with restarting(bed):
            yield bed


@pytest.mark.parametrize(
    ("kills", "after", "pace"),
    [
        (3, 0.5, 1.0),
        (5, 0.1, 1.0),
        (7, 0.5, 1.0),
        (6, 0.05, 0.6),
        (10, 0.3, 1.0),
        (20, 0.05, 1.0),
        (6, 0.9, 1.0),
    ],
)
def test_an_item_that_was_only_there_reaches_an_engine_again(
    tmp_path, kills, after, pace
):
    """
    After six crashes soon after its starts an item was never placed again, although the
    engines had room.

    :param after: Time from the item's start to the crash of its engine, in seconds.
    :param pace: Time to its first event, in seconds.
    """
    with PlatformBed.open(tmp_path, edges=2, engines=6) as bed, restarting(bed):
        _crash_under_item(bed, kills, after, pace)
        _run(bed, "item-0", kills)
        (result,) = bed.finished("job-1", 1)
        assert result["state"] == "completed"


def test_an_item_reaches_an_engine_again_after_a_restart_of_all_edges(tmp_path):
    """
    Seven crashes soon after its starts are in the log, then all edges restart.
    """
    with PlatformBed.open(tmp_path, edges=3, engines=6) as bed, restarting(bed):
        _crash_under_item(bed, 7, 0.05, 0.6)
        for name in bed.front_ports:
            bed.signal(name, signal.SIGKILL)
            bed.wait_end(name)
        runs = len(runs_of(bed, "item-0"))
        for name in bed.front_ports:
            bed.start_edge(name)
        _run(bed, "item-0", runs)
        (result,) = bed.finished("job-1", 1)
        assert result["state"] == "completed"


def _crash_under_item(bed: PlatformBed, kills: int, after: float, pace: float) -> None:
    """
    Submit a job with one item, and crash its engine several times.

    :param after: Time from the item's start to the crash, in seconds.
    :param pace: Time between two events of an engine, in seconds.
    """
    job = make_job(1)
    body = PACED + str(pace).encode()
    job["requests"][0]["body"] = base64.b64encode(body).decode()
    assert bed.submit("job-1", job).status == 202
    for number in range(kills):
        run = _run(bed, "item-0", number)
        time.sleep(max(0.0, run["at"] + after - time.monotonic()))
        bed.signal(run["engine"], signal.SIGKILL)
        bed.wait_end(run["engine"])


def _run(bed: PlatformBed, request_id: str, number: int) -> dict:
    """
    Wait for a run of a request, for no longer than it may be withheld.
    """
    runs = until(lambda: runs_of(bed, request_id)[number:], _CONTACT + _WITHHELD)
    return runs[0]


def test_a_withheld_item_reaches_an_engine_in_the_next_job(tmp_path):
    """
    Its group comes again under the same ids, after the crashes.
    """
    with PlatformBed.open(tmp_path, edges=2, engines=6) as bed:
        for name in bed.engine_ports:
            bed.fake_engine(name, pace=1.0, events=3)
        assert bed.submit("job-1", make_job(1)).status == 202
        for number in range(4):
            engine = _run(bed, "item-0", number)["engine"]
            time.sleep(0.1)
            bed.signal(engine, signal.SIGKILL)
            bed.wait_end(engine)
        bed.ask("DELETE", "/v1/lots/job-1")
        assert bed.submit("job-2", make_job(1, step=2)).status == 202
        _run(bed, "item-0", 4)
        (result,) = bed.finished("job-2", 1)
        assert result["state"] == "completed"


@pytest.mark.parametrize("target", ["/look/x", "/book/x"])
def test_a_request_that_was_only_there_is_served_again(tmp_path, target):
    """
    Its instances end before they answer; then they stay.
    """
    with PlatformBed.open(tmp_path, edges=2) as bed:
        for name in _DESKS[2:]:
            bed.start_engine(name, "desk")
        for name in _DESKS:
            bed.fake_engine(name, delay=0.3)
        with _sending(bed, target, b"steady") as answers:
            for number in range(4):
                at = until(lambda n=number: _live_run(bed, b"steady", n), 8.0)
                bed.signal(at, signal.SIGKILL)
                bed.wait_end(at)
            answers.clear()
            until(lambda: 200 in answers, _CONTACT + _WITHHELD)


def _live_run(bed: PlatformBed, body: bytes, _: int) -> str | None:
    """
    Return an instance that runs a request.
    """
    for name in _DESKS:
        if not bed.is_running(name):
            continue
        with contextlib.suppress(OSError):
            runs = bed.fake_engine(name)["runs"]
            if any(
                r["body"] == body.decode() and r["ended"] == "running" for r in runs
            ):
                return name
    return None


@pytest.mark.parametrize("target", ["/look/x", "/book/x"])
def test_a_request_that_crashes_engines_ends_three(crash_bed, target):
    """
    Sent to all edges at once, it ended one engine for each edge after the second crash.
    """
    with _sending(crash_bed, target, CRASHING):
        _check_crashes(crash_bed, _DESKS)


def test_an_item_under_which_every_engine_crashes_is_owed(crash_bed):
    """
    Items never crash engines by themselves, so it is placed again and again until its
    job ends; the other items are completed.
    """
    job = make_job()
    job["requests"][0]["body"] = base64.b64encode(CRASHING).decode()
    assert crash_bed.submit("job-1", job).status == 202
    _check_owed(crash_bed, _ENGINES)
    crash_bed.ask("DELETE", "/v1/lots/job-1")
    time.sleep(_CONTACT)
    runs = len(crashing_runs(crash_bed, _ENGINES))
    time.sleep(1.0)
    assert len(crashing_runs(crash_bed, _ENGINES)) == runs


def test_a_scoring_call_under_which_every_instance_crashes_is_owed(crash_bed):
    """
    It is part of an item; the other items are completed.
    """
    job = make_job()
    job["requests"][0]["scorer"]["body"] = base64.b64encode(CRASHING).decode()
    assert crash_bed.submit("job-1", job).status == 202
    _check_owed(crash_bed, _DESKS)


def _check_owed(bed: PlatformBed, names: list[str]) -> None:
    """
    Check that a request reaches engines for as long as they crash, with no gap of 5 s,
    and that the other items of its job are completed.
    """
    until(lambda: len(bed.results("job-1")) == 5, 20.0)
    assert {result["state"] for result in bed.results("job-1")} == {"completed"}
    until(lambda: len(crashing_runs(bed, names)) >= _MANY_CRASHES, 40.0)
    runs = crashing_runs(bed, names)
    assert max(b - a for a, b in itertools.pairwise(runs)) < _WITHHELD


def test_a_request_that_crashes_engines_ends_three_beside_restarts(crash_bed):
    """
    All edges are killed after the third crash, and once more after a retry.
    """
    with _sending(crash_bed, "/look/x", CRASHING):
        for crashes in (_CRASHES, _CRASHES + 1):
            until(lambda n=crashes: len(crashing_runs(crash_bed, _DESKS)) >= n, 20.0)
            time.sleep(1.0)
            for name in crash_bed.front_ports:
                crash_bed.signal(name, signal.SIGKILL)
                crash_bed.wait_end(name)
                crash_bed.start_edge(name)
        _check_crashes(crash_bed, _DESKS)


def _check_crashes(bed: PlatformBed, names: list[str]) -> None:
    """
    Check that a poison request ends three engines, and reaches three more in retries.
    """
    until(lambda: len(crashing_runs(bed, names)) >= _CRASHES)
    third = crashing_runs(bed, names)[_CRASHES - 1]
    time.sleep(max(0.0, third + _ALL_RETRIES - time.monotonic()))
    runs = crashing_runs(bed, names)
    assert len([at for at in runs if at <= third + _CONTACT]) == _CRASHES
    assert len(runs) <= _CRASHES + _RETRIES


@contextlib.contextmanager
def _sending(bed: PlatformBed, target: str, body: bytes) -> Iterator[list[int]]:
    """
    Send a request again and again, first to one edge, then to all of them at once; the
    statuses of the answers are collected.
    """
    ended, statuses = threading.Event(), []

    def send(edge: str) -> None:
        while not ended.wait(0.1):
            name = f"{edge}-{time.monotonic_ns()}"
            with contextlib.suppress(OSError):
                statuses.append(bed.ask("POST", target, body, name, edge).status)

    edges = list(bed.front_ports)
    with ThreadPoolExecutor(len(edges)) as pool:
        with contextlib.suppress(OSError):
            statuses.append(bed.ask("POST", target, body, "first", edges[0]).status)
        for edge in edges:
            pool.submit(send, edge)
        try:
            yield statuses
        finally:
            ended.set()
