# SPDX-License-Identifier: MIT

"""
Share of the event loop for connections whose input is expensive to parse.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


__all__ = ["ReadShare"]

#: Shortest time between two expensive reads, in seconds.
_MIN_PAUSE = 0.002


class ReadShare:
    """
    Lets one connection at a time read, and the event loop do other work in between.

    All expensive reads together take at most about half of the event loop's time.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def defer(self, resume: Callable[[], None], seconds: float) -> None:
        """
        Put off the next read of a connection until it is its turn.

        :param resume: Called when it may read again.
        :param seconds: Duration of its last read.
        """
        self._waiting.append(resume)
        if self._timer is None:
            self._schedule(seconds)

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        pause = max(_MIN_PAUSE, seconds)
        self._timer = loop.call_later(pause, self._resume_next, pause)

    def _resume_next(self, pause: float) -> None:
        self._timer = None
        self._waiting.popleft()()
        if self._waiting:
            self._schedule(pause)
