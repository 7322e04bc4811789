# SPDX-License-Identifier: MIT

"""
Builders of what a soak may have seen.
"""

from __future__ import annotations

from soak.checks import EVENTS
from soak.observed import Asked, EngineLine, Observed, Read, Report, Submitted


__all__ = [
    "make_asked",
    "make_line",
    "make_read",
    "make_report",
    "make_result",
    "make_seen",
]

_JOB = "job"


def make_asked(**changes: object) -> Asked:
    """
    Return a request that was answered well.
    """
    fields = {
        "request_id": "q",
        "target": "/look/x",
        "edge": "edge-0",
        "life": 1,
        "began": 10.0,
        "at": 10.1,
        "status": 200,
        "mark": "seal-q",
        "body": "answer to q",
    }
    return Asked(**{**fields, **changes})


def make_line(what: str = "run", **changes: object) -> EngineLine:
    """
    Return what an engine wrote down.
    """
    fields = {"what": what, "engine": "engine-0", "born": 1, "at": 5.0, "id": "q"}
    return EngineLine(**{**fields, **changes})


def make_result(**changes: object) -> dict:
    """
    Return a result as a reader gets it.
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


def make_read(*results: dict, **changes: object) -> Read:
    """
    Return a reading of a job of one item.
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
    return Read(**{**fields, **changes})


def make_report(**changes: object) -> Report:
    """
    Return a report of usage as the platform got it.
    """
    fields = {
        "window": 7,
        "counts": (("red", 1),),
        "holder": "edge-0",
        "fence": 3,
        "at": 1.0,
    }
    return Report(**{**fields, **changes})


def make_seen(**added: list) -> Observed:
    """
    Return a job that went well, and what is added to each list.
    """
    events = [
        make_line("event", id="job.i0", number=n, version=2)
        for n in range(1, EVENTS + 1)
    ]
    seen = Observed(
        submitted=[Submitted(_JOB, 1, 2, (202,), 4.0)],
        read=[make_read()],
        engines=[
            make_line(id="job.i0", target="/train/0", at=4.5, tenant="red"),
            *events,
            make_line(id="job.s0", target="/look/score", at=6.0),
        ],
    )
    for name, more in added.items():
        getattr(seen, name).extend(more)
    return seen
