# SPDX-License-Identifier: MIT

"""
Reports usage to the platform from the node that holds the lease.

The node writes the counts of a window to the log (decides the window) before it sends
them, so that a later lease holder repeats exactly the same report.
"""

from __future__ import annotations

import asyncio
import random

import structlog

from saddledoor import (
    UsageDecided,
    UsageFold,
    UsageWindows,
    decode_record,
    encode_record,
)
from saddledoor.exceptions import UndecodableRecordError

from .._clock import boot_time
from ..ports import (
    DutyCalls,
    DutyOutcome,
    LogTruncatedError,
    SharedLog,
    StoreUnavailableError,
    UsageReport,
)
from .lease import DutyLease
from .usage_counter import USAGE_STREAM, UsageCounter


__all__ = ["UsageReporter"]

_log = structlog.get_logger()

#: Interval between checks for windows to report, in seconds.
_CHECK_INTERVAL = 0.25
#: Shortest remaining validity of the lease when a call is sent, in seconds; covers the
#: timeout of the call.
_CALL_MARGIN = 0.6
#: Shortest pause after a failed call, in seconds; the longest is twice as long.
_RETRY_PAUSE = 0.3
#: Pause before the log is read again after it dropped records, in seconds.
_TRUNCATED_PAUSE = 0.05
#: Time without a successful call after which the lease is left to another node, in
#: seconds; that node may reach the platform.
_BACK_OFF_AFTER = 2.5


class UsageReporter:
    """
    Decides and reports windows while this node holds the lease.

    :param holder: Name of this VM.
    """

    def __init__(
        self,
        log: SharedLog,
        calls: DutyCalls,
        lease: DutyLease,
        counter: UsageCounter,
        windows: UsageWindows,
        holder: str,
    ) -> None:
        self._log = log
        self._calls = calls
        self._lease = lease
        self._counter = counter
        self._windows = windows
        self._holder = holder
        self._fold = UsageFold()
        self._next_offset = 0
        self._sent: set[int] = set()
        self._failing_since: float | None = None

    async def run(self) -> None:
        """
        Report windows until cancelled.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            if self._lease.current(_CALL_MARGIN) is None:
                # Another lease holder may reach the platform.
                self._failing_since = None
                continue
            try:
                await self._report_due()
            except StoreUnavailableError as error:
                _log.info("usage_not_read", reason=str(error))

    async def _report_due(self) -> None:
        now = self._counter.now
        unsent = [w for w in self._windows_due(now) if w not in self._sent]
        if not unsent:
            return
        await self._read_log()
        # The log may hold decisions that this node had not read.
        for window in self._windows_due(now):
            if window in self._sent:
                continue
            if not self._is_ready(window, now) or not await self._report(window):
                return

    def _windows_due(self, now: float) -> list[int]:
        """
        Return the decided windows whose report may be missing, then those that may be
        decided, each oldest first.
        """
        fold, windows = self._fold, self._windows
        known = windows.windows_to_resend(now, fold.last_decided)
        decided = [window for window in known if fold.decided(window) is not None]
        due = decided + windows.windows_to_decide(now, fold.first_undecided)
        return [window for window in due if fold.knows(window)]

    def _is_ready(self, window: int, now: float) -> bool:
        """
        Whether a window is decided, or may be since all nodes have counted it or its
        wait has expired.
        """
        if self._fold.decided(window) is not None or self._fold.is_complete(window):
            return True
        return window <= self._windows.last_wait_expired(now)

    async def _report(self, window: int) -> bool:
        """
        Report a window; return False if it was not reported.
        """
        counts = await self._decide(window)
        decided_at = boot_time()
        with self._lease.acting(_CALL_MARGIN) as held:
            if counts is None or held is None:
                return False
            report = UsageReport(window, counts, self._holder, held.fence)
            outcome = await self._calls.report_usage(report, decided_at)
        _log.info(
            "usage_reported",
            window=window,
            requests=sum(counts.values()),
            workspaces=len(counts),
            fence=held.fence,
            late=round(self._counter.now - (window + 1) * self._windows.length, 3),
            outcome=outcome,
        )
        match outcome:
            case DutyOutcome.DONE:
                self._failing_since = None
                self._record_sent(window)
                return True
            case DutyOutcome.FENCED:
                self._lease.record_fenced(held.fence)
            case DutyOutcome.REFUSED | DutyOutcome.UNKNOWN:
                await self._record_failure()
        return False

    def _record_sent(self, window: int) -> None:
        """
        Remember a reported window for as long as its report could be repeated.
        """
        first = self._windows.first_to_resend(self._counter.now)
        self._sent = {known for known in self._sent if known >= first} | {window}

    async def _decide(self, window: int) -> dict[str, int] | None:
        """
        Return the decided counts of a window; None if there is no decision yet.
        """
        decided = self._fold.decided(window)
        if decided is not None:
            return decided
        record = UsageDecided(window, self._fold.counted(window))
        await self._log.append(USAGE_STREAM, [encode_record(record).encode()])
        # The first decision in the log counts, also if the append has failed.
        await self._read_log()
        return self._fold.decided(window)

    async def _read_log(self) -> None:
        """
        Apply all records up to the end of the log.

        :raises StoreUnavailableError: If the store does not answer.
        """
        while True:
            try:
                page = await self._log.read(USAGE_STREAM, self._next_offset)
            except LogTruncatedError as error:
                _log.warning("usage_history_incomplete", first=error.first)
                self._next_offset = error.first
                self._fold = UsageFold.truncated(self._windows)
                await asyncio.sleep(_TRUNCATED_PAUSE)
                continue
            for record in page.records:
                self._apply(record)
                self._next_offset += 1
            if self._next_offset >= page.end:
                return

    def _apply(self, data: bytes) -> None:
        try:
            self._fold.apply(decode_record(data))
        except UndecodableRecordError as error:
            _log.error(
                "record_skipped",
                topic=USAGE_STREAM,
                offset=self._next_offset,
                reason=str(error),
            )

    async def _record_failure(self) -> None:
        now = boot_time()
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since > _BACK_OFF_AFTER:
            self._failing_since = None
            await self._lease.back_off()
            return
        await asyncio.sleep(random.uniform(_RETRY_PAUSE, 2 * _RETRY_PAUSE))
