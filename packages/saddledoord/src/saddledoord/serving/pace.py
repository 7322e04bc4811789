# SPDX-License-Identifier: MIT

"""
How fast each engine makes events, as this node sees it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


__all__ = ["EnginePaces"]

#: Weight of a new gap in the running mean.
_NEWEST = 0.2
#: Age after which a mean says nothing any more, in seconds: a slow engine that is left
#: alone gets another chance.
_FORGET = 3.0
#: A longer gap is a pause and says nothing of the pace, in seconds: an engine that
#: loads weights pauses for 0.9 s; the slowest pace seen is 0.15 s.
_PAUSE = 0.5


@dataclass(frozen=True)
class _Pace:
    gap: float
    at: float


class EnginePaces:
    """
    Running means of the gap between two events of one stream, by engine.
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._last_event: dict[str, float] = {}

    def observe(self, engine_id: str, gap: float | None, now: float) -> None:
        """
        Note an event.

        :param gap: Time since the stream's last one; none for its first, in seconds.
        :param now: Monotonic, in seconds.
        """
        self._last_event[engine_id] = now
        if gap is None or gap > _PAUSE:
            return
        before = self.gap(engine_id, now)
        mean = gap if before is None else before + _NEWEST * (gap - before)
        self._paces[engine_id] = _Pace(mean, now)

    def gap(self, engine_id: str, now: float) -> float | None:
        """
        Return the mean gap, in seconds, or none if nothing is known by now.
        """
        pace = self._paces.get(engine_id)
        if pace is None or now - pace.at > _FORGET:
            return None
        return pace.gap

    def silent_for(self, engine_id: str, now: float) -> float:
        """
        Return how long no stream of an engine has brought anything, in seconds.
        """
        return now - self._last_event.get(engine_id, float("-inf"))

    def best_gap(self, engine_ids: Iterable[str], now: float) -> float | None:
        """
        Return the smallest known mean gap among engines, in seconds.
        """
        known = [self.gap(engine_id, now) for engine_id in engine_ids]
        return min((gap for gap in known if gap is not None), default=None)
