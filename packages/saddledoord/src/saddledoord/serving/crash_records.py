# SPDX-License-Identifier: MIT

"""
Appends the records of engine crashes to the log.
"""

from __future__ import annotations

import asyncio
from collections import deque

import structlog

from saddledoor import EngineCrashed, RequestsCleared, encode_record

from ..cluster.leases import CONTROL_STREAM
from ..jobs.appending import append_until_acknowledged
from ..ports import SharedLog


__all__ = ["CrashRecord", "CrashRecordWriter"]

_log = structlog.get_logger()

#: How long records are collected for one append, in seconds; all requests of an engine
#: are interrupted at nearly the same time.
_BATCH_DELAY = 0.02
#: Largest number of records in one append.
_MAX_RECORDS_PER_APPEND = 32
#: Largest number of records that wait for the store; the oldest are dropped first.
_MAX_PENDING_RECORDS = 256

CrashRecord = EngineCrashed | RequestsCleared


class CrashRecordWriter:
    """
    Queue of records that wait for the store.
    """

    def __init__(self, log: SharedLog) -> None:
        self._log = log
        self._pending = deque[CrashRecord](maxlen=_MAX_PENDING_RECORDS)
        self._has_pending = asyncio.Event()

    def put(self, record: CrashRecord) -> None:
        """
        Queue a record for the log.
        """
        if len(self._pending) == _MAX_PENDING_RECORDS:
            _log.warning("engine_ends_dropped", kept=_MAX_PENDING_RECORDS)
        self._pending.append(record)
        self._has_pending.set()

    async def run(self) -> None:
        """
        Append pending records to the log, until cancelled.
        """
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(_BATCH_DELAY)
            self._has_pending.clear()
            while self._pending:
                count = min(len(self._pending), _MAX_RECORDS_PER_APPEND)
                batch = [self._pending.popleft() for _ in range(count)]
                records = [encode_record(record).encode() for record in batch]
                await append_until_acknowledged(self._log, CONTROL_STREAM, records)
