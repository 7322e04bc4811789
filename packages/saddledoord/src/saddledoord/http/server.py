# SPDX-License-Identifier: MIT

"""
HTTP server without signal handlers, for a process that handles signals itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import uvicorn


__all__ = ["HttpServer", "listen", "server_config"]

#: Largest header block of a request, in bytes.
_MAX_HEADER_BYTES = 32_768
#: Connections that may wait to be accepted.
_BACKLOG = 1024


class HttpServer(uvicorn.Server):
    """
    A server that is stopped by `end`, not by a signal.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop_requested = asyncio.Event()

    def end(self, *, force: bool) -> None:
        """
        Close the listener and its connections.

        :param force: Whether to close without waiting for requests in flight.
        """
        self.should_exit = True
        self.force_exit = force
        self._stop_requested.set()

    @contextlib.contextmanager
    def capture_signals(self):
        # The process handles signals itself: a planned stop takes further steps.
        yield

    async def main_loop(self) -> None:
        # Uvicorn's own loop wakes up ten times a second, which wastes CPU on an idle
        # VM; nothing that it maintains is used here.
        await self._stop_requested.wait()


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


def listen(address: str) -> socket.socket:
    """
    Open a listening socket.

    :raises OSError: If the address cannot be bound; the message contains it.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise OSError(f"{address}: {error.strerror}") from None
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener
