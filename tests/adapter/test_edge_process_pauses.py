# SPDX-License-Identifier: MIT

"""
An edge whose process was paused: ended jobs, and callers that waited.

Guards against items and scoring calls that run after their job's end because the edge
has not read the log since the pause.
"""

from __future__ import annotations

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_bed import PlatformBed, until
from platform_documents import make_job


#: Time after a job's end from which none of its items or scoring calls may reach an
#: engine, in seconds; ``cancel_ms`` of the settings.
_CANCEL_LIMIT = 3.0
#: Duration of the edge's pause, and time within it at which the job ends, in seconds.
_PAUSE, _END_AFTER = 3.8, 0.2
#: Time for which the edge is observed after the pause, in seconds.
_OBSERVE_TIME = 1.0
_ITEMS = 40
#: Caller's timeout, longer than its route's 2 s, and duration of the edge's pause, in
#: seconds.
_CALLER_TIMEOUT, _CALLER_PAUSE = 2.6, 1.7
_JOB = "job-1"

#: What items wait for (a slot, a score or an event): kind of engine, faults before the
#: pause, and faults set during it.
_WAITS = {
    "place": ("engine", {"fail": 503}, {"fail": 0}),
    "score": ("desk", {"fail": 503}, {"fail": 0}),
    "slow score": ("desk", {"delay": 60.0}, {"delay": 0.0}),
    "event": ("engine", {"hang_after": 2}, {"hang_after": 0}),
}


def _started_requests(bed: PlatformBed, since: float) -> list[tuple[str, float]]:
    """
    Return the requests that engines started since a time, with their start times.
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
    It reads the log before it sends anything.
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
    time.sleep(_PAUSE - _END_AFTER)
    bed.signal(owner, signal.SIGCONT)
    time.sleep(_OBSERVE_TIME)
    late = [(name, round(at - ended, 2)) for name, at in _started_requests(bed, ended)]
    assert [one for one in late if one[1] > _CANCEL_LIMIT] == []


def test_a_caller_that_waited_through_a_standstill_hears_within_its_time(
    platform_bed,
):
    """
    No engine answers in time, so the caller gets a refusal: the route's timeout counts
    from the request's arrival, not from when a paused edge read it.
    """
    platform_bed.fake_engine("desk-0", fail=503)
    platform_bed.fake_engine("desk-1", delay=3.0)
    platform_bed.signal("edge-0", signal.SIGSTOP)
    began = time.monotonic()
    with ThreadPoolExecutor() as pool:
        asking = pool.submit(
            platform_bed.ask, "POST", "/look/x", b"b", "r-1", timeout=_CALLER_TIMEOUT
        )
        time.sleep(_CALLER_PAUSE)
        platform_bed.signal("edge-0", signal.SIGCONT)
        assert asking.result().status == 502
    assert time.monotonic() - began < _CALLER_TIMEOUT
