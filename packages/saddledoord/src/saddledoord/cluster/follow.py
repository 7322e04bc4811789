# SPDX-License-Identifier: MIT

"""
Follows a stream or a registry of the store across outages.
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

#: How long a read waits at the store for new records, in seconds. An unavailable store
#: is noticed only after this wait and the answer timeout.
_READ_WAIT = 1.0
#: Part of the maximum age of what is known that is left for the store's answers, in
#: seconds.
_ANSWER_MARGIN = 0.5
#: Longest wait for a page while the stream is read for the first time (replay), in
#: seconds: all nodes may start at once and share the store's bandwidth, by which 70 of
#: them get 1 MB each in 0.9 s.
_REPLAY_ANSWER_TIMEOUT = 3.0
#: Longest wait for an answer while the store is unavailable, in seconds; short, so that
#: its return is noticed soon. A store that is slowed down 60 times takes 0.24 s.
_OUTAGE_ANSWER_TIMEOUT = 0.4
#: How long a caller waits for the replay of a stream, in seconds; callers wait for an
#: answer for a second or two.
_REPLAY_WAIT = 1.0
#: Pause after a failed read, in seconds.
_RETRY_PAUSE = 0.1
#: Pause before the next read if the store dropped the records of two reads in a row, in
#: seconds.
_TRUNCATED_PAUSE = 0.05
#: Pause after a change of a registry, in seconds, in which further changes are
#: collected: 39 engines write 32 entries a second, and each would end the waiting read
#: of every node. An engine that leaves serves for 2 s more.
_REGISTRY_BATCH_DELAY = 0.2


class _Reachability:
    """
    Tracks whether the store answers, and logs each change.
    """

    def __init__(self, name: str, on_change: Callable[[bool], None]) -> None:
        self._name = name
        self._on_change = on_change
        self._is_reachable = True

    @property
    def is_store_reachable(self) -> bool:
        return self._is_reachable

    def record_answer(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            _log.info("store_regained", reading=self._name)
            self._on_change(True)

    def record_failure(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            _log.warning("store_lost", reading=self._name, reason=reason)
            self._on_change(False)


def _ignore(_: bool) -> None:
    pass


def _no_delay() -> float:
    return 0.0


def _ignore_gap(first: int) -> None:
    pass


class LogFollower:
    """
    Applies the records of a stream in order, each of them once.

    A record that cannot be decoded is logged, counted and skipped, so that it does not
    block the records after it.

    :param apply: Called with each offset and record; raises `UndecodableRecordError`
        for a record that it cannot decode.
    :param on_reachable: Called with False when the store becomes unavailable, and with
        True when it answers again.
    :param wait: How long a read waits at the store for new records, in seconds.
    :param answer_timeout: Longest wait for an answer beyond that, in seconds.
    :param batch_delay: Returns the pause after new records, in seconds, in which
        further records are collected.
    :param on_truncated: Called with the offset of the oldest record that is left, when
        the log has dropped records before this follower read them.
    """

    def __init__(
        self,
        log: SharedLog,
        stream: str,
        apply: Callable[[int, bytes], None],
        on_reachable: Callable[[bool], None] = _ignore,
        wait: float = _READ_WAIT,
        answer_timeout: float = DEFAULT_ANSWER_TIMEOUT,
        batch_delay: Callable[[], float] = _no_delay,
        on_truncated: Callable[[int], None] = _ignore_gap,
    ) -> None:
        self._wait = wait
        self._batch_delay = batch_delay
        self._answer_timeout = answer_timeout
        self._log = log
        self._stream = stream
        self._apply = apply
        self._on_truncated = on_truncated
        self._next = 0
        self._skipped = 0
        self._page_size = PageSize(MAX_PAGE_BYTES)
        self._reachability = _Reachability(stream, on_reachable)
        self._caught_up = asyncio.Event()
        self._started_at = boot_time()
        self._sync_lock = asyncio.Lock()
        self._synced_at = float("-inf")
        self._last_read_at = float("-inf")

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read.
        """
        return self._reachability.is_store_reachable

    @property
    def next_offset(self) -> int:
        """
        Offset after the newest record that was applied.
        """
        return self._next

    @property
    def skipped(self) -> int:
        """
        Number of records that could not be decoded.
        """
        return self._skipped

    @property
    def synced_at(self) -> float:
        """
        When this node last had read all records of the stream, monotonic, in seconds.
        """
        return self._synced_at

    @property
    def last_read_at(self) -> float:
        """
        Start of the newest read that has ended, answered or not, monotonic, in
        seconds.
        """
        return self._last_read_at

    @property
    def caught_up(self) -> bool:
        """
        Whether all records that were in the log at the start have been applied.
        """
        return self._caught_up.is_set()

    async def run(self) -> None:
        """
        Follow until cancelled.
        """
        while True:
            started_at = boot_time()
            try:
                page = await self._read_next()
            except StoreUnavailableError as error:
                self._reachability.record_failure(str(error))
                await asyncio.sleep(_RETRY_PAUSE)
                continue
            self._reachability.record_answer()
            self._apply_page(page, started_at)
            if page.records and self.caught_up:
                await asyncio.sleep(self._batch_delay())

    async def sync(self) -> bool:
        """
        Apply all records that were in the log when this was called.

        Concurrent callers share reads: one read that starts after several calls is
        enough for all of them.

        :returns: False if the store did not answer.
        """
        called_at = boot_time()
        if not await self._wait_for_replay():
            return False
        async with self._sync_lock:
            while self._synced_at < called_at:
                try:
                    started_at = boot_time()
                    self._apply_page(
                        await self._read(0.0, self._answer_timeout), started_at
                    )
                except StoreUnavailableError:
                    return False
        return True

    async def _wait_for_replay(self) -> bool:
        """
        Wait for the replay, which `run` performs; return False if it takes too long.
        """
        try:
            async with asyncio.timeout(_REPLAY_WAIT):
                await self._caught_up.wait()
        except TimeoutError:
            return False
        return True

    async def _read_next(self) -> LogPage:
        if not self.caught_up:
            return await self._read(0.0, _REPLAY_ANSWER_TIMEOUT)
        if not self.is_store_reachable:
            return await self._read(0.0, _OUTAGE_ANSWER_TIMEOUT)
        return await self._read(self._wait, self._answer_timeout)

    async def _read(self, wait: float, answer_timeout: float) -> LogPage:
        started_at = boot_time()
        try:
            page = await self._page(wait, answer_timeout)
        except StoreUnavailableError:
            self._page_size.failed()
            raise
        finally:
            self._last_read_at = max(self._last_read_at, started_at)
        self._page_size.answered()
        return page

    async def _page(self, wait: float, answer_timeout: float) -> LogPage:
        """
        Read from the next record on; from the oldest one that is left if the log has
        dropped the next one, as often as it does so.
        """
        size = self._page_size.current
        failures = 0
        while True:
            try:
                return await self._log.read(
                    self._stream,
                    self._next,
                    0.0 if failures else wait,
                    size,
                    answer_timeout,
                )
            except LogTruncatedError as error:
                self._skip_to(error.first)
                if not failures:
                    _log.warning("records_gone", stream=self._stream, first=error.first)
                else:
                    await asyncio.sleep(_TRUNCATED_PAUSE)
                failures += 1

    def _skip_to(self, first: int) -> None:
        # A concurrent read may have advanced meanwhile; then there is no gap.
        if first > self._next:
            self._next = first
            self._on_truncated(first)

    def _apply_page(self, page: LogPage, started_at: float) -> None:
        for index, record in enumerate(page.records):
            offset = page.start + index
            # A concurrent read may have applied it already.
            if offset >= self._next:
                self._next = offset + 1
                self._apply_record(offset, record)
        if self._next >= page.end:
            if not self.caught_up:
                self._log_caught_up()
            self._caught_up.set()
            # The start of the read counts: its answer may have been delayed.
            self._synced_at = max(self._synced_at, started_at)

    def _log_caught_up(self) -> None:
        _log.info(
            "caught_up",
            reading=self._stream,
            records=self._next,
            seconds=round(boot_time() - self._started_at, 3),
        )

    def _apply_record(self, offset: int, record: bytes) -> None:
        try:
            self._apply(offset, record)
        except UndecodableRecordError as error:
            self._skip(offset, str(error))
        except Exception as error:
            # Every node would fail at this record, at each start again.
            self._skip(offset, repr(error), exc_info=error)

    def _skip(self, offset: int, reason: str, **context: object) -> None:
        self._skipped += 1
        _log.error(
            "record_skipped",
            topic=self._stream,
            offset=offset,
            reason=reason,
            **context,
        )


class RegistryFollower:
    """
    Applies the newest value of every key of a registry.

    :param apply: Called with each change that is newer than the key's last one.
    :param on_reload: Called with the existing keys after all keys have been read.
    :param on_reachable: Called with False when the store becomes unavailable, and with
        True when it answers again.
    :param max_age: Returns the age up to which what is known is used, in seconds;
        infinite for any age. Reads wait at the store for less time if it is short, and
        not at all after it.
    """

    def __init__(
        self,
        registry: Registry,
        name: str,
        apply: Callable[[KeyedEntry], None],
        on_reload: Callable[[set[str]], None] = lambda keys: None,
        on_reachable: Callable[[bool], None] = _ignore,
        max_age: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        self._max_age = max_age
        self._last_read_at = float("-inf")
        self._registry = registry
        self._name = name
        self._apply = apply
        self._on_reload = on_reload
        self._offsets: dict[str, int] = {}
        self._next: int | None = None
        self._is_loaded = False
        self._synced_at = float("-inf")
        self._skipped = 0
        self._reachability = _Reachability(name, on_reachable)

    @property
    def synced_at(self) -> float:
        """
        When this node last had read all changes of the registry, monotonic, in
        seconds.
        """
        return self._synced_at

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read.
        """
        return self._reachability.is_store_reachable

    @property
    def last_read_at(self) -> float:
        """
        Start of the newest read that has ended, answered or not, monotonic, in
        seconds.
        """
        return self._last_read_at

    @property
    def is_loaded(self) -> bool:
        """
        Whether all keys have been read at least once.
        """
        return self._is_loaded

    @property
    def skipped(self) -> int:
        """
        Number of changes that could not be used.
        """
        return self._skipped

    async def run(self) -> None:
        """
        Follow until cancelled.
        """
        while True:
            started_at = boot_time()
            try:
                page = await self._page()
            except StoreUnavailableError as error:
                self._last_read_at = started_at
                self._reachability.record_failure(str(error))
                # Entries may expire unseen during an outage: read all of them after it.
                self._next = None
                await asyncio.sleep(_RETRY_PAUSE)
                continue
            self._last_read_at = started_at
            self._reachability.record_answer()
            self._apply_page(page)
            if page.is_end:
                self._synced_at = started_at
            if page.entries:
                await asyncio.sleep(_REGISTRY_BATCH_DELAY)

    async def _page(self) -> KeyedPage:
        if self._next is None:
            return await self._registry.newest()
        try:
            return await self._registry.changes(self._next, self._read_wait())
        except LogTruncatedError as error:
            _log.warning("records_gone", reading=self._name, first=error.first)
            return await self._registry.newest()

    def _read_wait(self) -> float:
        """
        Return how long the next read may wait at the store, in seconds.
        """
        max_age = self._max_age()
        if boot_time() - self._synced_at > max_age:
            return 0.0
        # Until a read ends, what is known is as old as the start of the one before.
        return min(_READ_WAIT, max(0.0, max_age - _ANSWER_MARGIN) / 2)

    def _apply_page(self, page: KeyedPage) -> None:
        self._next = page.next_offset
        for entry in page.entries:
            # A page of newest values is no snapshot: later changes may be among them.
            if entry.offset > self._offsets.get(entry.key, -1):
                self._offsets[entry.key] = entry.offset
                self._skipped += isinstance(entry.value, UnusableValue)
                self._apply_entry(entry)
        if page.whole:
            self._is_loaded = True
            self._on_reload({entry.key for entry in page.entries})

    def _apply_entry(self, entry: KeyedEntry) -> None:
        try:
            self._apply(entry)
        except Exception as error:
            # Contained to this key, whose next change is applied again.
            self._skipped += 1
            _log.error(
                "entry_skipped",
                reading=self._name,
                key=entry.key,
                offset=entry.offset,
                exc_info=error,
            )
