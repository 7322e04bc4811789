# SPDX-License-Identifier: MIT

"""
What callers, trainers, engines and the operator saw of a run; times are monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field


__all__ = [
    "NOT_RUN",
    "TRAINERS",
    "Asked",
    "Configured",
    "Ended",
    "EngineLine",
    "Observed",
    "Read",
    "Report",
    "Stopped",
    "Submitted",
    "job_of",
]

#: Statuses that promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
#: The workspace of all trainers.
TRAINERS = "red"


@dataclass(frozen=True)
class Asked:
    """
    A caller's request.

    :param life: Which process of the edge it was sent to, a count of starts.
    :param status: 0 if there was no whole answer.
    """

    request_id: str
    target: str
    edge: str
    life: int
    began: float
    at: float
    status: int
    mark: str = ""
    body: str = ""
    key: str = "red-0"


@dataclass(frozen=True)
class Submitted:
    """
    All attempts to submit one job; it has an answer of 202 if ``accepted``.
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
class Read:
    """
    A reading of a job from position ``since`` on, asked for at ``began``.
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
class Ended:
    """
    The end of a job, asked for at ``began`` and acknowledged at ``at``.
    """

    job: str
    began: float
    at: float


@dataclass(frozen=True)
class Stopped:
    """
    A planned stop.

    :param status: Of the process; None if it did not end.
    :param took: From the signal to its end, in seconds.
    :param frozen: The signal came while it was frozen.
    """

    edge: str
    life: int
    at: float
    status: int | None
    took: float
    frozen: bool = False


@dataclass(frozen=True)
class Configured:
    version: int
    at: float


@dataclass(frozen=True)
class EngineLine:
    """
    What an engine wrote down: a run, an event of a text or an order.

    :param born: Tells the lives of an engine apart.
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


@dataclass(frozen=True)
class Report:
    """
    A call that reported usage, as the platform got it.

    :param at: Time of day, in seconds.
    """

    window: int
    counts: tuple[tuple[str, int], ...]
    holder: str
    fence: int
    at: float


@dataclass
class Observed:
    """
    Everything so far; each list is only appended to, so that threads may share it.

    :ivar thaws: When each edge was continued after SIGSTOP.
    :ivar never: What did not come back after the last fault, in words.
    """

    asked: list[Asked] = field(default_factory=list)
    submitted: list[Submitted] = field(default_factory=list)
    read: list[Read] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    configured: list[Configured] = field(default_factory=list)
    thaws: list[tuple[str, float]] = field(default_factory=list)
    engines: list[EngineLine] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)
    never: list[str] = field(default_factory=list)


def job_of(request_id: str) -> str:
    """
    Return the job of an item or of a scoring call; its own id for other requests.
    """
    return request_id.partition(".")[0]
