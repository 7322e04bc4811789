# SPDX-License-Identifier: MIT

"""
Measures how long an item spends in each phase.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


__all__ = ["ItemPhase", "ItemTimes"]


class ItemPhase(StrEnum):
    """
    What an item is waiting for.
    """

    #: An engine with a free slot whose weights are new enough.
    PLACE = "place"
    #: The first event of an attempt, after queueing, a load of weights and prefill.
    FIRST_EVENT = "first_event"
    #: The events of a stream.
    EVENTS = "events"
    #: The next event of a paused stream; usually the engine loads weights.
    PAUSE = "pause"
    #: The answer of the scoring call.
    SCORE = "score"
    #: The log's acknowledgement of the result.
    LOG = "log"


class ItemTimes:
    """
    Adds up the seconds that an item spends in each phase.

    :param now: Start of the first phase, monotonic, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._phase = ItemPhase.PLACE
        self._since = now
        self._seconds: Counter[ItemPhase] = Counter()

    @property
    def phase(self) -> ItemPhase:
        """
        The current phase.
        """
        return self._phase

    def enter(self, phase: ItemPhase, now: float) -> None:
        """
        Enter a phase, or stay in it if it is the current one.
        """
        self._seconds[self._phase] += now - self._since
        self._phase, self._since = phase, now

    def rounded(self, now: float) -> dict[str, float]:
        """
        Return the seconds spent in each phase until now, for a log line.
        """
        self.enter(self._phase, now)
        return {phase: round(self._seconds[phase], 3) for phase in ItemPhase}
