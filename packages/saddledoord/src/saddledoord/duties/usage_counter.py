# SPDX-License-Identifier: MIT

"""
Counts this node's requests by workspace and window, and writes the counts to the log.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import structlog

from saddledoor import StableClock, UsageMeter, UsageWindows, encode_record

from .._clock import boot_time
from ..ports import Appended, SharedLog


__all__ = ["USAGE_STREAM", "UsageCounter"]

_log = structlog.get_logger()

#: The log stream of counts and decisions; only the lease holder reads it.
USAGE_STREAM = "usage"
#: Time for which counts are collected before they are written, in seconds; a crash
#: loses the counts of this time.
_BATCH_DELAY = 0.5
#: Timeout of an append, in seconds.
_APPEND_TIMEOUT = 0.6


class UsageCounter:
    """
    Counts the requests that engines have started to run.

    :param source: Unique name of this process.
    :param unix_time: Returns the VM's wall clock time, in seconds.
    """

    def __init__(
        self,
        log: SharedLog,
        source: str,
        windows: UsageWindows,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._log = log
        self._windows = windows
        self._unix_time = unix_time
        self._time = StableClock(unix_time(), boot_time())
        self._meter = UsageMeter(source, windows.of(self.now))
        self._has_counts = asyncio.Event()

    @property
    def now(self) -> float:
        """
        The estimated wall clock time, in seconds since the start of 1970.
        """
        return self._time.at(boot_time())

    def count(self, workspace: str, started_at: float) -> None:
        """
        Count a request.

        :param started_at: When an engine began to run it, monotonic, in seconds.
        """
        self._meter.count(workspace, self._windows.of(self._time.at(started_at)))
        self._has_counts.set()

    async def run(self) -> None:
        """
        Write counts and the ends of windows to the log until cancelled.
        """
        while True:
            try:
                async with asyncio.timeout(_BATCH_DELAY):
                    await self._has_counts.wait()
                await asyncio.sleep(_BATCH_DELAY)
            except TimeoutError:
                pass
            self._time.observe(self._unix_time(), boot_time())
            self._meter.close(self._windows.last_closed(self.now))
            await self.flush()

    async def flush(self) -> None:
        """
        Write the unwritten counts to the log.
        """
        self._has_counts.clear()
        records = self._meter.take(self._windows.of(self.now))
        if not records:
            return
        data = [encode_record(record).encode() for record in records]
        outcome = await self._log.append(USAGE_STREAM, data, _APPEND_TIMEOUT)
        if not isinstance(outcome, Appended):
            _log.info("usage_not_written", reason=outcome.reason)
            # Records that were written all the same have no effect when repeated.
            self._meter.requeue(records)
            self._has_counts.set()
