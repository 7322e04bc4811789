# SPDX-License-Identifier: MIT

"""
Numbered result codes and the tagged outcomes of a request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


__all__ = ["Family", "NotRun", "OutcomeUnknown", "ResultCode", "describe"]


class Family(Enum):
    """
    The three kinds of outcome of a request.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """
    Outcome of a request. The range of the number gives the family.
    """

    DONE = 100

    OVERLOADED = 200
    NO_BACKEND = 201
    LOG_AWAY = 202
    RETRY_BUDGET_SPENT = 203
    STOPPING = 204
    TIMED_OUT_IN_QUEUE = 205
    NO_COLLECTOR = 206
    RESYNC = 207
    NO_CONFIGURATION = 208
    ENDS_ENGINES = 209
    KEYS_UNSURE = 210

    OUTCOME_UNKNOWN = 300
    KEY_SPENT = 301
    ANSWER_CUT = 302

    BAD_REQUEST = 400
    UNAUTHENTICATED = 401
    FORBIDDEN = 403
    UNKNOWN_TARGET = 404
    BODY_TIMEOUT = 408
    TOO_LARGE = 413

    @property
    def family(self) -> Family:
        """
        The family of the code; requests that are refused as invalid (4xx) did not run.
        """
        if self < ResultCode.OVERLOADED:
            return Family.DONE
        if ResultCode.OUTCOME_UNKNOWN <= self < ResultCode.BAD_REQUEST:
            return Family.UNKNOWN
        return Family.NOT_RUN

    @property
    def http_status(self) -> int:
        """
        The HTTP status that carries the code.
        """
        return _TABLE[self][0]


# HTTP status, meaning, action of the caller.
_TABLE: dict[ResultCode, tuple[int, str, str]] = {
    ResultCode.DONE: (200, "the whole answer of this request", "use it"),
    ResultCode.OVERLOADED: (
        503,
        "no room for the request within its deadline",
        "ask again after `Retry-After`",
    ),
    ResultCode.NO_BACKEND: (
        503,
        "no back end could be reached, or none that may serve this request",
        "ask again after `Retry-After`",
    ),
    ResultCode.LOG_AWAY: (
        503,
        "the log cannot be reached, and the request needs a claim in it",
        "ask again after `Retry-After`, or use a key issued by `POST /v1/keys`",
    ),
    ResultCode.RETRY_BUDGET_SPENT: (
        503,
        "the first attempt did not run and the partner's retries are spent",
        "ask again after `Retry-After`",
    ),
    ResultCode.STOPPING: (
        503,
        "this VM is stopping",
        "ask again at once, at another VM",
    ),
    ResultCode.TIMED_OUT_IN_QUEUE: (
        503,
        "the request's deadline passed while it was waiting",
        "ask again after `Retry-After`",
    ),
    ResultCode.NO_COLLECTOR: (
        503,
        "no VM holds the trainer's collector lease yet",
        "ask again after `Retry-After`",
    ),
    ResultCode.RESYNC: (
        409,
        "the collector changed, or the cursor is not one it knows",
        "submit the step again, naming every slot already received",
    ),
    ResultCode.NO_CONFIGURATION: (
        503,
        "the VM has no accepted configuration yet",
        "ask again after `Retry-After`",
    ),
    ResultCode.ENDS_ENGINES: (
        503,
        "three engines have ended under this request, and none gets it for now",
        "send it again after `Retry-After`; it may run then, alone at an engine",
    ),
    ResultCode.KEYS_UNSURE: (
        503,
        "the VM has not heard for too long which keys are in force",
        "ask again at once, at another VM",
    ),
    ResultCode.OUTCOME_UNKNOWN: (
        502,
        "the request was handed over and no whole answer came back",
        "do not repeat an unrepeatable request; ask the service what happened",
    ),
    ResultCode.KEY_SPENT: (
        409,
        "the key was used before and the outcome cannot be learnt any more",
        "treat it as run or not run: only the service knows",
    ),
    ResultCode.ANSWER_CUT: (
        502,
        "the answer broke off and could not be resumed",
        "ask again: a completion may be repeated",
    ),
    ResultCode.BAD_REQUEST: (400, "the request cannot be used", "correct it"),
    ResultCode.UNAUTHENTICATED: (
        401,
        "no known bearer token or key",
        "send a known one",
    ),
    ResultCode.FORBIDDEN: (403, "the token may not do this", "use the right token"),
    ResultCode.UNKNOWN_TARGET: (
        404,
        "no such pool, model, service, route, trainer or step",
        "correct the name",
    ),
    ResultCode.BODY_TIMEOUT: (408, "the end of the body did not come", "send it whole"),
    ResultCode.TOO_LARGE: (413, "the body is larger than allowed", "send less"),
}


def describe() -> tuple[tuple[ResultCode, int, str, str], ...]:
    """
    Return the table of the docs: code, HTTP status, meaning, action of the caller.
    """
    return tuple((code, *_TABLE[code]) for code in ResultCode)


@dataclass(frozen=True)
class NotRun:
    """
    The request did not run: no byte of it reached a back end, or the back end reported
    that it did not start the request.

    :param code: A code of the family ``NOT_RUN``.
    :param detail: Reason in human-readable form.
    :param retry_after: When the caller may retry, in seconds.
    """

    code: ResultCode
    detail: str
    retry_after: float = 0.5

    def __post_init__(self) -> None:
        if self.code.family is not Family.NOT_RUN:
            raise ValueError(f"{self.code!r} does not mean that nothing ran")


@dataclass(frozen=True)
class OutcomeUnknown:
    """
    The request may have run. An unrepeatable one is not sent again.

    :param code: A code of the family ``UNKNOWN``.
    :param detail: Reason in human-readable form.
    """

    code: ResultCode
    detail: str

    def __post_init__(self) -> None:
        if self.code.family is not Family.UNKNOWN:
            raise ValueError(f"{self.code!r} does not mean an unknown outcome")
