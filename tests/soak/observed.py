# SPDX-License-Identifier: MIT

"""
Observations of callers, trainers, engines and the operator; times are monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field


__all__ = [
    "NOT_RUN",
    "TRAINERS",
    "CallerRequest",
    "ConfigChange",
    "EngineLine",
    "JobEnd",
    "JobRead",
    "JobSubmission",
    "Observations",
    "PlannedStop",
    "UsageReport",
    "job_of",
]

#: Statuses that promise that the request did not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
#: The workspace of all trainers.
TRAINERS = "red"


@dataclass(frozen=True)
class CallerRequest:
    """
    A caller's request.

    :param start_number: Start number of the edge's process that received it.
    :param status: 0 without a whole answer.
    """

    request_id: str
    target: str
    edge: str
    start_number: int
    began: float
    at: float
    status: int
    signature: str = ""
    body: str = ""
    key: str = "red-0"


@dataclass(frozen=True)
class JobSubmission:
    """
    All attempts to submit one job; ``accepted`` if one was answered with 202.
    """

    job: str
    items: int
    min_version: int
    statuses: tuple[int, ...]
    at: float

    @property
    def accepted(self) -> bool:
        return 202 in self.statuses


@dataclass(frozen=True)
class JobRead:
    """
    A read of a job from position ``since`` on, requested at ``began``.
    """

    job: str
    edge: str
    began: float
    at: float
    status: int
    since: int = 0
    total: int = 0
    results: tuple[dict, ...] = ()


@dataclass(frozen=True)
class JobEnd:
    """
    The end of a job, requested at ``began`` and acknowledged at ``at``.
    """

    job: str
    began: float
    at: float


@dataclass(frozen=True)
class PlannedStop:
    """
    A planned stop.

    :param status: Exit status of the process; None if it did not exit in time.
    :param elapsed: Time from the signal to the exit, in seconds.
    :param paused: Whether the signal was sent while the process was paused.
    """

    edge: str
    start_number: int
    at: float
    status: int | None
    elapsed: float
    paused: bool = False


@dataclass(frozen=True)
class ConfigChange:
    version: int
    at: float


@dataclass(frozen=True)
class EngineLine:
    """
    A line of an engine's journal: a run, an event of a text or an order.

    :param born: Identifies the engine's process among its restarts.
    """

    what: str
    engine: str
    born: int
    at: float
    id: str = ""
    target: str = ""
    body: str = ""
    number: int = 0
    version: int = 0
    holder: str = ""
    fence: int = 0
    tenant: str | None = None
    key: str | None = None
    size: int = 0


@dataclass(frozen=True)
class UsageReport:
    """
    A usage report that the platform received.

    :param at: Wall-clock time, in seconds.
    """

    window: int
    counts: tuple[tuple[str, int], ...]
    holder: str
    fence: int
    at: float


@dataclass
class Observations:
    """
    All observations of a run; lists are append-only, so that threads may share them.

    :ivar resumes: Edges that were resumed after SIGSTOP, with the times.
    :ivar unrecovered: Descriptions of what failed to recover.
    """

    requests: list[CallerRequest] = field(default_factory=list)
    submissions: list[JobSubmission] = field(default_factory=list)
    reads: list[JobRead] = field(default_factory=list)
    ended: list[JobEnd] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    configurations: list[ConfigChange] = field(default_factory=list)
    resumes: list[tuple[str, float]] = field(default_factory=list)
    engine_lines: list[EngineLine] = field(default_factory=list)
    reports: list[UsageReport] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)


def job_of(request_id: str) -> str:
    """
    Return the job of an item or of a scoring call; other ids are returned unchanged.
    """
    return request_id.partition(".")[0]
