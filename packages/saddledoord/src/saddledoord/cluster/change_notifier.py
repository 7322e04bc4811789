# SPDX-License-Identifier: MIT

"""
Wakes whoever waits for news of a key.
"""

from __future__ import annotations

import asyncio


__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """
    One event per key, replaced each time it is set.
    """

    @property
    def has_waiters(self) -> bool:
        """
        Whether somebody waits for news of any key.
        """
        return self._waiting > 0

    def __init__(self) -> None:
        self._events: dict[str, asyncio.Event] = {}
        self._waiting = 0

    def notify(self, key: str) -> None:
        """
        Wake everyone who waits for this key.
        """
        event = self._events.pop(key, None)
        if event is not None:
            event.set()

    async def wait(self, key: str, timeout: float) -> None:
        """
        Wait for the key's next news, or until the time is up, in seconds.
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
