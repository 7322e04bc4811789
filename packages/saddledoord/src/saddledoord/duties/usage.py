# SPDX-License-Identifier: MIT

"""
Puts the duty of usage together: counting at every node, reporting by one.
"""

from __future__ import annotations

import secrets
from collections.abc import Coroutine

from saddledoor import UsageWindows

from ..ports import DutyCalls, SharedLog
from .lease import DutyLease
from .usage_counter import UsageCounter
from .usage_reporter import UsageReporter


__all__ = ["UsageDuty"]


class UsageDuty:
    """
    One node's part of it.

    :param vm: Name of the VM.
    :param address: Its IP address; a VM that takes another's place has another one.
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
        # Another process of the VM counts from nothing.
        source = f"{vm}@{address}#{secrets.token_hex(4)}"
        self._lease = lease
        self._counter = UsageCounter(log, source, windows)
        self._reporter = UsageReporter(log, calls, lease, self._counter, windows, vm)

    def count(self, workspace: str, began_at: float) -> None:
        """
        Count a request; see `UsageCounter.count`.
        """
        self._counter.count(workspace, began_at)

    def loops(self) -> list[Coroutine]:
        """
        Return what runs until cancelled.
        """
        return [self._lease.run(), self._counter.run(), self._reporter.run()]

    async def release(self) -> None:
        """
        Leave the duty to the other nodes; this one goes on counting.
        """
        await self._lease.release()

    async def close(self) -> None:
        """
        Give the log the last counts.
        """
        await self._counter.flush()
