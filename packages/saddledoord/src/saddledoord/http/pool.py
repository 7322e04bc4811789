# SPDX-License-Identifier: MIT

"""
The open connections of one port.
"""

from __future__ import annotations

import heapq

import structlog

from .connection import Connection


__all__ = ["ConnectionPool"]

_log = structlog.get_logger()

#: Divisor of the limit for the number of connections that are closed at once.
_EVICTED_SHARE = 64


class ConnectionPool:
    """
    A limited number of connections.

    At the limit, a new connection takes the place of the one whose client has made no
    progress for longest; connections whose requests are served keep theirs.

    :param limit: Largest number of connections.
    """

    @property
    def evicted(self) -> int:
        """
        Number of connections that were closed in favour of others.
        """
        return self._evicted

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._connections: set[Connection] = set()
        self._evicted = 0

    def add(self, connection: Connection) -> None:
        """
        Add a connection that is accepted.
        """
        self._connections.add(connection)

    def discard(self, connection: Connection) -> None:
        """
        Remove a connection that is closed.
        """
        self._connections.discard(connection)

    def make_room(self) -> bool:
        """
        Return whether one more connection may be accepted.
        """
        return len(self._connections) < self._limit or self.evict()

    def evict(self) -> bool:
        """
        Close the connections without progress for longest; return False if all of them
        are served.
        """
        waiting = [
            (since, connection)
            for connection in self._connections
            if (since := connection.waits_since) is not None
        ]
        # Several at once, since each search passes over all connections.
        count = 1 + self._limit // _EVICTED_SHARE
        for _, connection in heapq.nsmallest(count, waiting, key=lambda pair: pair[0]):
            self._connections.discard(connection)
            self._evicted += 1
            _log.info("connection_closed", client=connection.client, reason="evicted")
            connection.abort()
        return bool(waiting)
