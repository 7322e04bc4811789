# SPDX-License-Identifier: MIT

"""
Timers of a VM that was suspended.

A suspended VM is played by a boot-time clock that jumps while the steady one does not.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from saddledoord import _clock
from saddledoord._clock import BootTimeLoop, run_by_boot_time
from saddledoord.process_pauses import ProcessPauses, ShutdownPoll


class _Vm:
    """
    A clock that a test suspends.
    """

    def __init__(self) -> None:
        self.suspended = 0.0

    def boot_time(self) -> float:
        return time.monotonic() + self.suspended


@pytest.fixture
def vm(monkeypatch):
    vm = _Vm()
    monkeypatch.setattr(_clock, "boot_time", vm.boot_time)
    return vm


async def _late_by(vm: _Vm, limit: float, suspended: float) -> float:
    """
    Return how long after the end of a suspension a limit that began before it ends.
    """
    standstills = asyncio.create_task(ProcessPauses(vm.boot_time).run())
    await asyncio.sleep(0.05)

    async def suspend() -> float:
        await asyncio.sleep(0.05)
        vm.suspended += suspended
        return time.monotonic()

    suspension = asyncio.create_task(suspend())
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(limit):
            await asyncio.sleep(60.0)
    ended = time.monotonic()
    standstills.cancel()
    return ended - suspension.result()


@pytest.mark.parametrize("suspended", [3.0, 10.0])
def test_a_limit_that_passed_while_the_vm_was_suspended_ends_at_once(vm, suspended):
    """
    At the next heartbeat, 0.1 s after the VM goes on; the limit was 2 s.
    """
    assert run_by_boot_time(_late_by(vm, 2.0, suspended)) < 0.4


def test_a_limit_goes_on_where_a_short_suspension_left_it(vm):
    """
    Of 1.0 s, 0.05 s have passed before and 0.5 s in it.
    """
    late = run_by_boot_time(_late_by(vm, 1.0, 0.5))
    assert 0.3 < late < 0.7


def test_the_loop_counts_what_the_boot_time_clock_counts():
    """
    In one place: every timer, pause and limit goes by the loop.
    """
    loop = BootTimeLoop()
    try:
        assert abs(loop.time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 0.1
    finally:
        loop.close()


@pytest.mark.parametrize(
    "program", ["platform/edge.py", "packages/saddledoord/src/saddledoord/_cli.py"]
)
def test_both_daemons_run_by_it(program, request):
    """
    None of them runs on the usual loop.
    """
    text = (request.config.rootpath / program).read_text()
    assert "run_by_boot_time(" in text
    assert "asyncio.run(" not in text


def test_a_look_after_a_standstill_is_not_on_time_and_the_next_one_is():
    """
    Callers may have come meanwhile; within a step of the loop they have been accepted.
    """
    now = [10.0]
    looks = ShutdownPoll(lambda: now[0])
    for passed, on_time in ((0.05, False), (0.05, True), (0.4, False), (0.05, True)):
        now[0] += passed
        assert looks.polled_recently() is on_time
