# SPDX-License-Identifier: MIT

"""
Usage reports of edges: one report per window, from one lease holder, with exact counts.
"""

from __future__ import annotations

import contextlib
import signal
import time
from collections import Counter
from datetime import datetime

import pytest

from platform_bed import PlatformBed, until
from platform_documents import make_config, make_job


_KEYS = {"red": "red-1", "blue": "blue-1"}
_TENANTS = [{"name": name, "api_keys": [key]} for name, key in _KEYS.items()]


@pytest.fixture
def bed(tmp_path):
    """
    Three edges that report usage in windows of 1 s, decided 2 s after their end.
    """
    with PlatformBed.open(tmp_path, edges=3, duties=True) as bed:
        bed.configure(make_config(2, tenants=_TENANTS))
        for edge in bed.front_ports:
            until(lambda edge=edge: _look(bed, "red", "r", edge) == 200)
        # What was asked before is reported by now.
        until(lambda: bed.fake_duties()["reports"])
        time.sleep(3.5)
        yield bed


def _look(bed: PlatformBed, workspace: str, name: str, edge: str = "edge-0") -> int:
    headers = {"Saddledoor_Key": _KEYS[workspace]}
    return bed.ask("POST", "/look/x", b"b", name, edge, **headers).status


def _ask_all(bed: PlatformBed, count: int = 12) -> Counter:
    """
    Send requests to all edges; return their numbers by workspace.
    """
    edges = [name for name in bed.front_ports if bed.is_running(name)]
    for index in range(count):
        workspace = "blue" if index % 3 == 0 else "red"
        assert _look(bed, workspace, f"r-{index}", edges[index % len(edges)]) == 200
    return Counter("blue" if index % 3 == 0 else "red" for index in range(count))


def _reported(bed: PlatformBed, since: float) -> Counter:
    """
    Return the reported counts of the windows that ended after a time, by workspace.
    """
    windows = {
        report["window_no"]: report["counts"]
        for report in bed.fake_duties()["reports"]
        if report["window_no"] + 1 > since
    }
    total: Counter = Counter()
    for counts in windows.values():
        total.update(counts)
    return total


def _check_calls(bed: PlatformBed) -> None:
    """
    Check that no window has two different reports and no fencing number two holders.
    """
    calls = bed.fake_duties()["calls"]
    counts: dict[int, dict] = {}
    holders: dict[int, str] = {}
    for call in calls:
        assert counts.setdefault(call["window_no"], call["counts"]) == call["counts"]
        assert holders.setdefault(call["fence"], call["holder"]) == call["holder"]


def _holder(bed: PlatformBed) -> str:
    return bed.fake_duties()["calls"][-1]["holder"]


def test_each_window_has_one_report_of_what_engines_began(bed):
    """
    It counts requests at all edges, but no items, scoring calls or refusals.
    """
    since = time.time()
    key = {"Saddledoor_Key": "red-1"}
    assert bed.submit("job-1", make_job(4), **key).status == 202
    bed.finished("job-1", 4, **key)
    assert bed.ask("POST", "/look/x", b"b", "r-x", Saddledoor_Key="no").status == 401
    asked = _ask_all(bed)
    until(lambda: sum(_reported(bed, since).values()) >= sum(asked.values()))
    time.sleep(1.2)
    assert _reported(bed, since) == asked
    _check_calls(bed)
    windows = [call["window_no"] for call in bed.fake_duties()["reports"]]
    assert windows == list(range(windows[0], windows[-1] + 1))
    late = [c["at"] - (c["window_no"] + 1) for c in bed.fake_duties()["reports"]]
    # The first ones were made up for when the first holder took the duty.
    assert max(late[5:]) < 4.0


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_a_call_without_an_answer_is_repeated_as_it_was(bed, fault):
    """
    Its outcome is unknown: it may have been carried out, or may be later.
    """
    since = time.time()
    bed.fake_duties(**{fault: 2})
    asked = _ask_all(bed)
    until(lambda: sum(_reported(bed, since).values()) >= sum(asked.values()))
    assert _reported(bed, since) == asked
    time.sleep(2.2)
    _check_calls(bed)


def test_the_next_holder_goes_on_where_a_killed_one_was(bed):
    """
    The holder is killed after its decision, before the platform answers.
    """
    since = time.time()
    asked = _ask_all(bed)
    bed.fake_duties(mode="mute")
    until(lambda: any(c["counts"] for c in _calls_since(bed, since)))
    first = _holder(bed)
    bed.signal(first, signal.SIGKILL)
    bed.wait_end(first)
    bed.fake_duties(mode="ok")
    until(lambda: sum(_reported(bed, since).values()) >= sum(asked.values()))
    assert _holder(bed) != first
    assert _reported(bed, since) == asked
    _check_calls(bed)


def _calls_since(bed: PlatformBed, since: float) -> list[dict]:
    return [c for c in bed.fake_duties()["calls"] if c["window_no"] + 1 > since]


def test_a_frozen_holder_says_nothing_once_another_has_the_duty(bed):
    """
    This includes reports that it decided on before: its lease has expired.
    """
    since = time.time()
    until(lambda: _calls_since(bed, since))
    first = _holder(bed)
    bed.signal(first, signal.SIGSTOP)
    until(lambda: _holder(bed) != first)
    bed.signal(first, signal.SIGCONT)
    thawed = time.time()
    time.sleep(1.5)
    later = [c for c in bed.fake_duties()["calls"] if c["at"] > thawed]
    assert later
    assert first not in {call["holder"] for call in later}
    _check_calls(bed)


def test_a_planned_stop_leaves_counts_and_duty_to_the_others(bed):
    """
    The others report the stopping edge's requests up to its end, and acquire the lease
    without waiting for its term of 1 s.
    """
    since = time.time()
    asked = _ask_all(bed)
    first = _holder(bed)
    bed.signal(first, signal.SIGTERM)
    number = 0
    while bed.is_running(first):
        with contextlib.suppress(OSError):
            asked["red"] += _look(bed, "red", f"s-{number}", first) == 200
        number += 1
    assert bed.wait_end(first) == 0
    until(lambda: sum(_reported(bed, since).values()) >= sum(asked.values()))
    assert _reported(bed, since) == asked
    _check_calls(bed)
    (released,) = _duty_lines(bed, first, "duty_released")
    taken = [
        line
        for edge in bed.front_ports
        for line in _duty_lines(bed, edge, "duty_taken")
        if line["fence"] > released["fence"]
    ]
    times = [datetime.fromisoformat(line["timestamp"]) for line in (released, taken[0])]
    assert (times[1] - times[0]).total_seconds() < 0.6


def _duty_lines(bed: PlatformBed, edge: str, event: str) -> list[dict]:
    lines = [line for line in bed.log(edge) if line["event"] == event]
    return [line for line in lines if line["duty"] == "usage"]


def test_without_the_platforms_interface_nobody_counts_or_takes_the_duty(tmp_path):
    """
    Usage is neither counted nor reported, and no lease is acquired.
    """
    with PlatformBed.open(tmp_path) as bed:
        bed.configure(make_config(2, tenants=_TENANTS))
        until(lambda: _look(bed, "red", "r") == 200)
        time.sleep(1.0)
        taken = [e for e in bed.log("edge-0") if e["event"] == "duty_taken"]
        assert [line["duty"] for line in taken] == ["orders"]
        assert "usage" not in bed.fake_store()["ends"]
