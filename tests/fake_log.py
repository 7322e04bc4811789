# SPDX-License-Identifier: MIT

"""
Logs in memory: of the users' platform, and of our own deployments.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence

from saddledoor import Record
from saddledoord.log.client import LoggedRecord, LogUnavailableError
from saddledoord.log.client import LogPage as LogClientPage
from saddledoord.ports import (
    DEFAULT_ANSWER_TIMEOUT,
    MAX_PAGE_BYTES,
    Appended,
    AppendOutcomeUnknown,
    LogPage,
    LogTruncatedError,
    NotAppended,
    StoreUnavailableError,
)


__all__ = ["FakeLog", "FakeLogClient"]


class FakeLog:
    """
    Streams of records, with injected failures.

    :param largest_record: Largest accepted record, in bytes.
    :ivar lose_answers: Number of further appends that take effect but are not answered.
    :ivar unreachable: Whether reads and appends fail without an effect.
    :ivar appends: All records of attempted appends.
    :ivar reads: Number of reads by stream.
    :ivar first: Offset of the oldest record that is left, by stream.
    """

    def __init__(self, largest_record: int = 1000) -> None:
        self.records: defaultdict[str, list[bytes]] = defaultdict(list)
        self.reads: defaultdict[str, int] = defaultdict(int)
        self.first: defaultdict[str, int] = defaultdict(int)
        self.appends: list[bytes] = []
        self.lose_answers = 0
        self.unreachable = False
        self._largest_record = largest_record

    def drop(self, stream: str) -> None:
        """
        Drop all records of a stream; offsets continue.
        """
        self.first[stream] = len(self.records[stream])

    async def append(
        self,
        stream: str,
        records: Sequence[bytes],
        answer_timeout: float = 1.5,
        expected_end: int | None = None,
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        assert records
        assert all(len(record) <= self._largest_record for record in records)
        self.appends += records
        await asyncio.sleep(0)
        if self.unreachable:
            return AppendOutcomeUnknown("away")
        offset = len(self.records[stream])
        if expected_end not in (None, offset):
            return NotAppended("the stream has another end")
        self.records[stream] += records
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return AppendOutcomeUnknown("no answer")
        return Appended(offset)

    async def read(
        self,
        stream: str,
        start: int,
        wait: float = 0.0,
        max_bytes: int = MAX_PAGE_BYTES,
        answer_timeout: float = DEFAULT_ANSWER_TIMEOUT,
    ) -> LogPage:
        self.reads[stream] += 1
        # A read waits for its whole time if there is no record, whatever is appended.
        end = len(self.records[stream])
        await asyncio.sleep(wait if start >= end else 0)
        if self.unreachable:
            raise StoreUnavailableError("away")
        if start < self.first[stream]:
            raise LogTruncatedError(self.first[stream])
        chosen: list[bytes] = []
        for record in self.records[stream][start:]:
            if chosen and sum(map(len, chosen)) + len(record) > max_bytes:
                break
            chosen.append(record)
        return LogPage(start, tuple(chosen), len(self.records[stream]))


class FakeLogClient:
    """
    One stream of the log of our own deployments, with injected failures.

    :ivar records: All records that were ever appended.
    :ivar first: Offset of the oldest record that is left.
    :ivar comes_first: Records that another VM appends just before the next append.
    :ivar unreachable: Whether reads and appends fail without an effect.
    """

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.first = 0
        self.comes_first: list[Record] = []
        self.unreachable = False

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        await asyncio.sleep(0)
        if self.unreachable:
            raise LogUnavailableError("away")
        self.records += self.comes_first
        self.comes_first = []
        offset = len(self.records)
        self.records += records
        return offset

    async def read(self, stream: str, start: int, wait: float = 0.0) -> LogClientPage:
        await asyncio.sleep(min(wait, 0.02))
        if self.unreachable:
            raise LogUnavailableError("away")
        start = max(start, self.first)
        records = tuple(
            LoggedRecord(offset, 0.0, record)
            for offset, record in enumerate(self.records[start:], start)
        )
        return LogClientPage(self.first, start + len(records), records)
