# SPDX-License-Identifier: MIT

"""
How fast each engine makes events, as this node sees it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from saddledoor import EngineTables, Incarnation


__all__ = ["EnginePaces"]

#: Weight of a new gap in the running mean.
_NEWEST = 0.2
#: Age after which a mean says nothing any more, in seconds: a slow engine that is left
#: alone gets another chance.
_FORGET = 3.0
#: A longer gap is a pause and says nothing of the pace, in seconds: an engine that
#: loads weights pauses for 0.9 s; the slowest pace seen is 0.15 s.
_PAUSE = 0.5


@dataclass
class _Pace:
    """
    How fast an engine is.

    :param gap: Mean between two events of a stream, in seconds; none before any.
    :param at: When it was last told, monotonic, in seconds.
    :param last_event: When any stream of it last brought something.
    """

    gap: float | None = None
    at: float = float("-inf")
    last_event: float = float("-inf")


class EnginePaces:
    """
    Running means of the gap between two events of one stream, by engine.
    """

    def __init__(self, engine_tables: EngineTables) -> None:
        self._paces = engine_tables.table(_Pace)

    def observe(self, engine: Incarnation, gap: float | None, now: float) -> None:
        """
        Note an event.

        :param gap: Time since the stream's last one; none for its first, in seconds.
        :param now: Monotonic, in seconds.
        """
        pace = self._paces[engine]
        pace.last_event = now
        if gap is None or gap > _PAUSE:
            return
        before = self.gap(engine, now)
        pace.gap = gap if before is None else before + _NEWEST * (gap - before)
        pace.at = now

    def gap(self, engine: Incarnation, now: float) -> float | None:
        """
        Return the mean gap, in seconds, or none if nothing is known by now.
        """
        pace = self._paces.get(engine)
        if pace is None or now - pace.at > _FORGET:
            return None
        return pace.gap

    def silent_for(self, engine: Incarnation, now: float) -> float:
        """
        Return how long no stream of an engine has brought anything, in seconds.
        """
        pace = self._paces.get(engine) or _Pace()
        return now - pace.last_event

    def best_gap(self, engines: Iterable[Incarnation], now: float) -> float | None:
        """
        Return the smallest known mean gap among engines, in seconds.
        """
        known = [self.gap(engine, now) for engine in engines]
        return min((gap for gap in known if gap is not None), default=None)
