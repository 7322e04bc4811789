# SPDX-License-Identifier: MIT

"""
Brings job records into the log, many in one append.
"""

from __future__ import annotations

import asyncio

import structlog

from saddledoor import JobRecord, encode_job_record

from ..ports import Appended, SharedLog


__all__ = ["JOBS_STREAM", "RecordWriter"]

_log = structlog.get_logger()

#: The stream that holds every job.
JOBS_STREAM = "jobs"
#: Largest append, in bytes; the platform takes 2 MB.
_MOST_BYTES = 1_000_000
#: How long records are gathered for one append, in seconds: a tenth of the least time
#: that a trainer's read takes to come back (0.5 s), and then some.
_GATHER = 0.02
#: Pause after an append that was not done for sure, in seconds.
_PAUSE = 0.1


class RecordWriter:
    """
    Appends until the log has acknowledged; the fold ignores what comes twice.
    """

    def __init__(self, log: SharedLog) -> None:
        self._log = log
        self._waiting: list[bytes] = []
        self._some = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    def put(self, record: JobRecord) -> None:
        """
        Queue a record; bounded by the open jobs, since an item has one result.
        """
        self._waiting.append(encode_job_record(record))
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
            outcome = await self._log.append(JOBS_STREAM, batch)
            while not isinstance(outcome, Appended):
                _log.warning(
                    "records_not_written", records=len(batch), reason=outcome.reason
                )
                await asyncio.sleep(_PAUSE)
                outcome = await self._log.append(JOBS_STREAM, batch)
            if not self._waiting:
                self._idle.set()

    def _take(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._waiting and size < _MOST_BYTES:
            size += len(self._waiting[0])
            batch.append(self._waiting.pop(0))
        if not self._waiting:
            self._some.clear()
        return batch
