# SPDX-License-Identifier: MIT

"""
Remaining hold time of a request that may have waited before it was read.
"""

from __future__ import annotations


__all__ = ["time_left"]

#: Minimum hold time, as a multiple of the request's objective: a healthy engine answers
#: in a fifth of it, and so does a second one.
_MIN_OBJECTIVES = 2.0


def time_left(limit: float, objective: float, waited: float) -> float:
    """
    Return how long a request may still be held, in seconds.

    The limit counts from when the caller sent the request, as the caller's own timeout
    does; otherwise the caller could time out before it gets an answer.

    :param limit: Longest time that a request may be held, in seconds.
    :param objective: Target time of an answer, in seconds.
    :param waited: How long the request may have waited to be read, in seconds.
    """
    return max(min(limit, _MIN_OBJECTIVES * objective), limit - waited)
