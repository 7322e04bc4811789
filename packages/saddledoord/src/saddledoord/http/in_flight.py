# SPDX-License-Identifier: MIT

"""
Counts what a planned stop has to wait for: requests of callers and of peers.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from saddledoor.tracing import RequestIn, RequestOut

from ..observability.tracing import Emit


__all__ = ["InFlight"]


class InFlight:
    """
    Requests that have begun and did not get their last byte.

    A trainer's operation that another VM passes on is not counted: its fetches would
    keep a stopping collector from ever handing over, and may be repeated.
    """

    @property
    def count(self) -> int:
        """
        Requests in flight.
        """
        return len(self._open)

    def __init__(self, trace: Emit) -> None:
        self._trace = trace
        self._numbers = 0
        self._open: set[int] = set()

    def begin(self) -> int:
        """
        Count a request that begins.

        :returns: Its number, for `end`.
        """
        self._numbers += 1
        self._open.add(self._numbers)
        self._trace(RequestIn(self._numbers))
        return self._numbers

    def end(self, number: int) -> None:
        """
        Note that a request got its last byte; a second time changes nothing.
        """
        if number in self._open:
            self._open.discard(number)
            self._trace(RequestOut(number))

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """
        Count what happens inside.
        """
        number = self.begin()
        try:
            yield
        finally:
            self.end(number)
