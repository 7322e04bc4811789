# SPDX-License-Identifier: MIT

"""
Listening sockets, and an acceptor that loses no connection when it closes one.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

import structlog


__all__ = ["Acceptor", "listen"]

_log = structlog.get_logger()

#: Connections that may wait to be accepted.
_BACKLOG = 2048
#: Sizes of the kernel's buffers of a connection, in bytes; the kernel doubles them.
#: Unread bytes count as the machine's memory. A buffer for sending that holds fewer
#: than two segments waits for the client's delayed acknowledgements.
_RECEIVE_BUFFER, _SEND_BUFFER = 65_536, 131_072
#: Connections that are accepted before others are served.
_ACCEPTED_AT_ONCE = 16
#: Pause after a failed accept, and without room for a connection, in seconds.
_RETRY_PAUSE, _ROOM_PAUSE = 1.0, 0.05


def listen(address: str) -> socket.socket:
    """
    Open a listening socket.

    :raises OSError: If the address cannot be bound; the message contains it.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit these.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise OSError(f"{address}: {error.strerror}") from None
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener


class Acceptor:
    """
    Accepts the connections of a listening socket.

    `asyncio.Server` resets connections when it is closed: those in the backlog, and
    those that it has accepted but not yet given a transport.

    :param create_protocol: Returns the protocol of a new connection.
    :param make_room: Returns whether one more connection may be accepted.
    :param on_exhausted: Called when the process has no more descriptors; returns
        whether some will be free soon.
    """

    def __init__(
        self,
        listener: socket.socket,
        create_protocol: Callable[[], asyncio.Protocol],
        make_room: Callable[[], bool] = lambda: True,
        on_exhausted: Callable[[], bool] = lambda: False,
    ) -> None:
        self._make_room = make_room
        self._on_exhausted = on_exhausted
        self._listener = listener
        self._create_protocol = create_protocol
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task] = set()
        self._retry: asyncio.TimerHandle | None = None

    @property
    def connecting(self) -> int:
        """
        Number of accepted connections that have no protocol yet.
        """
        return len(self._connecting)

    def start(self) -> None:
        """
        Accept connections until `close`.
        """
        self._retry = None
        self._loop.add_reader(self._listener, self._accept_pending)

    def close(self) -> None:
        """
        Accept the connections in the backlog, and close the socket.
        """
        self._loop.remove_reader(self._listener)
        self._accept_pending(_BACKLOG)
        if self._retry is not None:
            self._retry.cancel()
        self._listener.close()

    def _accept_pending(self, count: int = _ACCEPTED_AT_ONCE) -> None:
        for _ in range(count):
            if not self._make_room():
                self._pause(_ROOM_PAUSE)
                return
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                # The client has left; others may wait behind it.
                continue
            except OSError as error:
                is_short = error.errno in (errno.EMFILE, errno.ENFILE)
                pause = _RETRY_PAUSE
                if is_short and self._on_exhausted():
                    pause = _ROOM_PAUSE
                _log.error("accept_failed", reason=str(error), retry_after=pause)
                self._pause(pause)
                return
            self._connect(connection)

    def _pause(self, pause: float) -> None:
        self._loop.remove_reader(self._listener)
        self._retry = self._loop.call_later(pause, self.start)

    def _connect(self, connection: socket.socket) -> None:
        connected = self._loop.connect_accepted_socket(
            self._create_protocol, connection
        )
        task = self._loop.create_task(connected)
        self._connecting.add(task)
        task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Task) -> None:
        self._connecting.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("connection_failed", exc_info=task.exception())
