# SPDX-License-Identifier: MIT

"""
Follows a stream or a registry of the store, across outages.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from saddledoor import PageSize
from saddledoor.exceptions import UndecodableRecordError

from .._clock import boot_time
from ..ports import (
    DEFAULT_ANSWER_TIMEOUT,
    MAX_PAGE_BYTES,
    KeyedEntry,
    KeyedPage,
    LogPage,
    LogTruncatedError,
    Registry,
    SharedLog,
    StoreUnavailableError,
    UnusableValue,
)


__all__ = ["LogFollower", "RegistryFollower"]

_log = structlog.get_logger()

#: How long a read waits at the store for news, in seconds. Short, since a silent store
#: is only noticed when the answer is overdue.
_WAIT = 1.0
#: Longest wait for a page of the first replay, in seconds: all nodes may start at once
#: and share the store's link, and 70 of them get 1 MB each in 0.9 s.
_PATIENCE_REPLAY = 3.0
#: The same while the store is lost, in seconds, so that its return is noticed soon; one
#: that is slowed down 60 times takes 0.24 s.
_PATIENCE_LOST = 0.4
#: How long a caller waits for the first replay of a stream, in seconds: a caller's
#: own patience for an answer is a second or two.
_REPLAY_PATIENCE = 1.0
#: Pause after a read that failed, in seconds.
_PAUSE = 0.1
#: Pause after news of a registry, in seconds. 39 engines write their entries 32 times a
#: second, and each entry would end the waiting read of every node; an engine that
#: leaves serves for 2 s more.
_REGISTRY_GATHER = 0.2


class _Reachable:
    """
    Notes when the store is lost and regained, one log line each.
    """

    def __init__(self, name: str, on_change: Callable[[bool], None]) -> None:
        self._name = name
        self._on_change = on_change
        self._reached = True

    @property
    def is_store_reachable(self) -> bool:
        return self._reached

    def answered(self) -> None:
        if not self._reached:
            self._reached = True
            _log.info("store_regained", reading=self._name)
            self._on_change(True)

    def failed(self, reason: str) -> None:
        if self._reached:
            self._reached = False
            _log.warning("store_lost", reading=self._name, reason=reason)
            self._on_change(False)


def _ignore(_: bool) -> None:
    pass


def _at_once() -> float:
    return 0.0


class LogFollower:
    """
    Applies a stream's records in order, each once.

    A record that cannot be read is logged, counted and passed over: it must not hide
    what comes behind it, at this start or any later one.

    :param apply: Called with each record and its offset; raises
        `UndecodableRecordError` for one that it cannot read.
    :param reachable: Told when the store is lost (false) and regained (true).
    :param wait: How long a read waits at the store for news, in seconds.
    :param answer_timeout: Longest wait for an answer beyond that, in seconds.
    :param batch_delay: Returns the pause after news, in seconds, for more to come.
    """

    def __init__(
        self,
        log: SharedLog,
        stream: str,
        apply: Callable[[int, bytes], None],
        reachable: Callable[[bool], None] = _ignore,
        wait: float = _WAIT,
        answer_timeout: float = DEFAULT_ANSWER_TIMEOUT,
        batch_delay: Callable[[], float] = _at_once,
    ) -> None:
        self._wait = wait
        self._gather = batch_delay
        self._patience = answer_timeout
        self._log = log
        self._stream = stream
        self._apply = apply
        self._next = 0
        self._skipped = 0
        self._page_size = PageSize(MAX_PAGE_BYTES)
        self._reach = _Reachable(stream, reachable)
        self._caught_up = asyncio.Event()
        self._began = boot_time()
        self._syncing = asyncio.Lock()
        self._confirmed_at = float("-inf")
        self._asked_at = float("-inf")

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read.
        """
        return self._reach.is_store_reachable

    @property
    def skipped(self) -> int:
        """
        Records that could not be read, a count.
        """
        return self._skipped

    @property
    def synced_at(self) -> float:
        """
        When everything in the log was known, monotonic, in seconds.
        """
        return self._confirmed_at

    @property
    def asked_at(self) -> float:
        """
        When the newest read began that has ended, whether it was answered or not,
        monotonic, in seconds.
        """
        return self._asked_at

    @property
    def caught_up(self) -> bool:
        """
        Whether everything that was in the log at the start has been applied.
        """
        return self._caught_up.is_set()

    async def run(self) -> None:
        """
        Follow until cancelled.
        """
        while True:
            began = boot_time()
            try:
                page = await self._read_on()
            except StoreUnavailableError as error:
                self._reach.failed(str(error))
                await asyncio.sleep(_PAUSE)
                continue
            self._reach.answered()
            self._take(page, began)
            if page.records and self.caught_up:
                await asyncio.sleep(self._gather())

    async def sync(self) -> bool:
        """
        Apply everything that was in the log when this was called.

        Callers that wait for each other share reads: one that began after a call
        answers it as well.

        :returns: False if the store did not answer; then nothing is sure.
        """
        asked = boot_time()
        if not await self._replayed():
            return False
        async with self._syncing:
            while self._confirmed_at < asked:
                try:
                    began = boot_time()
                    self._take(await self._read(0.0, self._patience), began)
                except StoreUnavailableError:
                    return False
        return True

    async def _replayed(self) -> bool:
        """
        Wait a while for the first replay, which `run` makes.
        """
        try:
            async with asyncio.timeout(_REPLAY_PATIENCE):
                await self._caught_up.wait()
        except TimeoutError:
            return False
        return True

    async def _read_on(self) -> LogPage:
        if not self.caught_up:
            return await self._read(0.0, _PATIENCE_REPLAY)
        if not self.is_store_reachable:
            return await self._read(0.0, _PATIENCE_LOST)
        return await self._read(self._wait, self._patience)

    async def _read(self, wait: float, answer_timeout: float) -> LogPage:
        began = boot_time()
        try:
            page = await self._page(wait, answer_timeout)
        except StoreUnavailableError:
            self._page_size.failed()
            raise
        finally:
            self._asked_at = max(self._asked_at, began)
        self._page_size.answered()
        return page

    async def _page(self, wait: float, answer_timeout: float) -> LogPage:
        size = self._page_size.current
        try:
            return await self._log.read(
                self._stream, self._next, wait, size, answer_timeout
            )
        except LogTruncatedError as error:
            _log.warning("records_gone", stream=self._stream, first=error.first)
            # Another read may have gone on meanwhile.
            self._next = max(self._next, error.first)
            return await self._log.read(self._stream, self._next, 0.0, size)

    def _take(self, page: LogPage, began: float) -> None:
        for index, record in enumerate(page.records):
            offset = page.start + index
            # A second read may have brought it meanwhile.
            if offset >= self._next:
                self._next = offset + 1
                self._apply_record(offset, record)
        if self._next >= page.end:
            if not self.caught_up:
                self._log_caught_up()
            self._caught_up.set()
            # The answer may have been held up on its way, the question not.
            self._confirmed_at = max(self._confirmed_at, began)

    def _log_caught_up(self) -> None:
        _log.info(
            "caught_up",
            reading=self._stream,
            records=self._next,
            seconds=round(boot_time() - self._began, 3),
        )

    def _apply_record(self, offset: int, record: bytes) -> None:
        try:
            self._apply(offset, record)
        except UndecodableRecordError as error:
            self._skipped += 1
            _log.error(
                "record_skipped",
                topic=self._stream,
                offset=offset,
                reason=str(error),
            )


class RegistryFollower:
    """
    Applies the newest value of every key of a registry.

    :param apply: Called with each change that is newer than the key's last one.
    :param replaced: Called with the keys there are after all were read anew.
    :param reachable: Told when the store is lost (false) and regained (true).
    """

    def __init__(
        self,
        registry: Registry,
        name: str,
        apply: Callable[[KeyedEntry], None],
        replaced: Callable[[set[str]], None] = lambda keys: None,
        reachable: Callable[[bool], None] = _ignore,
    ) -> None:
        self._registry = registry
        self._name = name
        self._apply = apply
        self._replaced = replaced
        self._offsets: dict[str, int] = {}
        self._next: int | None = None
        self._known = False
        self._confirmed_at = float("-inf")
        self._skipped = 0
        self._reach = _Reachable(name, reachable)

    @property
    def synced_at(self) -> float:
        """
        When every change there was had been applied, monotonic, in seconds.
        """
        return self._confirmed_at

    @property
    def known(self) -> bool:
        """
        Whether all keys have been read at least once.
        """
        return self._known

    @property
    def skipped(self) -> int:
        """
        Changes that could not be used, a count.
        """
        return self._skipped

    async def run(self) -> None:
        """
        Follow until cancelled.
        """
        while True:
            began = boot_time()
            try:
                page = await self._page()
            except StoreUnavailableError as error:
                self._reach.failed(str(error))
                # Entries may lapse while nobody can read: look at all of them after.
                self._next = None
                await asyncio.sleep(_PAUSE)
                continue
            self._reach.answered()
            self._take(page)
            if page.is_end:
                self._confirmed_at = began
            if page.entries:
                await asyncio.sleep(_REGISTRY_GATHER)

    async def _page(self) -> KeyedPage:
        if self._next is None:
            return await self._registry.newest()
        try:
            return await self._registry.changes(self._next, _WAIT)
        except LogTruncatedError as error:
            _log.warning("records_gone", reading=self._name, first=error.first)
            return await self._registry.newest()

    def _take(self, page: KeyedPage) -> None:
        self._next = page.next_offset
        for entry in page.entries:
            # Pages of the newest values are no snapshot: they may run ahead.
            if entry.offset > self._offsets.get(entry.key, -1):
                self._offsets[entry.key] = entry.offset
                self._skipped += isinstance(entry.value, UnusableValue)
                self._apply(entry)
        if page.whole:
            self._known = True
            self._replaced({entry.key for entry in page.entries})
