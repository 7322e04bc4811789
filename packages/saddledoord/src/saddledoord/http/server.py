# SPDX-License-Identifier: MIT

"""
HTTP server without signal handlers, for a process that handles signals itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial

import structlog
import uvicorn

from .._clock import boot_time
from .connection import Connection
from .limits import ConnectionLimits, ConnectionTimeouts
from .listener import Acceptor
from .pool import ConnectionPool
from .read_share import ReadShare


__all__ = ["HttpServer", "server_config"]

_log = structlog.get_logger()

#: Largest header block of a request, in bytes.
_MAX_HEADER_BYTES = 32_768
#: Timeout of a request's head without a configuration, in seconds.
_HEAD_TIMEOUT = 10.0
#: Interval of the checks of connections, and the time after which one is late, in
#: seconds.
_CHECK_INTERVAL, _LATE_CHECK = 1.0, 1.5
#: Longest time that a forced end takes to send responses, in seconds.
_FORCED_END_TIMEOUT = 0.3
#: Interval of the checks whether a stopping server may close its connections, in
#: seconds.
_POLL_INTERVAL = 0.02


class HttpServer(uvicorn.Server):
    """
    A server that is stopped by `end`, not by a signal.

    :param limits: Largest numbers of connections; the first socket is that of callers.
    :param timeouts: Returns the timeouts of connections.
    """

    @property
    def open_connections(self) -> int:
        """
        Number of connections that are accepted and not yet closed, other than those
        whose remaining input is discarded.
        """
        connecting = sum(acceptor.connecting for acceptor in self._acceptors)
        connections = self.server_state.connections
        return connecting + sum(not c.is_discarding for c in connections)

    @property
    def closed(self) -> dict[str, int]:
        """
        Number of connections that the server closed before their clients, by reason.
        """
        evicted = sum(pool.evicted for pool in self._pools)
        return {**self._closed, "evicted": evicted}

    def __init__(
        self,
        config: uvicorn.Config,
        limits: ConnectionLimits | None = None,
        timeouts: Callable[[], ConnectionTimeouts] | None = None,
    ) -> None:
        super().__init__(config)
        self._limits = limits or ConnectionLimits.from_machine()
        idle = ConnectionTimeouts(_HEAD_TIMEOUT, config.timeout_keep_alive)
        self._timeouts = timeouts or (lambda: idle)
        self._pools: list[ConnectionPool] = []
        self._reads = ReadShare()
        self._closed: Counter[str] = Counter()
        self._acceptors: list[Acceptor] = []
        self._stop_requested = asyncio.Event()
        self._end_deadline = float("inf")

    def end(self, *, force: bool) -> None:
        """
        Close the listeners, answer the requests of all connections, and close them.

        :param force: Whether to close the connections a short time later in any case;
            may follow a call without it.
        """
        self.should_exit = True
        if force:
            self._end_deadline = boot_time() + _FORCED_END_TIMEOUT
        self._stop_requested.set()

    @contextlib.contextmanager
    def capture_signals(self):
        # The process handles signals itself: a planned stop takes further steps.
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        for sock in sockets or []:
            is_first = not self._pools
            limit = self._limits.callers if is_first else self._limits.probes
            pool = ConnectionPool(limit)
            self._pools.append(pool)
            create = partial(self._create_connection, pool)
            self._acceptors.append(
                Acceptor(sock, create, pool.make_room, self._evict_connections)
            )
        for acceptor in self._acceptors:
            acceptor.start()
        self.started = True

    async def main_loop(self) -> None:
        # Uvicorn's own loop wakes up ten times a second, which wastes CPU on an idle
        # VM; nothing that it maintains is used here.
        checks = asyncio.create_task(self._close_overdue())
        await self._stop_requested.wait()
        checks.cancel()

    async def _close_overdue(self) -> None:
        """
        Close the connections whose clients take too long.
        """
        checked_at = boot_time()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            now, before, checked_at = boot_time(), checked_at, boot_time()
            # After a pause of the process, what has arrived meanwhile is read first.
            if now - before < _LATE_CHECK:
                for connection in list(self.server_state.connections):
                    reason = connection.overdue_reason(now)
                    if reason:
                        self._abort(connection, reason)

    def _abort(self, connection: Connection, reason: str) -> None:
        self._closed[reason] += 1
        if reason != "discarded":
            _log.info("connection_closed", client=connection.client, reason=reason)
        connection.abort()

    def _create_connection(self, pool: ConnectionPool) -> Connection:
        return Connection(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
            timeouts=self._timeouts,
            reads=self._reads,
            on_made=pool.add,
            on_lost=pool.discard,
        )

    def _evict_connections(self) -> bool:
        """
        Close idle connections of all ports; return whether there were any.
        """
        return any([pool.evict() for pool in self._pools])

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        for acceptor in self._acceptors:
            acceptor.close()
        _log.info("listeners_closed", open_connections=self.open_connections)
        while not self._may_close_connections():
            await asyncio.sleep(_POLL_INTERVAL)
        for connection in list(self.server_state.connections):
            connection.shutdown()
        while not self._has_ended():
            self.abort_stalled()
            await asyncio.sleep(_POLL_INTERVAL)
        count = sum(
            not connection.is_discarding for connection in self.server_state.connections
        )
        if count:
            _log.warning("connections_aborted", count=count)
        for connection in list(self.server_state.connections):
            connection.transport.abort()

    def abort_stalled(self) -> None:
        """
        Close the connections whose clients neither send nor read.
        """
        for connection in list(self.server_state.connections):
            if connection.is_stalled and not connection.is_discarding:
                self._abort(connection, "stalled_at_stop")

    def _may_close_connections(self) -> bool:
        if boot_time() > self._end_deadline:
            return True
        if any(acceptor.connecting for acceptor in self._acceptors):
            return False
        if any(connection.is_awaited for connection in self.server_state.connections):
            return False
        return not self._has_unread_input()

    def _has_unread_input(self) -> bool:
        """
        Whether any connection has input that the event loop has not read.

        Closing a connection with unread input resets it.
        """
        poll = select.poll()
        for connection in self.server_state.connections:
            if not connection.transport.is_closing() and not connection.is_stalled:
                sock = connection.transport.get_extra_info("socket")
                poll.register(sock.fileno(), select.POLLIN)
        return any(event & select.POLLIN for _, event in poll.poll(0))

    def _has_ended(self) -> bool:
        if boot_time() > self._end_deadline:
            return True
        connections = self.server_state.connections
        has_open = any(not connection.is_discarding for connection in connections)
        return not has_open and not self.server_state.tasks


def server_config(
    app, keep_alive: float, max_header_bytes: int = _MAX_HEADER_BYTES
) -> uvicorn.Config:
    """
    Return the Uvicorn configuration of an application.

    :param keep_alive: Timeout of idle connections, in seconds.
    :param max_header_bytes: Largest header block, in bytes.
    """
    return uvicorn.Config(
        app,
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=keep_alive,
        h11_max_incomplete_event_size=max_header_bytes,
        server_header=False,
        date_header=False,
    )
