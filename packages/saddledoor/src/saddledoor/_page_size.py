# SPDX-License-Identifier: MIT

"""
How much of a stream one read asks for, while many nodes catch up together.
"""

from __future__ import annotations


__all__ = ["PageSize"]

#: Least that one read asks for, in bytes: 320 nodes that ask for so much at once wait
#: for 0.07 s at a store that sends 80 MB a second to all of them together.
_LEAST = 16_384
#: What a read that failed leaves of the size, as a divisor. Three failures lead from
#: 1 MB to the least.
_SHRINK = 4
#: What a read that was answered adds to the size, in bytes. Doubling would soon ask for
#: too much again, and half of the link would carry pages that come too late.
_GROW = 16_384


class PageSize:
    """
    Shrinks after each read that failed, and grows after each that was answered.

    A store's link is shared by all readers. When 148 nodes come back together and each
    asks for 1 MB, at 80 MB a second, no page is there before 1.9 s; nodes that wait for
    less ask again, and the bytes of the first try are sent in vain. In a play with 195
    nodes none came on in 11 s. With pages that fit their patience all of them come on.

    :param most: Largest size, in bytes.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._current = most

    @property
    def current(self) -> int:
        """
        What the next read asks for, in bytes.
        """
        return self._current

    def failed(self) -> None:
        """
        Note a read without an answer.
        """
        self._current = max(min(_LEAST, self._most), self._current // _SHRINK)

    def answered(self) -> None:
        """
        Note a read that was answered.
        """
        self._current = min(self._most, self._current + _GROW)
