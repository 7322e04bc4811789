# SPDX-License-Identifier: MIT

"""
Engines that restart under the same id, and invalid registry entries.
"""

from __future__ import annotations

import json
import signal

import pytest

from engine_documents import make_entry
from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_job, texts, whole_texts


def _start_again(bed: PlatformBed, engine: str) -> None:
    """
    Crash and restart an engine, which then has version 1 and no accepted orders.
    """
    bed.signal(engine, signal.SIGKILL)
    bed.wait_end(engine)
    bed.start_engine(engine, "pool", MODEL, bed.engine_ports[engine])


def _needs(bed: PlatformBed, version: int, job_id: str) -> list[dict]:
    assert bed.submit(job_id, make_job(2, min_version=version)).status == 202
    return bed.finished(job_id, 2)


def test_an_engine_that_starts_again_gets_the_weights_that_jobs_need(platform_bed):
    """
    Its order uses the new process's order count; its entry was never removed.
    """
    platform_bed.name_version(2)
    _needs(platform_bed, 2, "job-1")
    until(lambda: platform_bed.fake_engine("engine-0")["version"] == 2)
    _start_again(platform_bed, "engine-0")
    assert platform_bed.fake_engine("engine-0")["version"] == 1
    until(lambda: platform_bed.fake_engine("engine-0")["version"] == 2)
    (order,) = platform_bed.fake_engine("engine-0")["orders"]
    assert order["if_rev"] == 0
    lines = platform_bed.log("edge-0")
    entries = [line for line in lines if line["event"] == "engine_entry"]
    again = [line["engine"] for line in entries if line["again"]]
    assert again == ["engine-0"]
    assert not [line for line in lines if line["event"] == "engine_entry_gone"]


def test_texts_that_an_engine_had_begun_become_whole_after_its_crash(platform_bed):
    """
    Also if all engines restart, one after the other.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, pace=0.2, events=10)
    assert platform_bed.submit("job-1", make_job(4)).status == 202
    until(lambda: len(platform_bed.runs()) == 4)
    for engine in ("engine-0", "engine-1"):
        _start_again(platform_bed, engine)
        platform_bed.fake_engine(engine, pace=0.05, events=10)
    assert texts(platform_bed.finished("job-1", 4)) == whole_texts(4, 10)


@pytest.mark.parametrize(
    "value",
    [
        json.dumps(make_entry(slots="many")).replace('"many"', "1e999"),
        "[" * 20_000,
        '{"service": null, "address": 7, "zone": [], "slots": true, "state": "new"}',
        "\x00",
    ],
)
def test_an_entry_that_cannot_be_used_stops_nobody(platform_bed, value):
    """
    Other engines stay in use, also at an edge that starts later.
    """
    platform_bed.put("keyed.servers", "other", value)
    platform_bed.remove_entry("gone")
    _needs(platform_bed, 1, "job-1")
    assert platform_bed.is_running("edge-0")
    platform_bed.start_edge("edge-1")
    until(lambda: platform_bed.ready("edge-1"))
    skipped = [
        line for line in platform_bed.log("edge-0") if line["event"] == "record_skipped"
    ]
    assert [line["key"] for line in skipped] == ["other"]
    assert skipped[0]["reason"]
