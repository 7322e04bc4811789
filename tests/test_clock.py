# SPDX-License-Identifier: MIT

"""
Timers during a suspension of the VM.

A suspension is simulated by a boot-time clock that jumps while the monotonic one does
not.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from saddledoord import _clock
from saddledoord._clock import BootTimeLoop, run_by_boot_time
from saddledoord.process_pauses import ProcessPauses


class _Vm:
    """
    The boot-time clock of a simulated VM.

    :ivar suspended: Total time of suspension, in seconds.
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


async def _delay_of_timeout(vm: _Vm, limit: float, suspended: float) -> float:
    """
    Return how long after a suspension a timeout expires that was started before it.

    :param limit: The timeout, in seconds.
    :param suspended: Duration of the suspension, in seconds.
    """
    heartbeat = asyncio.create_task(ProcessPauses(vm.boot_time).run())
    await asyncio.sleep(0.05)

    async def suspend() -> float:
        await asyncio.sleep(0.05)
        vm.suspended += suspended
        return time.monotonic()

    suspension = asyncio.create_task(suspend())
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(limit):
            await asyncio.sleep(60.0)
    expired_at = time.monotonic()
    heartbeat.cancel()
    return expired_at - suspension.result()


@pytest.mark.parametrize("suspended", [3.0, 10.0])
def test_a_limit_that_passed_while_the_vm_was_suspended_ends_at_once(vm, suspended):
    """
    It expires at the next heartbeat.
    """
    assert run_by_boot_time(_delay_of_timeout(vm, 2.0, suspended)) < 0.4


def test_a_short_suspension_counts_towards_a_limit(vm):
    """
    The suspension counts as passed time.
    """
    delay = run_by_boot_time(_delay_of_timeout(vm, 1.0, 0.5))
    assert 0.3 < delay < 0.7


def test_the_loop_counts_what_the_boot_time_clock_counts():
    """
    All timers use the time of the loop.
    """
    loop = BootTimeLoop()
    try:
        assert abs(loop.time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 0.1
    finally:
        loop.close()


@pytest.mark.parametrize(
    "program", ["platform/edge.py", "packages/saddledoord/src/saddledoord/_cli.py"]
)
def test_daemon_and_gateway_use_the_boot_time_loop(program, request):
    """
    A daemon on the default loop would ignore suspensions.
    """
    text = (request.config.rootpath / program).read_text()
    assert "run_by_boot_time(" in text
    assert "asyncio.run(" not in text
