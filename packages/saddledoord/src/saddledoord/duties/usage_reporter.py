# SPDX-License-Identifier: MIT

"""
Reports usage to the platform, as one node at a time.

What is reported of a window is decided once, in the log, before it is sent: whoever
holds the duty later sends exactly that again.
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

#: How often the holder looks whether a window is to be reported, in seconds.
_LOOK = 0.25
#: How long the lease must still hold when a call is sent, in seconds: the longest wait
#: for its answer.
_CALL_MARGIN = 0.6
#: Pause after a call that came to nothing, in seconds; drawn between this and twice.
_PAUSE = 0.3
#: After how long without any answer the duty is left to another node, which may reach
#: the platform, in seconds.
_STEP_ASIDE_AFTER = 2.5


class UsageReporter:
    """
    Works while this node has the duty.

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
        self._book = UsageFold()
        self._next = 0
        self._sent: set[int] = set()
        self._unheard_since: float | None = None

    async def run(self) -> None:
        """
        Report until cancelled.
        """
        while True:
            await asyncio.sleep(_LOOK)
            if self._lease.current(_CALL_MARGIN) is None:
                # Whoever has the duty meanwhile may be heard.
                self._unheard_since = None
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
        await self._read_on()
        # The log may hold decisions of windows that this node did not know of.
        for window in self._windows_due(now):
            if window in self._sent:
                continue
            if not self._is_ready(window, now) or not await self._report(window):
                return

    def _windows_due(self, now: float) -> list[int]:
        """
        Return the windows that may be decided on, and those decided on whose report may
        not have come, oldest first.
        """
        book, windows = self._book, self._windows
        known = windows.windows_to_resend(now, book.last_decided)
        decided = [window for window in known if book.decided(window) is not None]
        return decided + windows.windows_to_decide(now, book.first_undecided)

    def _is_ready(self, window: int, now: float) -> bool:
        """
        Whether a window is decided, or may be: all have counted it, or time presses.
        """
        if self._book.decided(window) is not None or self._book.is_complete(window):
            return True
        return window <= self._windows.last_wait_expired(now)

    async def _report(self, window: int) -> bool:
        """
        Report a window; false if the next one has to wait.
        """
        counts = await self._decide(window)
        held = self._lease.current(_CALL_MARGIN)
        if counts is None or held is None:
            return False
        report = UsageReport(window, counts, self._holder, held.fence)
        outcome = await self._calls.report_usage(report)
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
                self._unheard_since = None
                self._note_sent(window)
                return True
            case DutyOutcome.FENCED:
                self._lease.fenced(held.fence)
            case DutyOutcome.REFUSED | DutyOutcome.UNKNOWN:
                await self._not_heard()
        return False

    def _note_sent(self, window: int) -> None:
        """
        Remember that a report has come, as long as it might be repeated.
        """
        first = self._windows.first_to_resend(self._counter.now)
        self._sent = {known for known in self._sent if known >= first} | {window}

    async def _decide(self, window: int) -> dict[str, int] | None:
        """
        Return what is reported of a window, none if that is not certain yet.
        """
        decided = self._book.decided(window)
        if decided is not None:
            return decided
        record = UsageDecided(window, self._book.counted(window))
        await self._log.append(USAGE_STREAM, [encode_record(record).encode()])
        # Whatever became of the append, the log tells which decision came first.
        await self._read_on()
        return self._book.decided(window)

    async def _read_on(self) -> None:
        """
        Fold everything that the log holds.

        :raises StoreUnavailableError: If the store does not answer.
        """
        while True:
            try:
                page = await self._log.read(USAGE_STREAM, self._next)
            except LogTruncatedError as error:
                self._next = error.first
                continue
            for record in page.records:
                self._apply(record)
                self._next += 1
            if self._next >= page.end:
                return

    def _apply(self, data: bytes) -> None:
        try:
            self._book.apply(decode_record(data))
        except UndecodableRecordError as error:
            _log.error(
                "record_skipped",
                topic=USAGE_STREAM,
                offset=self._next,
                reason=str(error),
            )

    async def _not_heard(self) -> None:
        now = boot_time()
        if self._unheard_since is None:
            self._unheard_since = now
        if now - self._unheard_since > _STEP_ASIDE_AFTER:
            self._unheard_since = None
            await self._lease.step_aside()
            return
        await asyncio.sleep(random.uniform(_PAUSE, 2 * _PAUSE))
