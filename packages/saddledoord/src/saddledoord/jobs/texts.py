# SPDX-License-Identifier: MIT

"""
Stores the texts of results and the items of jobs in a stream of their own.

Every node reads all records of jobs, but reads a text only when a caller asks for it or
an engine is to resume it. Here a text is any bytes that a job record refers to: the
text of a result, a part of it, or the items of a job.
"""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain

import structlog

from saddledoor import PageSize, StoredText

from .._clock import boot_time
from ..ports import LogPage, LogTruncatedError, SharedLog, StoreUnavailableError
from .appending import append_until_acknowledged


__all__ = ["TextStore"]

_log = structlog.get_logger()

#: The log stream of the texts.
TEXTS_STREAM = "texts"
#: Largest page of one read, in bytes; `PageSize` lowers it for a slow link.
_MAX_PAGE = 262_144
#: Size of the cache of texts, in bytes.
_CACHE_SIZE = 2_000_000


@dataclass(eq=False)
class _PageRequest:
    """
    A caller that needs a record.

    :param page: A page with the record, read since the request began.
    """

    offset: int
    page: LogPage | None = None


class TextStore:
    """
    Writes texts to the log and reads them back, with a cache.

    :param largest_record: Largest record of the log, in bytes.
    :param largest_append: Largest append to the log, in bytes.
    """

    def __init__(
        self, log: SharedLog, largest_record: int, largest_append: int
    ) -> None:
        self._log = log
        self._largest_record = largest_record
        self._records_per_append = max(1, largest_append // largest_record - 1)
        self._cache: OrderedDict[int, bytes] = OrderedDict()
        self._cached_size = 0
        self._read_lock = asyncio.Lock()
        self._page_requests: set[_PageRequest] = set()
        self._page_size = PageSize(_MAX_PAGE)
        self._failed_at = float("-inf")

    async def write(
        self, texts: Sequence[bytes], deadline: float = math.inf
    ) -> list[StoredText]:
        """
        Write texts, with retries until the log acknowledges them.

        :param deadline: Time after which no retry starts, monotonic, in seconds.
        :returns: The position of each text.
        :raises StoreUnavailableError: If the log has not acknowledged them by the
            deadline.
        """
        split = [self._split(text) for text in texts]
        pieces = list(chain.from_iterable(split))
        offsets = iter(await self._append(pieces, deadline))
        return [
            StoredText(tuple(next(offsets) for _ in pieces), len(text))
            for text, pieces in zip(texts, split, strict=True)
        ]

    async def read(self, texts: Sequence[StoredText]) -> list[bytes]:
        """
        Return the data of texts.

        :raises StoreUnavailableError: If one cannot be read now.
        """
        wanted = sorted({offset for text in texts for offset in text.offsets})
        found = {o: self._cache[o] for o in wanted if o in self._cache}
        requested_at = boot_time()
        for offset in wanted:
            if offset not in found:
                await self._read_page(offset, requested_at, found)
        return [b"".join(found[o] for o in text.offsets) for text in texts]

    async def read_first(
        self, texts: Sequence[StoredText], deadline: float
    ) -> list[bytes]:
        """
        Return the texts that are read in time, from the first one on; at least one.

        The texts of a job may be spread over more pages than one call can read before
        its caller times out.

        :param deadline: Time after which no further page is read, monotonic, in
            seconds.
        :raises StoreUnavailableError: If the first text cannot be read now.
        """
        read: list[bytes] = []
        found: dict[int, bytes] = {}
        requested_at = boot_time()
        for text in texts:
            missing = [o for o in text.offsets if not self._is_known(o, found)]
            if read and missing and boot_time() >= deadline:
                break
            try:
                for offset in missing:
                    if offset not in found:
                        await self._read_page(offset, requested_at, found)
            except StoreUnavailableError as error:
                if not read:
                    raise
                _log.info("texts_read_in_part", read=len(read), reason=str(error))
                break
            read.append(b"".join(found[o] for o in text.offsets))
        return read

    def _is_known(self, offset: int, found: dict[int, bytes]) -> bool:
        """
        Whether a record is known; copies a cached one, since the cache may evict it.
        """
        if offset not in found and offset in self._cache:
            found[offset] = self._cache[offset]
        return offset in found

    def _split(self, text: bytes) -> list[bytes]:
        size = self._largest_record
        return [text[i : i + size] for i in range(0, len(text), size)]

    async def _append(self, pieces: list[bytes], deadline: float) -> list[int]:
        offsets: list[int] = []
        for begin in range(0, len(pieces), self._records_per_append):
            group = pieces[begin : begin + self._records_per_append]
            done = await append_until_acknowledged(
                self._log, TEXTS_STREAM, group, deadline
            )
            for index, piece in enumerate(group):
                self._add_to_cache(done.offset + index, piece)
                offsets.append(done.offset + index)
        return offsets

    async def _read_page(
        self, offset: int, requested_at: float, found: dict[int, bytes]
    ) -> None:
        """
        Read a page of records from an offset on.

        :param requested_at: When the caller's request began, monotonic, in seconds; a
            read of another caller that failed since then counts for it as well.
        :raises StoreUnavailableError: If the record at the offset cannot be read now.
        """
        request = _PageRequest(offset)
        self._page_requests.add(request)
        try:
            async with self._read_lock:
                # The cache may have evicted a page that another caller read during the
                # wait, if the callers read more than it holds.
                page = request.page
                if page is None and offset in self._cache:
                    found[offset] = self._cache[offset]
                    return
                if page is None:
                    page = await self._fetch_page(offset, requested_at)
        finally:
            self._page_requests.discard(request)
        found.update(enumerate(page.records, page.start))
        if offset not in found:
            raise StoreUnavailableError(f"no text at offset {offset}")

    async def _fetch_page(self, offset: int, requested_at: float) -> LogPage:
        """
        Read a page for all callers that wait for one of its records.

        :raises StoreUnavailableError: If the record at the offset cannot be read now.
        """
        if self._failed_at > requested_at:
            raise StoreUnavailableError("a concurrent read of texts failed")
        try:
            page = await self._log.read(
                TEXTS_STREAM, offset, max_bytes=self._page_size.current
            )
        except LogTruncatedError as error:
            _log.error("text_gone", offset=offset, first=error.first)
            raise StoreUnavailableError(
                f"text {offset} was dropped from the log"
            ) from None
        except StoreUnavailableError:
            self._failed_at = boot_time()
            self._page_size.failed()
            raise
        self._page_size.answered()
        for index, record in enumerate(page.records, page.start):
            self._add_to_cache(index, record)
        for request in self._page_requests:
            if 0 <= request.offset - page.start < len(page.records):
                request.page = page
        return page

    def _add_to_cache(self, offset: int, record: bytes) -> None:
        if offset in self._cache:
            return
        self._cache[offset] = record
        self._cached_size += len(record)
        while self._cached_size > _CACHE_SIZE:
            _, oldest = self._cache.popitem(last=False)
            self._cached_size -= len(oldest)
