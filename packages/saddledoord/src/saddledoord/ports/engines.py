# SPDX-License-Identifier: MIT

"""
Interface of engines: requests, generations, reported states and orders.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol

from saddledoor import EngineEntry, GeneratedEvent, NotRun, OutcomeUnknown


__all__ = [
    "EngineAnswer",
    "EngineState",
    "Engines",
    "ForwardedRequest",
    "Generation",
    "GenerationFailedError",
    "OrderOutcome",
    "SendPermit",
    "UnusableAnswer",
    "VersionOrder",
]


@dataclass(frozen=True)
class ForwardedRequest:
    """
    A caller's request as it is sent to an engine.

    :param target: Path and query, as the caller wrote them.
    :param headers: End-to-end headers only, without the deadline header.
    :param request_id: The caller's id of this attempt.
    :param repeatable: Whether it may run more than once.
    :param workspace: Workspace of the caller; empty for a caller without one. None if
        workspaces are not configured. Otherwise engines do not get the caller's key.
    """

    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    repeatable: bool = True
    workspace: str | None = None


@dataclass(frozen=True)
class EngineAnswer:
    """
    The complete answer of an engine.

    :param signature: The engine's signature of the answer; empty without one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str


@dataclass(frozen=True)
class UnusableAnswer(OutcomeUnknown):
    """
    The engine answered, but not with a signed answer to this request.

    The engine is alive, and is most likely finished with the request.
    """


@dataclass(frozen=True)
class Generation:
    """
    An item of a job that is run at an engine.

    :param resume_after: Number of the last event that is already stored; 0 for none.
    :param urgency: From 0, the most urgent, to 9.
    """

    request: ForwardedRequest
    resume_after: int
    urgency: int


class GenerationFailedError(Exception):
    """
    A generation ended early.

    :param outcome: One of the constants of this class.
    """

    #: The engine reported that it did not start the item.
    NOT_STARTED = "not_started"
    #: The engine could not be connected to, so it has not run the item.
    UNREACHABLE = "unreached"
    #: Another incarnation answers at the address.
    WRONG_INCARNATION = "moved"
    #: The engine failed on the item, which counts as an attempt.
    FAILED = "failed"
    #: The item can never succeed.
    REJECTED = "impossible"
    #: The stream was interrupted, timed out or was invalid.
    BROKEN = "broken"
    #: No stream of the engine has events, and another engine has a free slot.
    STALLED = "stalled"
    #: The engine has restarted, so the item was lost.
    RESTARTED = "restarted"
    #: Another engine with a free slot is much faster.
    SLOW = "slow"

    def __init__(self, outcome: str, reason: str) -> None:
        self.outcome = outcome
        super().__init__(reason)


@dataclass(frozen=True)
class EngineState:
    """
    The state that an engine reports.

    :param versions: Weight versions in use, by model.
    :param busy: Whether an order is in progress.
    :param accepted_orders: Number of orders accepted since its start.
    :param started_at: Start of its process, in Unix milliseconds; None if it does not
        report one.
    """

    versions: dict[str, int]
    busy: bool
    accepted_orders: int
    started_at: int | None = None

    def belongs_to(self, engine: EngineEntry) -> bool:
        """
        Return whether an entry is of the incarnation that reported this state; True if
        either does not give the start of its process.
        """
        if self.started_at is None or engine.started_at is None:
            return True
        return self.started_at == engine.started_at


@dataclass(frozen=True)
class VersionOrder:
    """
    An order to use a version of a model.

    :param accepted_orders: Number of orders that the engine must have accepted before.
    :param retain_running: Whether running requests continue with the new version;
        otherwise they finish first.
    """

    model: str
    version: int
    holder: str
    fence: int
    accepted_orders: int
    retain_running: bool


class OrderOutcome:
    """
    The outcome of an order, as far as the engine reported it.
    """

    ACCEPTED = "taken"
    ALREADY_APPLIED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


def _ignore() -> None:
    pass


@dataclass(frozen=True)
class SendPermit:
    """
    The permit to send one request to an engine.

    Only the gate (`saddledoord.serving.gate`) makes permits, so that every send passes
    its check.

    :param decided_at: Time before the checks that allowed to send it, monotonic, in
        seconds; it is not sent if the process was paused since.
    :param check: Number of the gate's check since the start of the process.
    :param on_written: To be called when the request's first byte was written.
    """

    engine: EngineEntry
    decided_at: float
    check: int
    on_written: Callable[[], None] = field(default=_ignore, compare=False)


class Engines(Protocol):
    """
    Calls to engines.

    Every call that carries a request needs a permit.
    """

    async def call(
        self, permit: SendPermit, request: ForwardedRequest, deadline: float
    ) -> EngineAnswer | NotRun | OutcomeUnknown:
        """
        Send a request and return its complete answer.

        :param deadline: Time that the caller still waits, in seconds.
        """

    def generate(
        self,
        permit: SendPermit,
        generation: Generation,
        on_accepted: Callable[[], None],
    ) -> AsyncIterator[GeneratedEvent]:
        """
        Stream the events of a generation until its text is complete.

        :param on_accepted: Called when the engine has begun its response.
        :raises GenerationFailedError: If the text was not completed.
        """

    async def state(self, engine: EngineEntry) -> EngineState | None:
        """
        Return the state of an engine; None without a usable answer.
        """

    async def has_exited(self, engine: EngineEntry) -> bool:
        """
        Whether no process serves at an engine's address; False if that is not certain.
        """

    async def order(
        self, engine: EngineEntry, order: VersionOrder, decided_at: float
    ) -> str:
        """
        Send an order.

        :param decided_at: See `SendPermit`.
        :returns: One of `OrderOutcome`.
        """
