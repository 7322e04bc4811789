# SPDX-License-Identifier: MIT

"""
Usage accounting: every node counts requests, and the lease holder reports them.
"""

from __future__ import annotations

import secrets

from saddledoor import UsageWindows

from ..ports import DutyCalls, SharedLog
from ..supervision import Loop
from .lease import DutyLease
from .usage_counter import UsageCounter
from .usage_reporter import UsageReporter


__all__ = ["UsageDuty"]


class UsageDuty:
    """
    One node's part of the usage accounting.

    :param vm: Name of the VM.
    :param address: Its IP address; differs for a replacement of the VM.
    """

    def __init__(
        self,
        log: SharedLog,
        calls: DutyCalls,
        lease: DutyLease,
        windows: UsageWindows,
        vm: str,
        address: str,
    ) -> None:
        # Unique for each process, since each counts from 0.
        source = f"{vm}@{address}#{secrets.token_hex(4)}"
        self._lease = lease
        self._counter = UsageCounter(log, source, windows)
        self._reporter = UsageReporter(log, calls, lease, self._counter, windows, vm)

    def count(self, workspace: str, started_at: float) -> None:
        """
        Count a request; see `UsageCounter.count`.
        """
        self._counter.count(workspace, started_at)

    def loops(self) -> list[Loop]:
        """
        Return the loops of the duty.
        """
        return [self._lease.run, self._counter.run, self._reporter.run]

    async def release(self) -> None:
        """
        Release the lease for reports; the node still counts requests.
        """
        await self._lease.release()

    async def close(self) -> None:
        """
        Write the last counts to the log.
        """
        await self._counter.flush()
