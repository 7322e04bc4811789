# SPDX-License-Identifier: MIT

"""
Tracks when engines that have announced their end will be gone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from saddledoor import EngineEntry, EngineTables, Incarnation
from saddledoor.scaling import LeavingText, texts_to_move

from .._clock import boot_time


__all__ = ["LeavingEngines"]


class LeavingEngines:
    """
    The announced ends of engines, by incarnation.
    """

    def __init__(
        self, tables: EngineTables, now: Callable[[], float] = boot_time
    ) -> None:
        self._ends = tables.table(lambda: float("inf"))
        self._now = now

    def observe(self, entry: EngineEntry) -> None:
        """
        Record the end that an entry announces; an earlier one that is known stays.
        """
        if entry.draining and entry.leaves_in is not None:
            end = self._now() + entry.leaves_in
            self._ends[entry.incarnation] = min(end, self._ends[entry.incarnation])

    def must_move(
        self,
        engine: Incarnation,
        name: str,
        texts: Callable[[], Iterable[LeavingText]],
        places: Callable[[], int],
    ) -> bool:
        """
        Return whether a text should move now, since the engine ends before the text.

        :param name: Name of the text.
        :param texts: Returns the texts that run at the engine.
        :param places: Returns the number of engines that could resume it; as many of
            the longest texts move at once.
        """
        end = self._ends.get(engine)
        if end is None:
            return False
        return name in texts_to_move(texts(), end - self._now())[: places()]
