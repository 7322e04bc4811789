# SPDX-License-Identifier: MIT

"""
Cold engines, with edges and stand-ins of the platform.

Guards against more requests to a cold engine than it bears, and against items that are
never sent to one.
"""

from __future__ import annotations

import json
import time

import pytest

from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_config, make_job, texts, whole_texts


#: Limit of all VMs together: 6 x 1.0 + 2.
_LIMIT = 8
_BOUNDS = "cold_excess = 1.0\ncold_slack = 2\n"


def _config(version: int = 1, **cold: float) -> dict:
    config = make_config(version)
    for service in config["services"]:
        service.update(cold)
    return config


@pytest.fixture
def bed(tmp_path):
    """
    Two edges, and services whose engines are cold for 3 s.
    """
    config = _config(cold_start_s=3.0, cold_per_s=6.0)
    with PlatformBed.open(tmp_path, edges=2, config=config, bounds=_BOUNDS) as bed:
        yield bed


def _report_cold(bed: PlatformBed, engine: str, service: str, model: str = "") -> None:
    """
    Write an entry that says that an engine is cold for a minute.
    """
    entry = {
        "service": service,
        "address": f"127.0.0.1:{bed.engine_ports[engine]}",
        "zone": "dc-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 60_000,
        "seq_no": 1,
        "born": bed.fake_engine(engine)["born"],
    }
    if model:
        held = {"name": model, "version": 1, "adapters": []}
        entry |= {"stage": "both", "models": [held]}
    bed.put("keyed.servers", engine, json.dumps(entry))


def _starts(bed: PlatformBed, engine: str) -> list[float]:
    path = bed.journal(engine)
    lines = map(json.loads, path.read_text().splitlines()) if path.exists() else ()
    return [line["at"] for line in lines if line["what"] == "run"]


def _retry_after(bed: PlatformBed, edge: str) -> float:
    """
    Return when a request is to be sent again, in seconds; 0 if it was served.

    Before an edge knows that its engines are cold, it may refuse for the rate alone.
    """
    answer = bed.ask("POST", "/look/x", edge=edge)
    return float(answer.headers.get("retry-after", 0.0))


def test_items_wait_for_their_turn_at_cold_engines(bed):
    """
    Within the limit, so that the engines get work all the same.
    """
    for engine in ("engine-0", "engine-1"):
        _report_cold(bed, engine, "pool", MODEL)
    time.sleep(1.0)
    assert bed.submit("job-1", make_job(40)).status == 202
    until(lambda: len(bed.results("job-1")) == 40, 40.0)
    assert texts(bed.results("job-1")) == whole_texts(40)
    for engine in ("engine-0", "engine-1"):
        starts = _starts(bed, engine)
        assert len(starts) >= 10
        for start in starts:
            in_a_second = sum(start <= other <= start + 1.0 for other in starts)
            assert in_a_second <= _LIMIT // 2


def test_a_request_that_finds_only_cold_engines_is_refused_at_once(bed):
    """
    It is told when to ask again.
    """
    for engine in ("desk-0", "desk-1"):
        _report_cold(bed, engine, "desk")
    for edge in bed.front_ports:
        until(lambda edge=edge: _retry_after(bed, edge) > 5.0)
    started_at = time.monotonic()
    answer = bed.ask("POST", "/look/x", b"b", "r-1")
    assert time.monotonic() - started_at < 1.0
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 5.0
    bed.configure(_config(2))
    until(lambda: bed.ask("POST", "/look/x", b"b", "r-2").status == 200)
