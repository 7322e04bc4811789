# SPDX-License-Identifier: MIT

"""
Which engine an item goes to, and when it moves to another one.

A step is as late as its longest text. Each request that an engine runs makes every
event of the others a little later, so the long texts get the engines that are fastest
and least filled, and the short ones, which have time, go where no long one runs.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


__all__ = ["PlacementCandidate", "choose_placement", "is_worth_moving"]

#: Gaps that differ by less count as alike, as a ratio: a request more in an engine's
#: batch makes 1 %, and a mean over a few gaps is not better than that.
_ALIKE = 1.02
#: An engine is slow beyond so many times the best one's gap; those that are well differ
#: by 1.3 for their hardware and by 1.1 for their batch.
_SLOW = 1.6
#: What a move costs a text, in seconds: its prompt is read anew (10 ms), it waits for
#: an event in progress at the other engine (40 ms), over a new connection (10 ms).
_MOVE_COST = 0.06
#: A move must gain so many times its cost by what is expected, since lengths are
#: guesses and another engine's pace changes with what is sent there.
_MOVE_MARGIN = 3.0
#: And the other engine must be so many times as fast. Engines of one kind differ by up
#: to 1.1 with what runs there, which changes sooner than a text ends.
_FASTER = 1.15


@dataclass(frozen=True)
class PlacementCandidate:
    """
    An engine that has room and may run an item.

    :param running: Items that this node has there, a count.
    :param long_running: Those of them with a long text, a count.
    :param gap: Between two events of a stream there lately, in seconds; none if nothing
        is known of late.
    """

    name: str
    running: int = 0
    long_running: int = 0
    gap: float | None = None


def choose_placement(
    seats: Sequence[PlacementCandidate], best_gap: float | None, is_long: bool
) -> PlacementCandidate | None:
    """
    Return the engine for an item, or none without any.

    A long text goes to the fastest engine; of those alike, where the least runs. A
    short one goes where the fewest long ones run, unless that is slow.

    :param best_gap: Smallest gap of all engines of the pool, in seconds, if known.
    """
    if not seats:
        return None

    def slowness(seat: PlacementCandidate) -> float:
        # An engine of which nothing is known is tried.
        return seat.gap / best_gap if seat.gap and best_gap else 1.0

    def long_key(seat: PlacementCandidate) -> tuple[float, ...]:
        steps = round(math.log(max(slowness(seat), 1.0), _ALIKE))
        return steps, seat.long_running, seat.running

    def short_key(seat: PlacementCandidate) -> tuple[float, ...]:
        return slowness(seat) > _SLOW, seat.long_running, seat.running

    return min(seats, key=long_key if is_long else short_key)


def is_worth_moving(
    events_left: float, gap: float, other_gap: float, moves: int = 0
) -> bool:
    """
    Whether a text ends sooner at another engine, by more than a move may cost.

    Each move must gain twice what the one before had to: texts that follow every change
    of pace moved up to 15 times and lost 0.03 s each time.

    :param events_left: Events that it is expected to make yet.
    :param gap: Between its events where it is, in seconds.
    :param other_gap: Between events at the other engine, in seconds.
    :param moves: How often it has moved for its pace, a count.
    """
    gained = events_left * (gap - other_gap)
    least = _MOVE_MARGIN * _MOVE_COST * 2**moves
    return gap > _FASTER * other_gap and gained > least
