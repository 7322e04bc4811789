# SPDX-License-Identifier: MIT

"""
Measures the pace of each engine: the mean time between two events of a stream.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from saddledoor import EngineTables, Incarnation


__all__ = ["EnginePaces"]

#: Weight of a new gap in the moving average.
_SMOOTHING = 0.2
#: Age after which a mean is no longer used, in seconds, so that an engine that was slow
#: is tried again.
_MAX_AGE = 3.0
#: Longest gap that counts, in seconds; a longer one is a pause, such as while the
#: engine loads weights (0.9 s). The gaps of slow engines are about 0.15 s.
_MAX_GAP = 0.5


@dataclass
class _Pace:
    """
    The pace of one engine.

    :param gap: Mean gap between two events of a stream, in seconds; None before the
        first gap.
    :param updated_at: When the mean was last updated, monotonic, in seconds.
    :param last_event_at: Time of the last event of any stream, monotonic, in seconds.
    """

    gap: float | None = None
    updated_at: float = float("-inf")
    last_event_at: float = float("-inf")


class EnginePaces:
    """
    Moving averages of the gap between two events of one stream, by engine.
    """

    def __init__(self, engine_tables: EngineTables) -> None:
        self._paces = engine_tables.table(_Pace)

    def observe(self, engine: Incarnation, gap: float | None, now: float) -> None:
        """
        Record an event.

        :param gap: Time since the stream's previous event, in seconds; None for its
            first.
        :param now: Monotonic, in seconds.
        """
        pace = self._paces[engine]
        pace.last_event_at = now
        if gap is None or gap > _MAX_GAP:
            return
        previous = self.gap(engine, now)
        pace.gap = gap if previous is None else previous + _SMOOTHING * (gap - previous)
        pace.updated_at = now

    def gap(self, engine: Incarnation, now: float) -> float | None:
        """
        Return the mean gap in seconds; None without a recent one.
        """
        pace = self._paces.get(engine)
        if pace is None or now - pace.updated_at > _MAX_AGE:
            return None
        return pace.gap

    def silent_for(self, engine: Incarnation, now: float) -> float:
        """
        Return the time since the last event of any stream of an engine, in seconds.
        """
        pace = self._paces.get(engine) or _Pace()
        return now - pace.last_event_at

    def best_gap(self, engines: Iterable[Incarnation], now: float) -> float | None:
        """
        Return the smallest mean gap among engines in seconds; None if none is known.
        """
        known = [self.gap(engine, now) for engine in engines]
        return min((gap for gap in known if gap is not None), default=None)
