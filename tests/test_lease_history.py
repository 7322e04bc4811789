# SPDX-License-Identifier: MIT

"""
Leases of nodes that start, or were disconnected, while the log dropped records.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from fake_log import FakeLog

from saddledoord.cluster.leases import LeaseLog
from saddledoord.duties.lease import DutyLease


_TERM = 0.4


class _Node:
    """
    A node that takes part in one duty.
    """

    def __init__(self, log: FakeLog, name: str) -> None:
        self.leases = LeaseLog(log, name)
        self.duty = DutyLease(self.leases, "orders", _TERM)

    @property
    def fence(self) -> int | None:
        held = self.duty.current(0.0)
        return held.fence if held else None

    @asynccontextmanager
    async def running(self):
        loops = [self.leases.run(), self.duty.run()]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _until(check, timeout: float = 5.0) -> None:
    async with asyncio.timeout(timeout):
        while not check():
            await asyncio.sleep(0.005)


def test_a_node_that_joins_after_the_claim_was_dropped_claims_no_held_lease():
    """
    Guards against two holders: a renewal names only the offset of the claim, so a
    reader that starts after the claim's record was dropped took the lease for free.
    """

    async def scenario():
        log = FakeLog()
        async with _Node(log, "vm-a").running() as first:
            await _until(lambda: first.fence is not None)
            log.drop("control")
            async with _Node(log, "vm-b").running() as second:
                await asyncio.sleep(4 * _TERM)
                assert first.fence is not None
                assert second.fence is None

    asyncio.run(scenario())
