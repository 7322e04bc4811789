# SPDX-License-Identifier: MIT

"""
Notifies waiting tasks of changes by key.
"""

from __future__ import annotations

import asyncio


__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """
    Wakes the tasks that wait for the next change of a key.
    """

    @property
    def has_waiters(self) -> bool:
        """
        Whether a task waits for a change of any key.
        """
        return self._waiting > 0

    def __init__(self) -> None:
        self._events: dict[str, asyncio.Event] = {}
        self._waiting = 0

    def notify(self, key: str) -> None:
        """
        Wake all tasks that wait for a key.
        """
        event = self._events.pop(key, None)
        if event is not None:
            event.set()

    async def wait(self, key: str, timeout: float) -> None:
        """
        Wait for the next change of a key.

        :param timeout: Longest wait, in seconds.
        """
        event = self._events.setdefault(key, asyncio.Event())
        self._waiting += 1
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            self._waiting -= 1
