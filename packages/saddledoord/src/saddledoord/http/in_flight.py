# SPDX-License-Identifier: MIT

"""
Counts the requests of callers and peers that a planned stop waits for.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from saddledoor.tracing import RequestIn, RequestOut

from ..observability.tracing import Emit


__all__ = ["InFlight"]


class InFlight:
    """
    Requests whose response is not complete.

    A trainer's operation that another VM forwards is not counted: it may be repeated,
    and continuous fetches would keep a stopping collector from handing over.
    """

    @property
    def count(self) -> int:
        """
        The number of requests in flight.
        """
        return len(self._open_requests)

    def __init__(self, trace: Emit) -> None:
        self._trace = trace
        self._last_number = 0
        self._open_requests: set[int] = set()

    def begin(self) -> int:
        """
        Add a request.

        :returns: The request's number, for `end`.
        """
        self._last_number += 1
        self._open_requests.add(self._last_number)
        self._trace(RequestIn(self._last_number))
        return self._last_number

    def end(self, number: int) -> None:
        """
        Remove a completed request; repeated calls have no effect.
        """
        if number in self._open_requests:
            self._open_requests.discard(number)
            self._trace(RequestOut(number))

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """
        Count a request in flight within the context.
        """
        number = self.begin()
        try:
            yield
        finally:
            self.end(number)
