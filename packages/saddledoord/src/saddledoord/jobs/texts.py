# SPDX-License-Identifier: MIT

"""
Texts of results and items of jobs, apart from the records that every node reads.

A node reads a text only if it is asked for it or goes on with it. Otherwise every node
would read all texts, and after a loss of all nodes they would do so at once.
"""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import Sequence
from itertools import chain

import structlog

from saddledoor import PageSize, StoredText

from .._clock import boot_time
from ..ports import LogTruncatedError, SharedLog, StoreUnavailableError
from .appending import append_until_acknowledged


__all__ = ["TextStore"]

_log = structlog.get_logger()

#: The stream that holds the texts.
TEXTS_STREAM = "texts"
#: Most that one read brings, in bytes: a second's texts of one trainer are 200 KB. A
#: link that brings less than 0.6 MB a second is asked for less: while other calls are
#: answered, a read is given up after 0.4 s.
_PAGE = 262_144
#: Most bytes of texts that are remembered: what a trainer's last two steps made.
_REMEMBERED = 2_000_000


class TextStore:
    """
    Writes texts, and reads them back for those who ask.

    :param largest_record: Largest record of the log, in bytes.
    :param largest_append: Largest append to the log, in bytes.
    """

    def __init__(
        self, log: SharedLog, largest_record: int, largest_append: int
    ) -> None:
        self._log = log
        self._largest_record = largest_record
        self._records_at_once = max(1, largest_append // largest_record - 1)
        self._remembered: OrderedDict[int, bytes] = OrderedDict()
        self._size = 0
        self._reading = asyncio.Lock()
        self._page_size = PageSize(_PAGE)
        self._failed_at = float("-inf")

    async def write(
        self, texts: Sequence[bytes], deadline: float = math.inf
    ) -> list[StoredText]:
        """
        Write texts, again and again until the log has them.

        :param deadline: When no further try begins, monotonic, in seconds.
        :raises StoreUnavailableError: If the log has not acknowledged them by then.
        """
        cut = [self._cut(text) for text in texts]
        pieces = list(chain.from_iterable(cut))
        offsets = iter(await self._append(pieces, deadline))
        return [
            StoredText(tuple(next(offsets) for _ in pieces), len(text))
            for text, pieces in zip(texts, cut, strict=True)
        ]

    async def read(self, texts: Sequence[StoredText]) -> list[bytes]:
        """
        Read texts back.

        :raises StoreUnavailableError: If one cannot be had now.
        """
        wanted = sorted({offset for text in texts for offset in text.offsets})
        found = {o: self._remembered[o] for o in wanted if o in self._remembered}
        asked = boot_time()
        for offset in wanted:
            if offset not in found:
                await self._read_from(offset, asked, found)
        return [b"".join(found[o] for o in text.offsets) for text in texts]

    async def read_first(
        self, texts: Sequence[StoredText], deadline: float
    ) -> list[bytes]:
        """
        Read back as many texts as come in time, from the first one on; at least one.

        A job's texts stand among those of other jobs: 80 texts of 6.5 KB in 6.1 MB took
        20 pages and 1.6 s at 3 MB a second, and a caller that left after 1.5 s and went
        to another node had none of them, however often it asked.

        :param deadline: When no further page is read, monotonic, in seconds.
        :raises StoreUnavailableError: If the first one cannot be had now.
        """
        read: list[bytes] = []
        found: dict[int, bytes] = {}
        asked = boot_time()
        for text in texts:
            missing = [o for o in text.offsets if not self._have(o, found)]
            if read and missing and boot_time() >= deadline:
                break
            try:
                for offset in missing:
                    if offset not in found:
                        await self._read_from(offset, asked, found)
            except StoreUnavailableError as error:
                if not read:
                    raise
                _log.info("texts_read_in_part", read=len(read), reason=str(error))
                break
            read.append(b"".join(found[o] for o in text.offsets))
        return read

    def _have(self, offset: int, found: dict[int, bytes]) -> bool:
        """
        Tell whether a record needs no read, and keep it for as long as it is wanted.
        """
        if offset not in found and offset in self._remembered:
            found[offset] = self._remembered[offset]
        return offset in found

    def _cut(self, text: bytes) -> list[bytes]:
        size = self._largest_record
        return [text[i : i + size] for i in range(0, len(text), size)]

    async def _append(self, pieces: list[bytes], deadline: float) -> list[int]:
        offsets: list[int] = []
        for begin in range(0, len(pieces), self._records_at_once):
            group = pieces[begin : begin + self._records_at_once]
            done = await append_until_acknowledged(
                self._log, TEXTS_STREAM, group, deadline
            )
            for index, piece in enumerate(group):
                self._remember(done.offset + index, piece)
                offsets.append(done.offset + index)
        return offsets

    async def _read_from(
        self, offset: int, asked: float, found: dict[int, bytes]
    ) -> None:
        """
        Read a page of records, the first of which is wanted.
        """
        async with self._reading:
            # Another reader may have brought it, or may have waited in vain.
            if offset in self._remembered:
                found[offset] = self._remembered[offset]
                return
            if self._failed_at > asked:
                raise StoreUnavailableError("another read of texts failed just now")
            try:
                page = await self._log.read(
                    TEXTS_STREAM, offset, max_bytes=self._page_size.current
                )
            except LogTruncatedError as error:
                _log.error("text_gone", offset=offset, first=error.first)
                raise StoreUnavailableError(f"text {offset} is gone") from None
            except StoreUnavailableError:
                self._failed_at = boot_time()
                self._page_size.failed()
                raise
            self._page_size.answered()
        for index, record in enumerate(page.records):
            found[offset + index] = record
            self._remember(offset + index, record)
        if offset not in found:
            raise StoreUnavailableError(f"no text at offset {offset}")

    def _remember(self, offset: int, record: bytes) -> None:
        if offset in self._remembered:
            return
        self._remembered[offset] = record
        self._size += len(record)
        while self._size > _REMEMBERED:
            _, oldest = self._remembered.popitem(last=False)
            self._size -= len(oldest)
