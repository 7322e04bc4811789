# SPDX-License-Identifier: MIT

"""
Orders for engines: one holder at a time, only where configuration and settings ask.
"""

from __future__ import annotations

import copy
import signal
import time

import pytest
from click.testing import CliRunner

from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_config, make_job, texts, whole_texts
from saddledoorctl._status import status


_SCALING = {
    "min": 1,
    "max": 6,
    "boot_s": 1.0,
    "spot_price": 0.18,
    "zone_prices": {"dc-a": 1.0, "dc-b": 0.8, "dc-c": 1.25},
}


def _config(version: int = 2) -> dict:
    config = copy.deepcopy(make_config(version))
    config["services"][1]["scaling"] = _SCALING
    return config


@pytest.fixture
def bed(tmp_path):
    """
    Three edges that order engines, and two engines in one data centre.
    """
    with PlatformBed.open(tmp_path, edges=3, duties=True, config=_config()) as bed:
        yield bed


def _orders(bed: PlatformBed) -> list[dict]:
    return bed.fake_duties()["orders"]


def _taken(bed: PlatformBed) -> list[dict]:
    lines = [
        line
        for edge in bed.front_ports
        for line in bed.log(edge)
        if line["event"] == "duty_taken" and line["duty"] == "scale"
    ]
    return sorted(lines, key=lambda line: line["fence"])


def _check_orders(bed: PlatformBed) -> None:
    """
    Check that each fencing number has one holder, and that none follows a higher one.
    """
    holders: dict[int, str] = {}
    orders = _orders(bed)
    for order in orders:
        assert holders.setdefault(order["fence"], order["holder"]) == order["holder"]
    fences = [order["fence"] for order in orders]
    assert fences == sorted(fences)


def _ordered(bed: PlatformBed) -> set[tuple[str, int]]:
    return {(order["zone"], order["desired"]) for order in _orders(bed)}


def test_engines_below_the_least_number_are_ordered_until_they_are_seen(bed):
    """
    Guards against an order that is sent once and lost, and against orders that go on
    after the engines have come.
    """
    until(lambda: {("dc-b", 1), ("dc-c", 1)} <= _ordered(bed), 15.0)
    count = len(_orders(bed))
    until(lambda: len(_orders(bed)) > count, 10.0)
    for name, zone in (("engine-b", "dc-b"), ("engine-c", "dc-c")):
        bed.put_entry(name, "pool", 1, MODEL, zone=zone)
    time.sleep(1.5)
    count = len(_orders(bed))
    time.sleep(4.0)
    assert len(_orders(bed)) == count
    # The engines in the first data centre are above the least number and stay.
    assert not [order for order in _orders(bed) if order["zone"] == "dc-a"]
    _check_orders(bed)


def test_a_killed_or_frozen_holder_is_replaced_under_a_higher_fence(bed):
    """
    Guards against two holders that order at the same time.
    """
    until(lambda: _orders(bed), 15.0)
    first = _orders(bed)[-1]["holder"]
    bed.signal(first, signal.SIGSTOP)
    until(lambda: _orders(bed)[-1]["holder"] != first, 15.0)
    second = _orders(bed)[-1]["holder"]
    bed.signal(first, signal.SIGCONT)
    bed.signal(second, signal.SIGKILL)
    until(lambda: _orders(bed)[-1]["holder"] != second, 15.0)
    _check_orders(bed)


def test_a_data_centre_without_an_engine_is_tried_again_with_pauses(bed):
    """
    Guards against an order repeated without end, and against a holder that gives up its
    lease because a data centre has no engine.
    """
    bed.fake_duties(refused=["dc-b"])

    def refused_at() -> list[float]:
        """
        Return the times of the refusals of the holder that has most of them.
        """
        by_holder: dict[str, list[float]] = {}
        for order in _orders(bed):
            if order["status"] == 409:
                by_holder.setdefault(order["holder"], []).append(order["at"])
        return max(by_holder.values(), key=len, default=[])

    until(lambda: len(refused_at()) >= 3, 40.0)
    times = refused_at()
    assert times[1] - times[0] > 1.9
    assert times[2] - times[1] > 3.9
    events = [line["event"] for edge in bed.front_ports for line in bed.log(edge)]
    assert "duty_fenced" not in events
    assert ("dc-c", 1) in _ordered(bed)


def test_nothing_is_ordered_while_the_store_is_away(bed):
    """
    Guards against orders from an outdated picture, and against replacing engines whose
    entries lapsed during the outage.
    """
    until(lambda: _orders(bed), 20.0)
    bed.fake_store(mode="busy")
    # The lease lapses and the last call ends.
    time.sleep(2.0)
    count = len(_orders(bed))
    bed.remove_entry("engine-0")
    time.sleep(5.0)
    assert len(_orders(bed)) == count
    bed.fake_store(mode="ok")
    bed.put_entry("engine-0", "pool", bed.engine_ports["engine-0"], MODEL)
    until(lambda: len(_orders(bed)) > count, 20.0)
    assert not [order for order in _orders(bed) if order["zone"] == "dc-a"]
    _check_orders(bed)


def test_the_lease_is_left_while_the_platform_refuses_calls(bed):
    """
    Guards against a holder that keeps the lease although it cannot reach the platform.
    """
    until(lambda: _orders(bed), 15.0)
    bed.fake_duties(scale_mode="busy")
    until(lambda: len({line["fence"] for line in _taken(bed)}) > 1, 20.0)
    bed.fake_duties(scale_mode="ok")
    until(lambda: _orders(bed)[-1]["status"] == 200, 15.0)
    _check_orders(bed)


@pytest.mark.parametrize("missing", ["scaling", "duty"])
def test_nothing_runs_where_scaling_is_not_asked_for(tmp_path, missing):
    """
    Guards against a lease, record, call or metric in a deployment without scaling.
    """
    config = make_config() if missing == "scaling" else _config()
    names = '"usage", "scale"' if missing == "scaling" else '"usage"'
    with PlatformBed.open(
        tmp_path, config=config, duties=True, duty_names=names
    ) as bed:
        time.sleep(7.0)
        assert bed.submit("job-1", make_job(2)).status == 202
        assert texts(bed.finished("job-1", 2)) == whole_texts(2)
        events = [line["event"] for line in bed.log("edge-0")]
        assert _taken(bed) == []
        assert "scaling_started" not in events
        assert _orders(bed) == []
        assert "saddledoor_engines{" not in bed._metrics("edge-0")


def test_the_duty_follows_the_configuration(tmp_path):
    """
    Guards against a duty that needs a restart, or that goes on after it was removed.
    """
    with PlatformBed.open(tmp_path, duties=True) as bed:
        bed.configure(_config(3))
        until(lambda: _orders(bed), 15.0)
        metrics = bed._metrics("edge-0")
        assert 'state="wanted"' in metrics
        assert "saddledoor_engine_seconds" in metrics
        address = f"127.0.0.1:{bed.metrics_ports['edge-0']}"
        shown = CliRunner().invoke(status, ["--metrics", address])
        assert shown.exit_code == 0
        rows = [line.split() for line in shown.output.splitlines()[1:]]
        assert ["pool", "dc-b", "on-demand", "1", "-", "1", "-"] in rows
        bed.configure(make_config(4))
        until(lambda: any(e["event"] == "scaling_stopped" for e in bed.log("edge-0")))
        count = len(_orders(bed))
        time.sleep(4.0)
        assert len(_orders(bed)) == count


def test_texts_move_from_an_engine_that_will_be_taken_away(bed):
    """
    Guards against texts that are cut off when a spot engine ends.
    """
    for engine in ("engine-0", "engine-1"):
        bed.fake_engine(engine, pace=0.05, events=200)
    assert bed.submit("job-1", make_job(2)).status == 202
    until(lambda: len(bed.runs()) == 2)
    leaving = next(
        name for name in ("engine-0", "engine-1") if bed.fake_engine(name)["runs"]
    )
    time.sleep(1.0)
    port = bed.engine_ports[leaving]
    fields = {"spot": True, "leaves_ms": 2500}
    bed.put_entry(leaving, "pool", port, MODEL, "draining", **fields)
    edges = bed.front_ports
    until(
        lambda: any(
            "ends before the text" in line.get("reason", "")
            for edge in edges
            for line in bed.log(edge)
        ),
        2.0,
    )
