# SPDX-License-Identifier: MIT

"""
Counts this node's requests by workspace and window, and gives the counts to the log.
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

#: The stream of counts and decisions; only who has the duty reads it.
USAGE_STREAM = "usage"
#: How long counts are gathered before they are given to the log, in seconds: what a VM
#: that is lost had counted since is lost with it.
_GATHER = 0.5
#: Longest wait for the answer to an append, in seconds.
_PATIENCE = 0.6


class UsageCounter:
    """
    Told of every request that engines began.

    :param source: Names this process.
    :param unix_time: Returns the VM's time of day, in seconds.
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
        self._counted = asyncio.Event()

    @property
    def now(self) -> float:
        """
        The true time, in seconds since the start of 1970.
        """
        return self._time.at(boot_time())

    def count(self, workspace: str, began_at: float) -> None:
        """
        Count a request.

        :param began_at: When an engine began to run it, monotonic, in seconds.
        """
        self._meter.count(workspace, self._windows.of(self._time.at(began_at)))
        self._counted.set()

    async def run(self) -> None:
        """
        Give counts to the log, a while after the first one, and say of each window when
        it is whole, until cancelled.
        """
        while True:
            try:
                async with asyncio.timeout(_GATHER):
                    await self._counted.wait()
                await asyncio.sleep(_GATHER)
            except TimeoutError:
                pass
            self._time.observe(self._unix_time(), boot_time())
            self._meter.close(self._windows.last_closed(self.now))
            await self.flush()

    async def flush(self) -> None:
        """
        Give the log what it has not been given.
        """
        self._counted.clear()
        records = self._meter.take()
        if not records:
            return
        data = [encode_record(record).encode() for record in records]
        outcome = await self._log.append(USAGE_STREAM, data, _PATIENCE)
        if not isinstance(outcome, Appended):
            _log.info("usage_not_written", reason=outcome.reason)
            # The same counts again change nothing.
            self._meter.requeue(records)
            self._counted.set()
