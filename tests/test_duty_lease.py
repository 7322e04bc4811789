# SPDX-License-Identifier: MIT

"""
The lease of a duty, among nodes that share a log in memory.
"""

from __future__ import annotations

import asyncio
import time

from fake_log import FakeLog

from saddledoord.cluster.leases import LeaseLog
from saddledoord.duties.lease import DutyLease


_TERM = 0.4


class _Node:
    def __init__(self, log: FakeLog, name: str) -> None:
        self._leases = LeaseLog(log, name)
        self.duty = DutyLease(self._leases, "usage", _TERM)
        self._tasks: list[asyncio.Task] = []

    @property
    def holds(self) -> bool:
        return self.duty.current(0.0) is not None

    def start(self) -> None:
        loops = (self._leases.run(), self.duty.run())
        self._tasks = [asyncio.create_task(loop) for loop in loops]


async def _until(check) -> None:
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.01)


def test_a_node_that_steps_aside_lets_others_have_the_duty():
    """
    Another node can claim it at once; this one does not claim it for three terms.
    """

    async def run() -> None:
        log = FakeLog()
        first, second = _Node(log, "vm-1"), _Node(log, "vm-2")
        first.start()
        await _until(lambda: first.holds)
        await first.duty.back_off()
        began = time.monotonic()
        assert not first.holds
        await _until(lambda: first.holds)
        assert time.monotonic() - began > 3 * _TERM - 0.05
        second.start()
        await first.duty.back_off()
        began = time.monotonic()
        await _until(lambda: second.holds)
        assert time.monotonic() - began < _TERM
        # The second node renews it, so the first does not claim it again.
        await asyncio.sleep(4 * _TERM)
        assert (first.holds, second.holds) == (False, True)

    asyncio.run(run())
