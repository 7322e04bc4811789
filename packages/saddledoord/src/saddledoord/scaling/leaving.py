# SPDX-License-Identifier: MIT

"""
Tracks when engines that have announced their end will be gone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saddledoor import EngineEntry, EngineTables, Incarnation
from saddledoor.scaling import LeavingText, texts_to_move

from .._clock import boot_time


__all__ = ["LeavingEngines"]


@dataclass
class _End:
    """
    :param at: Announced end of an engine, monotonic, in seconds.
    """

    at: float = float("inf")


class LeavingEngines:
    """
    The announced ends of engines, by incarnation.
    """

    def __init__(
        self, tables: EngineTables, now: Callable[[], float] = boot_time
    ) -> None:
        self._ends = tables.table(_End)
        self._now = now

    def observe(self, entry: EngineEntry, drain_time: float | None = None) -> None:
        """
        Record the end that an entry announces; an earlier one that is known stays.

        :param drain_time: Time for which an engine that gives no time left serves on
            after its notice, in seconds; None if unknown.
        """
        left = drain_time if entry.leaves_in is None else entry.leaves_in
        if entry.draining and left is not None:
            end = self._now() + left
            row = self._ends[entry.incarnation]
            row.at = min(end, row.at)

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
        return name in texts_to_move(texts(), end.at - self._now())[: places()]
