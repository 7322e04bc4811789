# SPDX-License-Identifier: MIT

"""
Ends at once what is in flight at an engine that has started again.
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
    Limits of the time that work at an engine may take, ended with the engine's life.

    A connection to an engine that crashed behind a cut or without power says nothing,
    and what waits for it would wait for its own patience, up to the whole timeout of a
    request. The entry of the engine's next life shows that nothing will come.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self._limits = view.engine_tables.table(set, _expire)

    @asynccontextmanager
    async def within(
        self, incarnation: Incarnation, seconds: float | None = None
    ) -> AsyncIterator[None]:
        """
        Cancel the work inside when its time or the engine's life is over.

        :param seconds: For the work; none for no limit.
        :raises TimeoutError: In place of the cancellation.
        """
        limits: set[asyncio.Timeout] = self._limits[incarnation]
        async with asyncio.timeout(seconds) as limit:
            limits.add(limit)
            try:
                yield
            finally:
                limits.discard(limit)

    def has_restarted(self, incarnation: Incarnation) -> bool:
        """
        Return whether an engine has started again since.
        """
        return self._view.has_restarted(incarnation)


def _expire(limits: set[asyncio.Timeout]) -> None:
    now = asyncio.get_running_loop().time()
    for limit in limits:
        if not limit.expired():
            limit.reschedule(now)
