# SPDX-License-Identifier: MIT

"""
Builders of a soak's observations.
"""

from __future__ import annotations

from soak.checks import EVENTS
from soak.observed import (
    CallerRequest,
    EngineLine,
    JobRead,
    JobSubmission,
    Observations,
    UsageReport,
)


__all__ = [
    "make_request",
    "make_line",
    "make_read",
    "make_report",
    "make_result",
    "make_observations",
]

_JOB = "job"


def make_request(**changes: object) -> CallerRequest:
    """
    Return a request with a correct answer.
    """
    fields = {
        "request_id": "q",
        "target": "/look/x",
        "edge": "edge-0",
        "start_number": 1,
        "began": 10.0,
        "at": 10.1,
        "status": 200,
        "signature": "seal-q",
        "body": "answer to q",
    }
    return CallerRequest(**{**fields, **changes})


def make_line(what: str = "run", **changes: object) -> EngineLine:
    """
    Return a line of an engine's journal.
    """
    fields = {"what": what, "engine": "engine-0", "born": 1, "at": 5.0, "id": "q"}
    return EngineLine(**{**fields, **changes})


def make_result(**changes: object) -> dict:
    """
    Return a result as a read returns it.
    """
    item = "job.i0"
    fields = {
        "id": item,
        "state": "completed",
        "message": "\n".join(f"{item}-{n}" for n in range(1, EVENTS + 1)),
        "versions": [2],
        "score": "seal-job.s0",
    }
    return {**fields, **changes}


def make_read(*results: dict, **changes: object) -> JobRead:
    """
    Return a read of a job with one item.
    """
    fields = {
        "job": _JOB,
        "edge": "edge-0",
        "began": 8.0,
        "at": 8.1,
        "status": 200,
        "total": 1,
        "results": results or (make_result(),),
    }
    return JobRead(**{**fields, **changes})


def make_report(**changes: object) -> UsageReport:
    """
    Return a usage report as the platform received it.
    """
    fields = {
        "window": 7,
        "counts": (("red", 1),),
        "holder": "edge-0",
        "fence": 3,
        "at": 1.0,
    }
    return UsageReport(**{**fields, **changes})


def make_observations(**added: list) -> Observations:
    """
    Return the observations of a correct job, with more records added to each list.
    """
    events = [
        make_line("event", id="job.i0", number=n, version=2)
        for n in range(1, EVENTS + 1)
    ]
    observations = Observations(
        submissions=[JobSubmission(_JOB, 1, 2, (202,), 4.0)],
        reads=[make_read()],
        engine_lines=[
            make_line(id="job.i0", target="/train/0", at=4.5, tenant="red"),
            *events,
            make_line(id="job.s0", target="/look/score", at=6.0),
        ],
    )
    for name, records in added.items():
        getattr(observations, name).extend(records)
    return observations
