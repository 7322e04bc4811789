# SPDX-License-Identifier: MIT

"""
Back ends as the gateway sees them: requests, generations, reports and orders.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
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
    "UnusableAnswer",
    "VersionOrder",
]


@dataclass(frozen=True)
class ForwardedRequest:
    """
    A caller's request as it goes to a back end.

    :param target: Path and query, as the caller wrote them.
    :param headers: End-to-end headers only, without the deadline's.
    :param request_id: The caller's name for this attempt of its own.
    :param repeatable: Whether it may run more than once.
    :param workspace: Whose it is; empty for nobody's. None where there are no
        workspaces; else no engine is shown the caller's key.
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
    A back end's whole answer.

    :param signature: The back end's signature of the answer; empty without one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str


@dataclass(frozen=True)
class UnusableAnswer(OutcomeUnknown):
    """
    The back end answered, but not with this request's own signed answer.

    So it has not ended, and is done with the request as far as anyone can tell.
    """


@dataclass(frozen=True)
class Generation:
    """
    An item of a job, to be run at an engine.

    :param resume_after: Number of the last event already kept; 0 for none.
    :param urgency: 0 is the most urgent, 9 the least.
    """

    request: ForwardedRequest
    resume_after: int
    urgency: int


class GenerationFailedError(Exception):
    """
    A generation ended before its end.

    :param outcome: What it says of the item and of the engine.
    """

    #: The engine vouches that it did not start.
    NOT_STARTED = "not_started"
    #: There was no connection to the engine, so it has not run the item.
    UNREACHABLE = "unreached"
    #: Another incarnation answers at the address.
    WRONG_INCARNATION = "moved"
    #: The engine failed on the item; counts as an attempt.
    FAILED = "failed"
    #: The item can never be done.
    REJECTED = "impossible"
    #: Broken off, silent, or not understood.
    BROKEN = "broken"
    #: The whole engine is silent and another one has room.
    STALLED = "stalled"
    #: The engine has started again since; what it had is gone.
    RESTARTED = "restarted"
    #: Another engine with room is much faster.
    SLOW = "slow"

    def __init__(self, outcome: str, reason: str) -> None:
        self.outcome = outcome
        super().__init__(reason)


@dataclass(frozen=True)
class EngineState:
    """
    What an engine reports when asked.

    :param accepted_orders: Counts the orders since its start.
    :param started_at: Start of its process, in Unix milliseconds; none if it does not
        say.
    """

    versions: dict[str, int]
    busy: bool
    accepted_orders: int
    started_at: int | None = None

    def belongs_to(self, engine: EngineEntry) -> bool:
        """
        Return whether the life that an entry speaks of has told this, as far as both
        say when they began.
        """
        if self.started_at is None or engine.started_at is None:
            return True
        return self.started_at == engine.started_at


@dataclass(frozen=True)
class VersionOrder:
    """
    An absolute order: be at this version of this model.

    :param accepted_orders: The count that the engine must still be at.
    :param retain_running: Whether running requests go on under the new version; they
        finish first otherwise.
    """

    model: str
    version: int
    holder: str
    fence: int
    accepted_orders: int
    retain_running: bool


class OrderOutcome:
    """
    What became of an order, as far as the engine said.
    """

    ACCEPTED = "taken"
    ALREADY_APPLIED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Engines(Protocol):
    """
    Calls to back ends.
    """

    async def call(
        self, engine: EngineEntry, request: ForwardedRequest, deadline: float
    ) -> EngineAnswer | NotRun | OutcomeUnknown:
        """
        Hand a request over and take its whole answer.

        :param deadline: What is left of the caller's time, in seconds.
        """

    def generate(
        self, engine: EngineEntry, generation: Generation
    ) -> AsyncIterator[GeneratedEvent]:
        """
        Stream a generation's events until its text is whole.

        :raises GenerationFailedError: If the text did not become whole.
        """

    async def state(self, engine: EngineEntry) -> EngineState | None:
        """
        Ask an engine what it holds; none without a usable answer.
        """

    async def has_exited(self, engine: EngineEntry) -> bool:
        """
        Whether nobody serves at an engine's address; false if that is not certain.
        """

    async def order(self, engine: EngineEntry, order: VersionOrder) -> str:
        """
        Give an order.

        :returns: One of `OrderOutcome`.
        """
