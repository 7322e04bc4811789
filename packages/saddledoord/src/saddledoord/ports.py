# SPDX-License-Identifier: MIT

"""
The outside world as the gateway sees it; adapters implement these interfaces.

Every call has a deadline of its own and ends in one of three ways that never mix:
done, not done, unknown.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from saddledoor import (
    EngineEntry,
    GatewayConfig,
    GeneratedEvent,
    NotRun,
    OutcomeUnknown,
)


__all__ = [
    "LARGEST_PAGE",
    "Appended",
    "Assignment",
    "Engines",
    "EngineAnswer",
    "EngineState",
    "ForwardedRequest",
    "Generation",
    "GenerationFailedError",
    "KeyedEntry",
    "KeyedPage",
    "LogGoneError",
    "LogPage",
    "NamedVersion",
    "NotAppended",
    "OrderOutcome",
    "Registry",
    "SharedLog",
    "StoreAwayError",
    "UnknownAppend",
    "VersionOrder",
    "WorkGroup",
]


#: Most that one read brings unless the reader says otherwise, in bytes.
LARGEST_PAGE = 1_048_576


class StoreAwayError(Exception):
    """
    The store gave no usable answer in time.
    """


class LogGoneError(Exception):
    """
    Records were dropped before they were read.

    :param first: Oldest offset that is still there.
    """

    def __init__(self, first: int) -> None:
        self.first = first
        super().__init__(f"records before offset {first} are gone")


@dataclass(frozen=True)
class Appended:
    """
    The records are in the log.

    :param offset: Offset of the first.
    """

    offset: int


@dataclass(frozen=True)
class NotAppended:
    """
    The log vouches that it did not take the records.
    """

    reason: str


@dataclass(frozen=True)
class UnknownAppend:
    """
    The records may be in the log, or may still come into it.
    """

    reason: str


@dataclass(frozen=True)
class LogPage:
    """
    Records from one offset on.

    :param end: Offset after the log's newest record.
    """

    start: int
    records: tuple[bytes, ...]
    end: int

    @property
    def next_offset(self) -> int:
        """
        Where the next read begins.
        """
        return self.start + len(self.records)


class SharedLog(Protocol):
    """
    The platform's append-only log.
    """

    async def append(
        self, stream: str, records: Sequence[bytes], patience: float = 1.5
    ) -> Appended | NotAppended | UnknownAppend:
        """
        Append all the records in one piece, or none of them.

        :param patience: Longest wait for the answer, in seconds.
        """

    async def read(
        self,
        stream: str,
        start: int,
        wait: float = 0.0,
        largest: int = LARGEST_PAGE,
    ) -> LogPage:
        """
        Read records from an offset on.

        :param wait: How long the log may wait for one, in seconds.
        :param largest: Most that the answer may hold, in bytes, but for one record.
        :raises StoreAwayError: If there was no usable answer.
        :raises LogGoneError: If the records at the offset were dropped.
        """


@dataclass(frozen=True)
class KeyedEntry:
    """
    A change of one key, decoded.

    :param value: None if the key was removed or its value cannot be used.
    """

    key: str
    offset: int
    value: object | None


@dataclass(frozen=True)
class KeyedPage:
    """
    Changes of keys, in order.

    :param whole: Whether these are the newest values of all keys.
    """

    entries: tuple[KeyedEntry, ...]
    next_offset: int
    whole: bool = False


class Registry(Protocol):
    """
    A table of keys that others write: the operator's, or the engines' entries.
    """

    async def newest(self) -> KeyedPage:
        """
        Read the newest value of every key.

        :raises StoreAwayError: If there was no usable answer.
        """

    async def changes(self, start: int, wait: float) -> KeyedPage:
        """
        Read the changes from an offset on.

        :raises StoreAwayError: If there was no usable answer.
        :raises LogGoneError: If they were dropped; `newest` still has the values.
        """


@dataclass(frozen=True)
class Assignment:
    """
    The share of the work that the store dealt to this node.

    :param generation: Rises whenever the shares change.
    """

    generation: int
    parts: frozenset[int]


class WorkGroup(Protocol):
    """
    Deals the parts of the work out among the live nodes.
    """

    async def join(self, generation: int) -> Assignment:
        """
        Join, or show that this node is alive.

        :raises StoreAwayError: If there was no usable answer.
        """

    async def leave(self) -> None:
        """
        Give this node's parts up.

        :raises StoreAwayError: If there was no usable answer.
        """


@dataclass(frozen=True)
class ForwardedRequest:
    """
    A caller's request as it goes to a back end.

    :param target: Path and query, as the caller wrote them.
    :param headers: End-to-end headers only, without the deadline's.
    :param request_id: The caller's name for this attempt of its own.
    :param repeatable: Whether it may run more than once.
    """

    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    repeatable: bool = True


@dataclass(frozen=True)
class EngineAnswer:
    """
    A back end's whole answer.

    :param mark: The back end's signature of the answer; empty without one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    mark: str


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
    #: Another incarnation answers at the address.
    MOVED = "moved"
    #: The engine failed on the item; counts as an attempt.
    FAILED = "failed"
    #: The item can never be done.
    IMPOSSIBLE = "impossible"
    #: Broken off, silent, or not understood.
    BROKEN = "broken"
    #: The whole engine is silent and another one has room.
    STALLED = "stalled"
    #: Another engine with room is much faster.
    SLOW = "slow"

    def __init__(self, outcome: str, reason: str) -> None:
        self.outcome = outcome
        super().__init__(reason)


@dataclass(frozen=True)
class EngineState:
    """
    What an engine reports when asked.

    :param orders_taken: Counts the orders since its start.
    """

    versions: dict[str, int]
    busy: bool
    orders_taken: int


@dataclass(frozen=True)
class VersionOrder:
    """
    An absolute order: be at this version of this model.

    :param orders_taken: The count that the engine must still be at.
    :param keep_runs: Whether running requests go on under the new version; they
        finish first otherwise.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders_taken: int
    keep_runs: bool


class OrderOutcome:
    """
    What became of an order, as far as the engine said.
    """

    TAKEN = "taken"
    HOLDS = "holds"
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

    async def order(self, engine: EngineEntry, order: VersionOrder) -> str:
        """
        Give an order.

        :returns: One of `OrderOutcome`.
        """


@dataclass(frozen=True)
class NamedVersion:
    """
    A weight version that a trainer has named.
    """

    model: str
    version: int


OperatorValue = GatewayConfig | NamedVersion
