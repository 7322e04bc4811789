# SPDX-License-Identifier: MIT

"""
The daemon's clock, which includes suspension of the VM, and an event loop based on it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import TypeVar


__all__ = ["BootTimeLoop", "boot_time", "run_by_boot_time"]

_T = TypeVar("_T")


def boot_time() -> float:
    """
    Return monotonic seconds since the machine's start, including suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """
    An event loop whose timers include suspension.

    The clock of the default loop stops during a suspension, so its timers would fire
    late. The timeout of the selector stops, too: a timer that became due fires at the
    first event after the suspension, at the latest at the heartbeat of `ProcessPauses`.
    """

    def time(self) -> float:
        """
        Return `boot_time()`.
        """
        return boot_time()


def run_by_boot_time(main: Coroutine[object, object, _T]) -> _T:
    """
    Run a program's main coroutine, like `asyncio.run`, on a `BootTimeLoop`.
    """
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(main)
