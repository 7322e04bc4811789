# SPDX-License-Identifier: MIT

"""
Writes job records to the log in batches.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saddledoor import JobRecord, StoredText, encode_job_record

from ..ports import SharedLog
from .appending import append_until_acknowledged
from .texts import TextStore


__all__ = ["JOBS_STREAM", "RecordWriter"]

_log = structlog.get_logger()

#: The log stream of the job records.
JOBS_STREAM = "jobs"
#: Time for which records are collected for one batch, in seconds; far below the time
#: after which a trainer reads again (0.5 s).
_BATCH_DELAY = 0.02
#: Most records in one batch; a record without its text takes about 100 bytes.
_MAX_RECORDS = 1000
#: Text in a batch, in bytes, from which no further record is added; bounds how long the
#: first results wait for the others.
_MAX_TEXT = 1_000_000


@dataclass(frozen=True)
class _QueuedRecord:
    """
    A queued record.

    :param text: Its text, which is written first; empty for a record without one.
    :param make_record: Makes the record from the position of its text.
    :param on_written: Called when the log has acknowledged the record.
    :param regions: Regions to which the text is restricted; none without a restriction.
    """

    text: bytes
    make_record: Callable[[StoredText], JobRecord]
    on_written: Callable[[], None]
    regions: frozenset[str] | None


def _do_nothing() -> None:
    pass


def _encode(queued: _QueuedRecord, position: StoredText) -> bytes | None:
    """
    Encode a record; log and drop one that cannot be encoded, since the records of other
    items must not wait for it.
    """
    record = None
    try:
        record = queued.make_record(position)
        return encode_job_record(record)
    except Exception as error:
        _log.error("record_not_encoded", record=repr(record), exc_info=error)
        return None


class RecordWriter:
    """
    Appends queued records until the log acknowledges them.

    Readers ignore duplicates, so a record may be appended more than once.
    """

    def __init__(self, log: SharedLog, texts: TextStore) -> None:
        self._log = log
        self._texts = texts
        self._queue: list[_QueuedRecord] = []
        self._has_records = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def put(self, record: JobRecord) -> None:
        """
        Queue a record. The queue is bounded by the open jobs, as an item has one
        result.
        """
        self.put_with_text(b"", lambda _: record)

    def put_with_text(
        self,
        text: bytes,
        make_record: Callable[[StoredText], JobRecord],
        on_written: Callable[[], None] = _do_nothing,
        regions: frozenset[str] | None = None,
    ) -> None:
        """
        Queue a text and the record that refers to it.

        :param make_record: Makes the record from the position of its text.
        :param on_written: Called when the log has acknowledged the record.
        :param regions: Regions to which the text is restricted; none without a
            restriction.
        """
        self._queue.append(_QueuedRecord(text, make_record, on_written, regions))
        self._idle.clear()
        self._has_records.set()

    async def wait_until_flushed(self, timeout: float) -> bool:
        """
        Wait until the queue is written; return False after a timeout, in seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """
        Write queued records until cancelled.
        """
        while True:
            await self._has_records.wait()
            await asyncio.sleep(_BATCH_DELAY)
            batch = self._next_batch()
            positions = await self._write_texts(batch)
            encoded = [
                (queued, record)
                for queued, position in zip(batch, positions, strict=True)
                if (record := _encode(queued, position)) is not None
            ]
            if encoded:
                records = [record for _, record in encoded]
                await append_until_acknowledged(self._log, JOBS_STREAM, records)
            for queued, _ in encoded:
                queued.on_written()
            if not self._queue:
                self._idle.set()

    async def _write_texts(self, batch: list[_QueuedRecord]) -> list[StoredText]:
        """
        Write the texts of records, those of each set of regions together.
        """
        positions = [StoredText()] * len(batch)
        for regions in dict.fromkeys(queued.regions for queued in batch):
            chosen = [i for i, q in enumerate(batch) if q.regions == regions]
            written = await self._texts.write(
                [batch[index].text for index in chosen], regions=regions
            )
            for index, position in zip(chosen, written, strict=True):
                positions[index] = position
        return positions

    def _next_batch(self) -> list[_QueuedRecord]:
        count, size = 0, 0
        while count < min(len(self._queue), _MAX_RECORDS) and size < _MAX_TEXT:
            size += len(self._queue[count].text)
            count += 1
        batch, self._queue = self._queue[:count], self._queue[count:]
        if not self._queue:
            self._has_records.clear()
        return batch
