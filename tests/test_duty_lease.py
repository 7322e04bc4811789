# SPDX-License-Identifier: MIT

"""
The lease of a duty, among nodes that share a log in memory.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from fake_log import FakeLog

from saddledoord.cluster.leases import LeaseLog
from saddledoord.duties import lease as lease_module
from saddledoord.duties.lease import DutyLease


_TERM = 0.4


class _Node:
    def __init__(self, log: FakeLog, name: str) -> None:
        self.leases = LeaseLog(log, name)
        self.duty = DutyLease(self.leases, "usage", _TERM)
        self._tasks: list[asyncio.Task] = []

    @property
    def holds(self) -> bool:
        return self.duty.current(0.0) is not None

    def start(self) -> None:
        loops = (self.leases.run(), self.duty.run())
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


async def _give_up(node: _Node, how: str) -> None:
    await getattr(node.duty, how)()


@pytest.mark.parametrize("how", ["release", "back_off"])
def test_the_lease_is_released_after_the_last_action_has_ended(how):
    """
    Guards against a call that reaches its receiver after one of the next holder.
    """

    async def run() -> None:
        log = FakeLog()
        first, second = _Node(log, "vm-1"), _Node(log, "vm-2")
        first.start()
        await _until(lambda: first.holds)
        second.start()
        with first.duty.acting(0.0) as held:
            assert held is not None
            giving_up = asyncio.create_task(_give_up(first, how))
            await asyncio.sleep(_TERM / 4)
            assert (first.holds, second.holds) == (False, False)
            with first.duty.acting(0.0) as held:
                assert held is None
        ended_at = time.monotonic()
        await giving_up
        await _until(lambda: second.holds)
        assert time.monotonic() - ended_at < _TERM

    asyncio.run(run())


def test_a_lease_under_which_an_action_does_not_end_expires(monkeypatch):
    """
    The next holder waits for the term, as after a crash.
    """
    monkeypatch.setattr(lease_module, "_ACTION_TIMEOUT", _TERM / 4)

    async def run() -> None:
        log = FakeLog()
        first, second = _Node(log, "vm-1"), _Node(log, "vm-2")
        first.start()
        await _until(lambda: first.holds)
        second.start()
        with first.duty.acting(0.0):
            await first.duty.release()
            assert not first.leases.get("usage").released
            await _until(lambda: second.holds)

    asyncio.run(run())
