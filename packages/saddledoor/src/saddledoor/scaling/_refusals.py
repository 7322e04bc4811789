# SPDX-License-Identifier: MIT

"""
Remembers which orders for engines were refused, and when to try again.
"""

from __future__ import annotations

from ._spread import EngineGroup


__all__ = ["OrderRefusals"]

#: Shortest and longest pause after a refused order, in seconds.
_FIRST_PAUSE, _LAST_PAUSE = 2.0, 16.0
#: Time for which no spot engines can be had after some were taken away, in seconds.
_RECLAIMED_PAUSE = 10.0


class OrderRefusals:
    """
    Pauses orders for a group; the pause doubles with each refusal in a row.
    """

    def __init__(self) -> None:
        self._until: dict[EngineGroup, float] = {}
        self._pauses: dict[EngineGroup, float] = {}

    def record_refused(self, group: EngineGroup, now: float) -> float:
        """
        Record that a group has no further engine; return the pause, in seconds.
        """
        if now - self._until.get(group, now) > _LAST_PAUSE:
            self._pauses.pop(group, None)
        pause = min(2 * self._pauses.get(group, _FIRST_PAUSE / 2), _LAST_PAUSE)
        self._pauses[group] = pause
        self._until[group] = max(now + pause, self._until.get(group, now))
        return pause

    def record_reclaimed(self, group: EngineGroup, now: float) -> None:
        """
        Record that spot engines of a group are being taken away.
        """
        self._until[group] = max(now + _RECLAIMED_PAUSE, self._until.get(group, now))

    def record_fulfilled(self, group: EngineGroup) -> None:
        """
        Record that the engines of a group agree with the order.
        """
        self._pauses.pop(group, None)

    def closed(self, now: float) -> frozenset[EngineGroup]:
        """
        Return the groups for which no engines are ordered now.
        """
        return frozenset(group for group, until in self._until.items() if now < until)
