# SPDX-License-Identifier: MIT

"""
HTTP server without signal handlers, for a process that handles signals itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket

import structlog
import uvicorn

from .._clock import boot_time
from .connection import Connection
from .listener import Acceptor


__all__ = ["HttpServer", "server_config"]

_log = structlog.get_logger()

#: Largest header block of a request, in bytes.
_MAX_HEADER_BYTES = 32_768
#: Longest time that a forced end takes to send responses, in seconds.
_FORCED_END_TIMEOUT = 0.3
#: Interval of the checks whether a stopping server may close its connections, in
#: seconds.
_POLL_INTERVAL = 0.02


class HttpServer(uvicorn.Server):
    """
    A server that is stopped by `end`, not by a signal.
    """

    @property
    def open_connections(self) -> int:
        """
        Number of connections that are accepted and not yet closed.
        """
        connecting = sum(acceptor.connecting for acceptor in self._acceptors)
        return connecting + len(self.server_state.connections)

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
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
        def create_protocol() -> asyncio.Protocol:
            return self.config.http_protocol_class(
                config=self.config,
                server_state=self.server_state,
                app_state=self.lifespan.state,
            )

        self._acceptors = [Acceptor(sock, create_protocol) for sock in sockets or []]
        for acceptor in self._acceptors:
            acceptor.start()
        self.started = True

    async def main_loop(self) -> None:
        # Uvicorn's own loop wakes up ten times a second, which wastes CPU on an idle
        # VM; nothing that it maintains is used here.
        await self._stop_requested.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        for acceptor in self._acceptors:
            acceptor.close()
        _log.info("listeners_closed", open_connections=self.open_connections)
        while not self._may_close_connections():
            await asyncio.sleep(_POLL_INTERVAL)
        for connection in list(self.server_state.connections):
            connection.shutdown()
        while not self._has_ended():
            await asyncio.sleep(_POLL_INTERVAL)
        if self.open_connections:
            _log.warning("connections_aborted", count=self.open_connections)
        for connection in list(self.server_state.connections):
            connection.transport.abort()

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
            if not connection.transport.is_closing():
                sock = connection.transport.get_extra_info("socket")
                poll.register(sock.fileno(), select.POLLIN)
        return any(event & select.POLLIN for _, event in poll.poll(0))

    def _has_ended(self) -> bool:
        if boot_time() > self._end_deadline:
            return True
        return not self.server_state.connections and not self.server_state.tasks


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
        http=Connection,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=keep_alive,
        h11_max_incomplete_event_size=max_header_bytes,
        server_header=False,
        date_header=False,
    )
