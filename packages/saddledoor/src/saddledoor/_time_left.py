# SPDX-License-Identifier: MIT

"""
How long a request may be held that may have waited before it was read.
"""

from __future__ import annotations


__all__ = ["time_left"]

#: What such a request gets at least, as a multiple of its objective: an engine that is
#: well answers in a fifth of it, and a second one as well.
_LEAST = 2.0


def time_left(limit: float, objective: float, waited: float) -> float:
    """
    Return how long a request may still be held, in seconds.

    Callers count from when they sent it. Counted from when it was read, the limit was
    over after a caller had left that waits 0.6 s longer than it, with 1.09 s to go: it
    heard nothing, and could not ask elsewhere.

    :param limit: Longest time that a request may be held, in seconds.
    :param objective: In which it should be answered, in seconds.
    :param waited: How long it may have waited to be read, in seconds.
    """
    return max(min(limit, _LEAST * objective), limit - waited)
