# SPDX-License-Identifier: MIT

"""
Notices that this process has stood still: stopped, suspended, or without a processor.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from ._clock import boot_time


__all__ = ["ShutdownPoll", "ProcessPauses"]

_log = structlog.get_logger()

#: How often a process that runs shows that it does, in seconds.
_BEAT = 0.1
#: Time without a beat from which the process has stood still, in seconds. A shorter one
#: leaves what was known newer than `cancel_ms` allows (3 s): it was read 1 s before the
#: standstill at most, and is read again 0.2 s after it. And a VM that is slow for long
#: holds its timers up for tenths of a second each time without standing still.
_STANDSTILL = 0.8
#: Time after a standstill, in seconds, in which what came during it is read: all of it
#: in the loop's first steps, 0.05 s at a load of 18 on 8 cores.
_READ_WITHIN = 0.2
#: Time between two looks from which callers may have come meanwhile that this process
#: has not accepted yet, in seconds: a few steps of the loop take a thousandth of it.
_LATE_LOOK = 0.1


class ShutdownPoll:
    """
    Looks of a process that would end once nobody waits.

    Right after a standstill it has nothing in flight, though callers may wait at its
    listener: closing that would reset them. So it looks once more.

    :param clock: Monotonic, in seconds, time of suspension included.
    """

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self._clock = clock
        self._looked_at = float("-inf")

    def polled_recently(self) -> bool:
        """
        Look; return whether the look before was shortly before.
        """
        now = self._clock()
        passed, self._looked_at = now - self._looked_at, now
        return passed < _LATE_LOOK


class ProcessPauses:
    """
    Knows when the last standstill ended, also before any timer has noticed it.

    What was known before a standstill may not hold after it, and which of the waiting
    tasks goes on first is left to chance. So it is looked for when it is asked about.

    :param clock: Monotonic, in seconds, time of suspension included.
    """

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self._clock = clock
        self._beat_at = clock()
        self._ended_at = float("-inf")
        self._lasted = 0.0
        self._count = 0

    @property
    def count(self) -> int:
        """
        Standstills so far, a count.
        """
        self._look()
        return self._count

    @property
    def ended_at(self) -> float:
        """
        When the last one ended, monotonic, in seconds; long ago if there was none.
        """
        self._look()
        return self._ended_at

    def read_delay(self) -> float:
        """
        Return how long something may have waited that is read now, in seconds.
        """
        self._look()
        just_ended = self._clock() - self._ended_at < _READ_WITHIN
        return self._lasted if just_ended else 0.0

    async def run(self) -> None:
        """
        Show that the process runs, until cancelled.
        """
        while True:
            self._look()
            await asyncio.sleep(_BEAT)

    def _look(self) -> None:
        now = self._clock()
        stood = now - self._beat_at
        self._beat_at = now
        if stood > _STANDSTILL:
            self._ended_at = now
            self._lasted = stood
            self._count += 1
            _log.warning("stood_still", seconds=round(stood, 3))
