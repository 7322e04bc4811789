# SPDX-License-Identifier: MIT

"""
Detects pauses of this process: stopped, suspended or without processor time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from ._clock import boot_time


__all__ = ["ProcessPauses"]

_log = structlog.get_logger()

#: Interval of the heartbeat, in seconds.
_HEARTBEAT_INTERVAL = 0.1
#: Shortest time without a heartbeat that counts as a pause, in seconds; timers of a
#: slow machine are late by less, and after a shorter pause the state is recent enough.
_MIN_PAUSE = 0.8
#: Time after a pause in which input that arrived during it is read, in seconds.
_READ_TIME = 0.2


class ProcessPauses:
    """
    Detects pauses of the process when queried, and by a heartbeat.

    After a pause any task may resume before the heartbeat, with outdated state. So each
    query checks for a pause itself.

    :param clock: Returns the time, monotonic, in seconds, including suspension.
    """

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self._clock = clock
        self._last_heartbeat = clock()
        self._ended_at = float("-inf")
        self._last_pause = 0.0
        self._count = 0

    @property
    def count(self) -> int:
        """
        Number of pauses.
        """
        self._check()
        return self._count

    @property
    def ended_at(self) -> float:
        """
        When the last pause ended, monotonic, in seconds; minus infinity without one.
        """
        self._check()
        return self._ended_at

    def read_delay(self) -> float:
        """
        Return how long input that is read now may have waited, in seconds.
        """
        self._check()
        just_ended = self._clock() - self._ended_at < _READ_TIME
        return self._last_pause if just_ended else 0.0

    async def run(self) -> None:
        """
        Run the heartbeat until cancelled.
        """
        while True:
            self._check()
            await asyncio.sleep(_HEARTBEAT_INTERVAL)

    def _check(self) -> None:
        now = self._clock()
        pause = now - self._last_heartbeat
        self._last_heartbeat = now
        if pause > _MIN_PAUSE:
            self._ended_at = now
            self._last_pause = pause
            self._count += 1
            _log.warning("stood_still", seconds=round(pause, 3))
