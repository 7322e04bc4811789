# SPDX-License-Identifier: MIT

"""
Limits the time of work at an engine, and ends it at once if the engine restarts.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from saddledoor import Incarnation

from .view import ClusterView


__all__ = ["EngineTimeouts"]


class EngineTimeouts:
    """
    Timeouts for work at an engine that also expire when the engine restarts.

    A connection to an engine that lost power or network is not closed. Only the entry
    of the engine's next incarnation shows that no answer will come.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self._timeouts = view.engine_tables.table(set, _expire)

    @asynccontextmanager
    async def within(
        self, incarnation: Incarnation, seconds: float | None = None
    ) -> AsyncIterator[None]:
        """
        Cancel the work inside when its time is up or the engine has restarted.

        :param seconds: Time limit of the work; None for no limit.
        :raises TimeoutError: In place of the cancellation.
        """
        timeouts: set[asyncio.Timeout] = self._timeouts[incarnation]
        async with asyncio.timeout(seconds) as timeout:
            timeouts.add(timeout)
            try:
                yield
            finally:
                timeouts.discard(timeout)

    def has_restarted(self, incarnation: Incarnation) -> bool:
        """
        Return whether an engine has restarted since this incarnation.
        """
        return self._view.has_restarted(incarnation)


def _expire(timeouts: set[asyncio.Timeout]) -> None:
    now = asyncio.get_running_loop().time()
    for timeout in timeouts:
        if not timeout.expired():
            timeout.reschedule(now)
