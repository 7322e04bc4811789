# SPDX-License-Identifier: MIT

"""
Placement of items on engines, and their moves between engines.

A step ends with its longest text, and each request that an engine runs slows down the
others there. Long texts therefore go to the fastest and least loaded engines, short
ones to engines without long texts.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


__all__ = ["PlacementCandidate", "choose_placement", "is_worth_moving"]

#: Ratio up to which two event intervals count as equal: one more request in an engine's
#: batch makes 1 %, and a mean over a few intervals is not more accurate.
_INTERVAL_TOLERANCE = 1.02
#: Ratio to the smallest event interval above which an engine counts as slow; larger
#: than the differences between healthy engines, 1.3 for their hardware and 1.1 for
#: their batch.
_SLOW_RATIO = 1.6
#: Time that a move costs a text, in seconds: prefill of the prompt (10 ms), the wait
#: for an event in progress at the other engine (40 ms), and a new connection (10 ms).
_MOVE_COST = 0.06
#: Multiple of its cost that a move must be expected to gain, since the text's length
#: and the other engine's speed are estimates.
_MOVE_MARGIN = 3.0
#: Minimum ratio of the current engine's event interval to the other's; larger than the
#: load-dependent differences between engines of one kind (1.1), which change sooner
#: than a text ends.
_MIN_SPEEDUP = 1.15


@dataclass(frozen=True)
class PlacementCandidate:
    """
    An engine with a free slot that may run an item.

    :param name: Id of the engine.
    :param running: Number of items that this node runs there.
    :param long_running: Number of those items whose text is long.
    :param gap: Recent event interval there, that is, the time between two events of a
        stream, in seconds; `None` if unknown.
    """

    name: str
    running: int = 0
    long_running: int = 0
    gap: float | None = None


def choose_placement(
    candidates: Sequence[PlacementCandidate], best_gap: float | None, is_long: bool
) -> PlacementCandidate | None:
    """
    Return the engine for an item, or none if there are no candidates.

    A long text goes to the fastest engine; of equally fast ones, to the least loaded.
    A short text goes to the engine with the fewest long texts that is not slow.

    :param best_gap: Smallest event interval of all engines of the pool, in seconds;
        `None` if unknown.
    :param is_long: Whether the item's text is expected to be long.
    """
    if not candidates:
        return None

    def slowness(candidate: PlacementCandidate) -> float:
        # An engine of unknown speed is tried, so that its speed becomes known.
        return candidate.gap / best_gap if candidate.gap and best_gap else 1.0

    def long_key(candidate: PlacementCandidate) -> tuple[float, ...]:
        slowness_step = round(
            math.log(max(slowness(candidate), 1.0), _INTERVAL_TOLERANCE)
        )
        return slowness_step, candidate.long_running, candidate.running

    def short_key(candidate: PlacementCandidate) -> tuple[float, ...]:
        return (
            slowness(candidate) > _SLOW_RATIO,
            candidate.long_running,
            candidate.running,
        )

    return min(candidates, key=long_key if is_long else short_key)


def is_worth_moving(
    events_left: float, gap: float, other_gap: float, moves: int = 0
) -> bool:
    """
    Return whether moving a text to another engine is expected to save enough time.

    The required gain doubles with each move, so that texts do not follow every change
    of speed.

    :param events_left: Expected number of further events.
    :param gap: Event interval at the current engine, in seconds.
    :param other_gap: Event interval at the other engine, in seconds.
    :param moves: Number of earlier moves to a faster engine.
    """
    gained = events_left * (gap - other_gap)
    required = _MOVE_MARGIN * _MOVE_COST * 2**moves
    return gap > _MIN_SPEEDUP * other_gap and gained > required
