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


__all__ = ["EngineLives"]


class EngineLives:
    """
    Limits of the time that work at an engine may take, ended with the engine's life.

    A connection to an engine that crashed behind a cut or without power says nothing,
    and what waits for it would wait for its own patience, up to the whole timeout of a
    request. The entry of the engine's next life shows that nothing will come.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self._limits = view.memory.table(set, _expire)

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

    def is_over(self, incarnation: Incarnation) -> bool:
        """
        Return whether an engine has started again since.
        """
        return self._view.is_over(incarnation)


def _expire(limits: set[asyncio.Timeout]) -> None:
    now = asyncio.get_running_loop().time()
    for limit in limits:
        if not limit.expired():
            limit.reschedule(now)
