# SPDX-License-Identifier: MIT

"""
Where the time of an item goes, phase by phase.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


__all__ = ["ItemPhase", "ItemTimes"]


class ItemPhase(StrEnum):
    """
    What an item is waiting for.
    """

    #: An engine with room whose weights are new enough.
    PLACE = "place"
    #: The first event of an attempt: the engine's queue, its load, the prompt.
    FIRST_EVENT = "first_event"
    #: The events of a stream.
    EVENTS = "events"
    #: The next event of a stream that paused, usually for a load of weights.
    PAUSE = "pause"
    #: The answer of the scoring call.
    SCORE = "score"
    #: The log's acknowledgement of the result.
    LOG = "log"


class ItemTimes:
    """
    Adds up the seconds that an item spends in each phase.

    :param now: When it was taken up, monotonic, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._phase = ItemPhase.PLACE
        self._since = now
        self._seconds: Counter[ItemPhase] = Counter()

    @property
    def phase(self) -> ItemPhase:
        """
        The phase it is in.
        """
        return self._phase

    def enter(self, phase: ItemPhase, now: float) -> None:
        """
        Go from one phase to the next; the same one again goes on.
        """
        self._seconds[self._phase] += now - self._since
        self._phase, self._since = phase, now

    def rounded(self, now: float) -> dict[str, float]:
        """
        Return the seconds of each phase up to now, for a log line.
        """
        self.enter(self._phase, now)
        return {phase: round(self._seconds[phase], 3) for phase in ItemPhase}
