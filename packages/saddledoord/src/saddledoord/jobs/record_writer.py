# SPDX-License-Identifier: MIT

"""
Brings job records into the log, many in one append.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from saddledoor import JobRecord, StoredText, encode_job_record

from ..ports import SharedLog
from .appending import append_until_acknowledged
from .texts import TextStore


__all__ = ["JOBS_STREAM", "RecordWriter"]

#: The stream that holds every job.
JOBS_STREAM = "jobs"
#: How long records are gathered for one append, in seconds: a tenth of the least time
#: that a trainer's read takes to come back (0.5 s), and then some.
_GATHER = 0.02
#: Most records in one append, a count: one without its text takes about 100 bytes, or
#: some hundred more for each piece of a long text.
_MOST_RECORDS = 1000
#: Most bytes of texts in one batch, so that the first results need not wait for all.
_MOST_TEXT = 1_000_000


@dataclass(frozen=True)
class _Waiting:
    """
    A record to be written.

    :param text: Written first; empty for a record without one.
    :param record_of: Makes the record from the place of its text.
    :param written: Called when the log has it.
    """

    text: bytes
    record_of: Callable[[StoredText], JobRecord]
    written: Callable[[], None]


def _nothing() -> None:
    pass


class RecordWriter:
    """
    Appends until the log has acknowledged; the fold ignores what comes twice.
    """

    def __init__(self, log: SharedLog, texts: TextStore) -> None:
        self._log = log
        self._texts = texts
        self._waiting: list[_Waiting] = []
        self._some = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def put(self, record: JobRecord) -> None:
        """
        Queue a record; bounded by the open jobs, since an item has one result.
        """
        self.put_with_text(b"", lambda _: record)

    def put_with_text(
        self,
        text: bytes,
        record_of: Callable[[StoredText], JobRecord],
        written: Callable[[], None] = _nothing,
    ) -> None:
        """
        Queue a text, and the record that tells where it is.

        :param written: Called when the log has it.
        """
        self._waiting.append(_Waiting(text, record_of, written))
        self._idle.clear()
        self._some.set()

    async def flushed(self, timeout: float) -> bool:
        """
        Wait until everything queued is in the log, for so many seconds at most.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """
        Write until cancelled.
        """
        while True:
            await self._some.wait()
            await asyncio.sleep(_GATHER)
            batch = self._take()
            places = await self._texts.write([waiting.text for waiting in batch])
            records = [
                encode_job_record(waiting.record_of(place))
                for waiting, place in zip(batch, places, strict=True)
            ]
            await append_until_acknowledged(self._log, JOBS_STREAM, records)
            for waiting in batch:
                waiting.written()
            if not self._waiting:
                self._idle.set()

    def _take(self) -> list[_Waiting]:
        count, size = 0, 0
        while count < min(len(self._waiting), _MOST_RECORDS) and size < _MOST_TEXT:
            size += len(self._waiting[count].text)
            count += 1
        batch, self._waiting = self._waiting[:count], self._waiting[count:]
        if not self._waiting:
            self._some.clear()
        return batch
