# SPDX-License-Identifier: MIT

"""
What an edge that stood still does for jobs that have ended, and for its callers.

What happened: at the instant the edge went on, items and scoring calls of the job
reached engines, later after its end than any may, before the edge read the log.

Why: the read that was under way had run out of time, so the store seemed to be away,
and items start without it for 6 s, since nobody can end a job then; scoring calls did
not ask at all. The edge's log at that instant, after a standstill of 3.8 s in which the
job had ended at 0.2 s: `store_lost` reading jobs, a `TimeoutError`; 0.1 s later
`store_regained` and `item_dropped` of all 40 items. Three of the four cases below were
red, with 12 items, 40 and 40 scoring calls 3.61 s and more after the end.
"""

from __future__ import annotations

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_bed import PlatformBed, until
from platform_documents import make_job


#: After which no item or scoring call of an ended job may reach an engine, in seconds:
#: `cancel_ms` of the settings.
_CANCEL_TIME = 3.0
#: How long the edge stands still, in seconds, and when in it the job ends.
_STANDSTILL, _END_AFTER = 3.8, 0.2
#: How long the edge is watched when it goes on, in seconds.
_WATCH = 1.0
_ITEMS = 40
#: How long a caller waits, in seconds: longer than its route's 2 s; and how long the
#: edge stands still meanwhile.
_PATIENCE, _HELD_UP = 2.6, 1.7
_JOB = "job-1"

#: What keeps the items from going on before the standstill, and what is set meanwhile:
#: they wait for a place, for a score or for an event.
_WAITS = {
    "place": ("engine", {"fail": 503}, {"fail": 0}),
    "score": ("desk", {"fail": 503}, {"fail": 0}),
    "slow score": ("desk", {"delay": 60.0}, {"delay": 0.0}),
    "event": ("engine", {"hang_after": 2}, {"hang_after": 0}),
}


def _begun(bed: PlatformBed, since: float) -> list[tuple[str, float]]:
    """
    Return what engines began to run since then, with its time.
    """
    lines = [
        json.loads(line)
        for name in bed.engine_ports
        if bed.journal(name).exists()
        for line in bed.journal(name).read_text().splitlines()
    ]
    runs = [line for line in lines if line["what"] == "run" and line["at"] > since]
    return [(line["id"], line["at"]) for line in runs]


@pytest.mark.parametrize("wait", _WAITS)
def test_an_edge_that_stood_still_sends_nothing_of_a_job_that_has_ended(
    two_edges, wait
):
    """
    It asks for the log's end before the first thing that it does.
    """
    bed = two_edges
    kind, before, meanwhile = _WAITS[wait]
    engines = [name for name in bed.engine_ports if name.startswith(kind)]
    for name in engines:
        bed.fake_engine(name, **before)
    owner = bed.owner()
    (other,) = set(bed.front_ports) - {owner}
    assert bed.submit(_JOB, make_job(_ITEMS), other).status == 202
    until(lambda: any(line["event"] == "job_taken_up" for line in bed.log(owner)))
    time.sleep(0.5)
    bed.signal(owner, signal.SIGSTOP)
    time.sleep(_END_AFTER)
    assert bed.ask("DELETE", f"/v1/lots/{_JOB}", edge=other).status == 200
    ended = time.monotonic()
    for name in engines:
        bed.fake_engine(name, **meanwhile)
    time.sleep(_STANDSTILL - _END_AFTER)
    bed.signal(owner, signal.SIGCONT)
    time.sleep(_WATCH)
    late = [(name, round(at - ended, 2)) for name, at in _begun(bed, ended)]
    assert [one for one in late if one[1] > _CANCEL_TIME] == []


def test_a_caller_that_waited_through_a_standstill_hears_within_its_time(
    platform_bed,
):
    """
    Its engines refuse and are slow, so there is no answer; it can ask elsewhere.

    The route's 2 s were counted from when the request was read, 1.7 s late, and the
    caller had left by then. The soak showed it at a planned stop (`stops_cut_nothing`,
    seed 9305): `stood_still` of 4.6 s, four refusals by one engine, `caller_left` after
    0.908 s, the other engine's attempt cancelled with 1.092 s left.
    """
    platform_bed.fake_engine("desk-0", fail=503)
    platform_bed.fake_engine("desk-1", delay=3.0)
    platform_bed.signal("edge-0", signal.SIGSTOP)
    began = time.monotonic()
    with ThreadPoolExecutor() as pool:
        asking = pool.submit(
            platform_bed.ask, "POST", "/look/x", b"b", "r-1", timeout=_PATIENCE
        )
        time.sleep(_HELD_UP)
        platform_bed.signal("edge-0", signal.SIGCONT)
        assert asking.result().status == 502
    assert time.monotonic() - began < _PATIENCE
