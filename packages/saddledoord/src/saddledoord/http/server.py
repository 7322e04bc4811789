# SPDX-License-Identifier: MIT

"""
The HTTP server of a process that handles signals by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import uvicorn


__all__ = ["HttpServer", "listen", "server_config"]

#: Largest header block of a caller, in bytes.
_MAX_HEADERS = 32_768
#: Connections that may wait to be accepted, a count.
_BACKLOG = 1024


class HttpServer(uvicorn.Server):
    """
    A server that ends when it is told, not by a signal.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._ended = asyncio.Event()

    def end(self, *, force: bool) -> None:
        """
        Close the listener and what is open on it.

        :param force: Whether to wait for nobody.
        """
        self.should_exit = True
        self.force_exit = force
        self._ended.set()

    @contextlib.contextmanager
    def capture_signals(self):
        # The daemon itself handles signals: a planned stop is more than closing.
        yield

    async def main_loop(self) -> None:
        # The library's own loop wakes up ten times a second, which would cost an idle
        # VM a fifth of its share of a core; nothing that it looks after is used here.
        await self._ended.wait()


def server_config(
    app, keep_alive: float, max_headers: int = _MAX_HEADERS
) -> uvicorn.Config:
    """
    Return the settings of a server for an application.

    :param keep_alive: How long an idle caller's connection stays open, in seconds.
    :param max_headers: Largest header block, in bytes.
    """
    return uvicorn.Config(
        app,
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=keep_alive,
        h11_max_incomplete_event_size=max_headers,
        server_header=False,
        date_header=False,
    )


def listen(address: str) -> socket.socket:
    """
    Open a listening socket.

    :raises OSError: If the address cannot be had; the message names it.
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
