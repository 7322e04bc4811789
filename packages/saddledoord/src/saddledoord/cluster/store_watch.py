# SPDX-License-Identifier: MIT

"""
Cancels calls to the store that will not be answered, and replaces their connections.

A connection may be dead while new ones work, and calls that were sent during an outage
are never answered. An answer to another call shows this before their timeouts do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import TypeVar

import structlog

from .._clock import boot_time
from ..ports import (
    DEFAULT_ANSWER_TIMEOUT,
    MAX_PAGE_BYTES,
    Appended,
    AppendOutcomeUnknown,
    KeyedPage,
    LogPage,
    NotAppended,
    Registry,
    SharedLog,
    StoreUnavailableError,
)


__all__ = ["StoreWatch", "WatchedLog", "WatchedRegistry"]

_log = structlog.get_logger()

#: A call is cancelled if another one is answered this long after it was due, in
#: seconds; a store that is slowed down 60 times takes 0.24 s.
_OVERDUE_AFTER = 0.4

#: Expected duration of reading all keys of a registry, in seconds.
_LISTING_TIME = 2.0

T = TypeVar("T")


@dataclass(eq=False)
class _Call:
    """
    A call that has not been answered.

    :param due_at: When an available store would have answered, monotonic, in
        seconds.
    :param is_cancelled: Whether the call was cancelled for being overdue.
    """

    task: asyncio.Task
    due_at: float
    is_cancelled: bool = False


class StoreWatch:
    """
    Tracks calls to the store and cancels those that are overdue.

    :param reconnect: Called to use new connections for further calls.
    """

    def __init__(self, reconnect: Callable[[], None]) -> None:
        self._reconnect = reconnect
        self._calls: set[_Call] = set()
        self._answered_at = float("-inf")
        self._away_at = float("-inf")

    @property
    def away_at(self) -> float:
        """
        When a call last failed that does not only show a lost connection, monotonic, in
        seconds.
        """
        return self._away_at

    @property
    def answered_at(self) -> float:
        """
        When the store last answered any call, monotonic, in seconds.
        """
        return self._answered_at

    async def call(self, call: Coroutine[None, None, T], wait: float = 0.0) -> T:
        """
        Make a call and return its answer.

        :param wait: How long the store may delay its answer, in seconds.
        :raises StoreUnavailableError: If the call raises it or was cancelled for being
            overdue.
        """
        pending = _Call(asyncio.ensure_future(call), boot_time() + wait)
        self._calls.add(pending)
        try:
            answer = await pending.task
        except asyncio.CancelledError:
            cancel_requests = asyncio.current_task().cancelling()
            if pending.is_cancelled and not cancel_requests:
                raise StoreUnavailableError(
                    "silent while other calls are answered", is_connection_lost=True
                ) from None
            raise
        except StoreUnavailableError as error:
            if not error.is_connection_lost:
                self._away_at = boot_time()
            raise
        finally:
            self._calls.discard(pending)
        return answer

    def record_answer(self) -> None:
        """
        Record an answer, and cancel the calls that are overdue.
        """
        now = self._answered_at = boot_time()
        overdue = [call for call in self._calls if now - call.due_at > _OVERDUE_AFTER]
        for call in overdue:
            call.is_cancelled = True
            call.task.cancel()
        if overdue:
            _log.info("store_connections_silent", calls=len(overdue))
            self._reconnect()


class WatchedLog:
    """
    A log whose calls are tracked by a `StoreWatch`.
    """

    def __init__(self, log: SharedLog, watch: StoreWatch) -> None:
        self._log = log
        self._watch = watch

    async def append(
        self,
        stream: str,
        records: Sequence[bytes],
        answer_timeout: float = 1.5,
        expected_end: int | None = None,
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        See `SharedLog.append`.
        """
        try:
            outcome = await self._watch.call(
                self._log.append(stream, records, answer_timeout, expected_end)
            )
        except StoreUnavailableError as error:
            return AppendOutcomeUnknown(str(error))
        if isinstance(outcome, Appended):
            self._watch.record_answer()
        return outcome

    async def read(
        self,
        stream: str,
        start: int,
        wait: float = 0.0,
        max_bytes: int = MAX_PAGE_BYTES,
        answer_timeout: float = DEFAULT_ANSWER_TIMEOUT,
    ) -> LogPage:
        """
        See `SharedLog.read`.
        """
        call = self._log.read(stream, start, wait, max_bytes, answer_timeout)
        # A longer answer timeout than the default means that a large page is expected.
        wait_allowed = wait + max(0.0, answer_timeout - DEFAULT_ANSWER_TIMEOUT)
        page = await self._watch.call(call, wait_allowed)
        self._watch.record_answer()
        return page


class WatchedRegistry:
    """
    A registry whose calls are tracked by a `StoreWatch`.
    """

    def __init__(self, registry: Registry, watch: StoreWatch) -> None:
        self._registry = registry
        self._watch = watch

    async def newest(self) -> KeyedPage:
        """
        See `Registry.newest`.
        """
        page = await self._watch.call(self._registry.newest(), _LISTING_TIME)
        self._watch.record_answer()
        return page

    async def changes(self, start: int, wait: float) -> KeyedPage:
        """
        See `Registry.changes`.
        """
        page = await self._watch.call(self._registry.changes(start, wait), wait)
        self._watch.record_answer()
        return page
