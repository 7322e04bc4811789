# SPDX-License-Identifier: MIT

"""
The daemon's clock, which goes on while a VM is suspended, and a loop that goes by it.
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
    Return monotonic seconds since the machine's start, suspension included.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """
    An event loop whose timers count suspension, as all deadlines here do.

    By the usual loop's clock what was to end 1 s after a VM was suspended would end 1 s
    after it goes on. The system's own wait does not count suspension either, so a timer
    that is due fires at the first event after it, at the latest when the heartbeat of
    `ProcessPauses` comes.
    """

    def time(self) -> float:
        """
        Return the time of `boot_time`.
        """
        return boot_time()


def run_by_boot_time(main: Coroutine[object, object, _T]) -> _T:
    """
    Run a program's main coroutine to its end, as `asyncio.run` does.
    """
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(main)
