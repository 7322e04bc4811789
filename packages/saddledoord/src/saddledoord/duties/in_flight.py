# SPDX-License-Identifier: MIT

"""
Counts actions under a lease that have not ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


__all__ = ["ActionsInFlight"]


class ActionsInFlight:
    """
    Actions whose effect may still be on its way to a receiver.

    A call has ended once it was answered, or once its connection was reset after a
    timeout, which discards the bytes that have not arrived.
    """

    @property
    def count(self) -> int:
        """
        Number of actions in flight.
        """
        return self._count

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """
        Count an action until the end of the context.
        """
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    async def wait_until_idle(self, timeout: float) -> bool:
        """
        Wait until no action is in flight; return False after a timeout, in seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
