# SPDX-License-Identifier: MIT

"""
Adaptive page size for reading a stream while many nodes catch up at once.
"""

from __future__ import annotations


__all__ = ["PageSize"]

#: Minimum page size, in bytes: 320 nodes that read so much at once wait for 0.07 s at a
#: store that sends 80 MB a second to all of them together.
_MIN_SIZE = 16_384
#: Divisor of the page size after a failed read; three failures lead from 1 MB to the
#: minimum.
_SHRINK_DIVISOR = 4
#: Increment of the page size after an answered read, in bytes. Growth is linear, since
#: doubling would soon overload the store again, and half of the link would carry pages
#: that arrive too late.
_GROWTH = 16_384


class PageSize:
    """
    A page size that shrinks after each failed read and grows after each answered one.

    All readers share the store's bandwidth. If many nodes read large pages at once, no
    page arrives before their timeouts, and their repeated reads make no progress;
    smaller pages arrive in time.

    :param max_size: Maximum and initial page size, in bytes.
    """

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._current = max_size

    @property
    def current(self) -> int:
        """
        Size of the next page to read, in bytes.
        """
        return self._current

    def failed(self) -> None:
        """
        Record a read without an answer.
        """
        self._current = max(
            min(_MIN_SIZE, self._max_size), self._current // _SHRINK_DIVISOR
        )

    def answered(self) -> None:
        """
        Record a read that was answered.
        """
        self._current = min(self._max_size, self._current + _GROWTH)
