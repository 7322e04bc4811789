# SPDX-License-Identifier: MIT

"""
Poison requests: requests that crash each engine that runs them, sent to every edge.

Guards against one such request crashing a service's engines again and again because
each edge learns about it only from its own attempts.
"""

from __future__ import annotations

import contextlib
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from crash_beds import crashing_runs, restarting

from platform_bed import Answer, PlatformBed, until
from standin_engine import CRASHING


#: Time after the third crash from which further runs count as late, in seconds.
_KNOWN_WITHIN = 1.5
#: Maximum number of late runs.
_MORE = 3
_SERVICE = [f"desk-{index}" for index in range(4)]


@pytest.fixture
def crash_bed(tmp_path):
    """
    Three edges, three model engines and four service instances that are restarted.
    """
    with PlatformBed.open(tmp_path, edges=3, engines=3) as bed:
        bed.start_engine("desk-2", "desk")
        bed.start_engine("desk-3", "desk")
        with restarting(bed):
            yield bed


def _late_runs(runs: list[float]) -> list[float]:
    return [at for at in runs[3:] if at > runs[2] + _KNOWN_WITHIN]


def _send_crashing(bed: PlatformBed, seconds: float, target: str = "/look/x") -> None:
    """
    Send a poison request to the edges in turn, each time with a new id.
    """
    ends_at = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends_at:
        edge = f"edge-{number % len(bed.front_ports)}"
        with contextlib.suppress(OSError):
            bed.ask("POST", target, CRASHING, f"c-{time.monotonic_ns()}", edge)
        number += 1
        time.sleep(0.1)


def _send_others(bed: PlatformBed, seconds: float) -> list[Answer]:
    """
    Send other requests with the same path, each with a different body.
    """
    answers = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        number = len(answers)
        edge = f"edge-{number % len(bed.front_ports)}"
        body = f"other {number}".encode()
        answers.append(bed.ask("POST", "/look/x", body, f"o-{number}", edge))
        time.sleep(0.05)
    return answers


@pytest.mark.parametrize("target", ["/look/x", "/book/x"])
def test_a_request_that_ends_engines_is_kept_from_them(crash_bed, target):
    """
    Every edge quarantines it soon after the third crash; others are still served.
    """
    _send_crashing(crash_bed, 4.0, target)
    with ThreadPoolExecutor(1) as pool:
        others = pool.submit(_send_others, crash_bed, 4.0)
        _send_crashing(crash_bed, 4.0, target)
    runs = crashing_runs(crash_bed, _SERVICE)
    assert len(runs) >= 3
    assert len(_late_runs(runs)) <= _MORE
    assert [answer.status for answer in others.result()].count(200) > 30
    assert {answer.status for answer in others.result()} == {200}


def test_it_is_kept_from_engines_after_the_loss_of_all_edges(crash_bed):
    """
    The quarantine survives a restart of all edges.
    """
    _send_crashing(crash_bed, 4.0)
    before = len(crashing_runs(crash_bed, _SERVICE))
    assert before >= 3
    for name in crash_bed.front_ports:
        crash_bed.signal(name, signal.SIGKILL)
        crash_bed.wait_end(name)
        crash_bed.start_edge(name)
    for name in crash_bed.front_ports:
        until(lambda name=name: crash_bed.ready(name))
    _send_crashing(crash_bed, 3.0)
    assert len(crashing_runs(crash_bed, _SERVICE)) - before <= 1


def test_it_is_kept_from_engines_while_the_store_is_silent(crash_bed):
    """
    Edges that knew of it before the outage keep it quarantined.
    """
    _send_crashing(crash_bed, 4.0)
    before = len(crashing_runs(crash_bed, _SERVICE))
    assert before >= 3
    crash_bed.fake_store(mode="silent")
    _send_crashing(crash_bed, 3.0)
    assert len(crashing_runs(crash_bed, _SERVICE)) == before


def test_an_edge_that_stood_still_asks_before_it_sends(crash_bed):
    """
    The crashes happened during its pause; it reads them before it forwards a request.
    """
    crash_bed.signal("edge-2", signal.SIGSTOP)
    ends_at = time.monotonic() + 4.0
    number = 0
    while time.monotonic() < ends_at:
        edge = f"edge-{number % 2}"
        crash_bed.ask("POST", "/look/x", CRASHING, f"c-{number}", edge)
        number += 1
        time.sleep(0.1)
    before = len(crashing_runs(crash_bed, _SERVICE))
    assert before >= 3
    until(lambda: all(map(crash_bed.is_running, _SERVICE)))
    time.sleep(1.0)
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(
            crash_bed.ask, "POST", "/look/x", CRASHING, "c-last", "edge-2"
        )
        time.sleep(0.2)
        crash_bed.signal("edge-2", signal.SIGCONT)
        assert asked.result().status == 503
    assert len(crashing_runs(crash_bed, _SERVICE)) == before


def test_a_request_that_was_only_there_is_served(crash_bed):
    """
    Running at an engine that crashes for another reason must not quarantine a request.
    """
    for name in _SERVICE:
        crash_bed.fake_engine(name, delay=0.1)
    with ThreadPoolExecutor(4) as pool:
        crashing = pool.submit(_send_crashing, crash_bed, 3.0)
        steady = [
            pool.submit(_send_steady, crash_bed, 5.0, f"edge-{index}")
            for index in range(3)
        ]
        crashing.result()
    assert len(crashing_runs(crash_bed, _SERVICE)) >= 3
    for answers in (one.result() for one in steady):
        assert not [answer for answer in answers if answer.body.startswith(b"209")]
        assert {answer.status for answer in answers[-5:]} == {200}


def _send_steady(bed: PlatformBed, seconds: float, edge: str) -> list[Answer]:
    """
    Send the same harmless request repeatedly.
    """
    answers = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        name = f"{edge}-{len(answers)}"
        answers.append(bed.ask("POST", "/look/x", b"steady", name, edge))
    return answers


def test_what_was_seen_without_the_store_is_told_once_it_is_back(crash_bed):
    """
    During the outage each edge quarantines by what it has seen itself.
    """
    crash_bed.fake_store(mode="busy")
    _send_crashing(crash_bed, 5.0)
    crash_bed.fake_store(mode="ok")
    time.sleep(_KNOWN_WITHIN)
    before = len(crashing_runs(crash_bed, _SERVICE))
    assert before >= 3
    _send_crashing(crash_bed, 3.0)
    assert len(crashing_runs(crash_bed, _SERVICE)) - before <= _MORE
