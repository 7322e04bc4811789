# SPDX-License-Identifier: MIT

"""
Notices a store that is back, and connections to it that have gone silent.

A connection may say nothing for good while new ones work, and calls that were sent
while the store was away are never answered. Their time limits would hold them for
seconds; that other calls are answered shows at once that they wait in vain.
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

#: A call is given up if another one is answered so long after it was due, in seconds: a
#: store that is slowed down 60 times takes 0.24 s.
_OVERDUE = 0.4

#: What reading all keys anew may take, in seconds: several pages, one after the other.
_LISTING = 2.0

T = TypeVar("T")


@dataclass(eq=False)
class _Call:
    """
    A call that is not answered yet.

    :param due: When a store that is well would have answered, monotonic, in seconds.
    """

    task: asyncio.Task
    due: float
    given_up: bool = False


class StoreWatch:
    """
    Knows of every call to the store when it was due and when the last one was answered.

    :param reconnect: Has new connections used from now on.
    """

    def __init__(self, reconnect: Callable[[], None]) -> None:
        self._reconnect = reconnect
        self._calls: set[_Call] = set()
        self._answered_at = float("-inf")

    @property
    def answered_at(self) -> float:
        """
        When the store last answered any call, monotonic, in seconds.
        """
        return self._answered_at

    async def ask(self, call: Coroutine[None, None, T], wait: float = 0.0) -> T:
        """
        Make a call and return its answer.

        :param wait: How long the store itself may wait with its answer, in seconds.
        :raises StoreUnavailableError: Whatever the call raises, and if it was given up.
        """
        asked = _Call(asyncio.ensure_future(call), boot_time() + wait)
        self._calls.add(asked)
        try:
            answer = await asked.task
        except asyncio.CancelledError:
            ending = asyncio.current_task().cancelling()
            if asked.given_up and not ending:
                raise StoreUnavailableError(
                    "silent while other calls are answered"
                ) from None
            raise
        finally:
            self._calls.discard(asked)
        return answer

    def answered(self) -> None:
        """
        Note an answer, and give up the calls that have been overdue for long.
        """
        now = self._answered_at = boot_time()
        overdue = [call for call in self._calls if now - call.due > _OVERDUE]
        for call in overdue:
            call.given_up = True
            call.task.cancel()
        if overdue:
            _log.info("store_connections_silent", calls=len(overdue))
            self._reconnect()


class WatchedLog:
    """
    A log whose calls are watched.
    """

    def __init__(self, log: SharedLog, watch: StoreWatch) -> None:
        self._log = log
        self._watch = watch

    async def append(
        self, stream: str, records: Sequence[bytes], answer_timeout: float = 1.5
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        As `SharedLog.append`.
        """
        try:
            outcome = await self._watch.ask(
                self._log.append(stream, records, answer_timeout)
            )
        except StoreUnavailableError as error:
            return AppendOutcomeUnknown(str(error))
        if isinstance(outcome, Appended):
            self._watch.answered()
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
        As `SharedLog.read`.
        """
        call = self._log.read(stream, start, wait, max_bytes, answer_timeout)
        # Whoever has more patience than usual expects a large page.
        expected = wait + max(0.0, answer_timeout - DEFAULT_ANSWER_TIMEOUT)
        page = await self._watch.ask(call, expected)
        self._watch.answered()
        return page


class WatchedRegistry:
    """
    A registry whose calls are watched.
    """

    def __init__(self, registry: Registry, watch: StoreWatch) -> None:
        self._registry = registry
        self._watch = watch

    async def newest(self) -> KeyedPage:
        """
        As `Registry.newest`.
        """
        page = await self._watch.ask(self._registry.newest(), _LISTING)
        self._watch.answered()
        return page

    async def changes(self, start: int, wait: float) -> KeyedPage:
        """
        As `Registry.changes`.
        """
        page = await self._watch.ask(self._registry.changes(start, wait), wait)
        self._watch.answered()
        return page
