# SPDX-License-Identifier: MIT

"""
Stores the texts of results and the items of jobs in streams of their own.

One stream holds the texts that may be read everywhere. Each set of regions to which
texts are restricted has a stream of its own, so that a page holds no other texts.

Every node reads all records of jobs, but reads a text only when a caller asks for it or
an engine is to resume it. Here a text is any bytes that a job record refers to: the
text of a result, a part of it, or the items of a job.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import chain

import structlog

from saddledoor import PageSize, StoredText

from .._clock import boot_time
from ..ports import LogTruncatedError, SharedLog, StoreUnavailableError
from .appending import append_until_acknowledged


__all__ = ["TextStore", "text_stream"]

_log = structlog.get_logger()

#: The log stream of the texts without a restriction.
TEXTS_STREAM = "texts"
#: Size of the digest in the names of the other streams, in bytes.
_DIGEST_SIZE = 8
#: Largest page of one read, in bytes; the texts of one trainer take 200 KB a second.
#: `PageSize` lowers it for a slow link, since an overdue read is cancelled after 0.4 s.
_MAX_PAGE = 262_144
#: Size of the cache of texts, in bytes; holds those of a trainer's last two steps.
_CACHE_SIZE = 2_000_000


#: Stream and offset of a record.
_Position = tuple[str, int]


def text_stream(regions: tuple[str, ...] | None) -> str:
    """
    Return the name of the stream of the texts that are restricted to regions.

    :param regions: Sorted; none for texts without a restriction.
    """
    if regions is None:
        return TEXTS_STREAM
    names = "\n".join(regions).encode()
    digest = hashlib.blake2b(names, digest_size=_DIGEST_SIZE).hexdigest()
    return f"{TEXTS_STREAM}/{digest}"


def _no_region() -> str:
    return ""


@dataclass(eq=False)
class _PageRequest:
    """
    A caller that needs a record.

    :param page: The records of a page with this one, read since the request began.
    """

    position: _Position
    page: dict[_Position, bytes] | None = None


class TextStore:
    """
    Writes texts to the log and reads them back, with a cache.

    A VM outside the regions of a text reads only the records of that text: a page would
    bring it other texts.

    :param largest_record: Largest record of the log, in bytes.
    :param largest_append: Largest append to the log, in bytes.
    :param own_region: Returns the region of this VM; empty if it is unknown.
    """

    def __init__(
        self,
        log: SharedLog,
        largest_record: int,
        largest_append: int,
        own_region: Callable[[], str] = _no_region,
    ) -> None:
        self._own_region = own_region
        self._log = log
        self._largest_record = largest_record
        self._records_per_append = max(1, largest_append // largest_record - 1)
        self._cache: OrderedDict[_Position, bytes] = OrderedDict()
        self._cached_size = 0
        self._read_lock = asyncio.Lock()
        self._page_requests: set[_PageRequest] = set()
        self._page_size = PageSize(_MAX_PAGE)
        self._failed_at = float("-inf")

    async def write(
        self,
        texts: Sequence[bytes],
        deadline: float = math.inf,
        regions: frozenset[str] | None = None,
    ) -> list[StoredText]:
        """
        Write texts, with retries until the log acknowledges them.

        :param deadline: Time after which no retry starts, monotonic, in seconds.
        :param regions: Regions to which the texts are restricted; none without a
            restriction.
        :returns: The position of each text.
        :raises StoreUnavailableError: If the log has not acknowledged them by the
            deadline.
        """
        split = [self._split(text) for text in texts]
        pieces = list(chain.from_iterable(split))
        names = None if regions is None else tuple(sorted(regions))
        offsets = iter(await self._append(text_stream(names), pieces, deadline))
        return [
            StoredText(tuple(next(offsets) for _ in pieces), len(text), names)
            for text, pieces in zip(texts, split, strict=True)
        ]

    async def read(self, texts: Sequence[StoredText]) -> list[bytes]:
        """
        Return the data of texts.

        :raises StoreUnavailableError: If one cannot be read now.
        """
        wanted = {position: text for text in texts for position in _positions(text)}
        found = {p: self._cache[p] for p in wanted if p in self._cache}
        requested_at = boot_time()
        for position in sorted(wanted):
            if position not in found:
                size = self._page_limit(wanted[position])
                await self._read_page(position, size, requested_at, found)
        return [b"".join(found[p] for p in _positions(text)) for text in texts]

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
        found: dict[_Position, bytes] = {}
        requested_at = boot_time()
        for text in texts:
            positions = _positions(text)
            missing = [p for p in positions if not self._is_known(p, found)]
            if read and missing and boot_time() >= deadline:
                break
            try:
                for position in missing:
                    if position not in found:
                        size = self._page_limit(text)
                        await self._read_page(position, size, requested_at, found)
            except StoreUnavailableError as error:
                if not read:
                    raise
                _log.info("texts_read_in_part", read=len(read), reason=str(error))
                break
            read.append(b"".join(found[p] for p in positions))
        return read

    def _is_known(self, position: _Position, found: dict[_Position, bytes]) -> bool:
        """
        Whether a record is known; copies a cached one, since the cache may evict it.
        """
        if position not in found and position in self._cache:
            found[position] = self._cache[position]
        return position in found

    def _page_limit(self, text: StoredText) -> int | None:
        """
        Return the size of a page that holds one record of a text, in bytes; None if a
        page may hold other texts.

        It is not above the size of any of the text's records; a page always holds one.
        """
        if text.regions is None or self._own_region() in text.regions:
            return None
        count = len(text.offsets)
        last = text.size - (count - 1) * self._largest_record
        return max(1, min(text.size // count, last))

    def _split(self, text: bytes) -> list[bytes]:
        size = self._largest_record
        return [text[i : i + size] for i in range(0, len(text), size)]

    async def _append(
        self, stream: str, pieces: list[bytes], deadline: float
    ) -> list[int]:
        offsets: list[int] = []
        for begin in range(0, len(pieces), self._records_per_append):
            group = pieces[begin : begin + self._records_per_append]
            done = await append_until_acknowledged(self._log, stream, group, deadline)
            for index, piece in enumerate(group):
                self._add_to_cache((stream, done.offset + index), piece)
                offsets.append(done.offset + index)
        return offsets

    async def _read_page(
        self,
        position: _Position,
        page_limit: int | None,
        requested_at: float,
        found: dict[_Position, bytes],
    ) -> None:
        """
        Read a page of records from a position on.

        :param page_limit: See `_page_limit`.
        :param requested_at: When the caller's request began, monotonic, in seconds; a
            read of another caller that failed since then counts for it as well.
        :raises StoreUnavailableError: If the record at the offset cannot be read now.
        """
        request = _PageRequest(position)
        self._page_requests.add(request)
        try:
            async with self._read_lock:
                # The cache may have evicted a page that another caller read during the
                # wait, if the callers read more than it holds.
                page = request.page
                if page is None and position in self._cache:
                    found[position] = self._cache[position]
                    return
                if page is None:
                    page = await self._fetch_page(position, requested_at, page_limit)
        finally:
            self._page_requests.discard(request)
        found.update(page)
        if position not in found:
            raise StoreUnavailableError(f"no text at offset {position[1]}")

    async def _fetch_page(
        self, position: _Position, requested_at: float, page_limit: int | None
    ) -> dict[_Position, bytes]:
        """
        Read a page for all callers that wait for one of its records.

        :raises StoreUnavailableError: If the record at the position cannot be read now.
        """
        stream, offset = position
        if self._failed_at > requested_at:
            raise StoreUnavailableError("a concurrent read of texts failed")
        try:
            page = await self._log.read(
                stream, offset, max_bytes=page_limit or self._page_size.current
            )
        except LogTruncatedError as error:
            _log.error("text_gone", stream=stream, offset=offset, first=error.first)
            raise StoreUnavailableError(
                f"text {offset} was dropped from the log"
            ) from None
        except StoreUnavailableError:
            self._failed_at = boot_time()
            self._page_size.failed()
            raise
        if page_limit is None:
            self._page_size.answered()
        # A store that ignores the limit of the page must not fill the cache with texts
        # that nobody asked for.
        records = page.records if page_limit is None else page.records[:1]
        read = {(stream, offset + i): record for i, record in enumerate(records)}
        for read_position, record in read.items():
            self._add_to_cache(read_position, record)
        for request in self._page_requests:
            if request.position in read:
                request.page = read
        return read

    def _add_to_cache(self, position: _Position, record: bytes) -> None:
        if position in self._cache:
            return
        self._cache[position] = record
        self._cached_size += len(record)
        while self._cached_size > _CACHE_SIZE:
            _, oldest = self._cache.popitem(last=False)
            self._cached_size -= len(oldest)


def _positions(text: StoredText) -> list[_Position]:
    stream = text_stream(text.regions)
    return [(stream, offset) for offset in text.offsets]
