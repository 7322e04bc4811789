# SPDX-License-Identifier: MIT

"""
A client's connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from .._clock import boot_time


__all__ = ["Connection"]

#: Longest time from accepting a connection until its first request arrives for which a
#: stopping server waits, in seconds.
_FIRST_REQUEST_TIMEOUT = 1.0
#: Largest read of a head or of chunks, and of a body of known length, in bytes.
_READ, _BODY_READ = 16_384, 65_536
#: Bytes of further requests above which a connection is not read until its response is
#: complete.
_MAX_AHEAD = 4_096

#: Receives the bytes of all connections, one read at a time.
_buffer = memoryview(bytearray(_BODY_READ))


class Connection(H11Protocol, asyncio.BufferedProtocol):
    """
    A connection that tells whether its client may be waiting for a response.

    It reads little at a time, and keeps little of what is sent before a response.
    """

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.app_state = {**self.app_state, "abort": self.abort}
        self._accepted_at = boot_time()

    @property
    def is_awaited(self) -> bool:
        """
        Whether a request is in flight, has partly arrived, or may follow as the first.
        """
        if self.transport.is_closing():
            return False
        if self.cycle is None:
            age = boot_time() - self._accepted_at
            return age < _FIRST_REQUEST_TIMEOUT or self._has_partial_head
        return not self.cycle.response_complete or self._has_partial_head

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.flow = _InputFlow(transport, self._may_read)

    def get_buffer(self, _: int) -> memoryview:
        is_sized_body = (
            self.conn.their_state is h11.SEND_BODY
            and self._is_sized
            and not self.conn.trailing_data[0]
        )
        return _buffer[: _BODY_READ if is_sized_body else _READ]

    def buffer_updated(self, size: int) -> None:
        self.data_received(bytes(_buffer[:size]))

    def handle_events(self) -> None:
        super().handle_events()
        if self.conn.their_state is h11.IDLE:
            # Reading may have been paused while the request before was answered.
            self.flow.resume_reading()

    def abort(self) -> None:
        """
        Close the connection at once, with what is not sent.
        """
        self.transport.abort()

    def _may_read(self) -> bool:
        """
        Return whether more may be read: a client may send requests without end before
        it has the response to the first one.
        """
        if self.conn.their_state is not h11.DONE:
            return True
        return len(self.conn.trailing_data[0]) <= _MAX_AHEAD

    @property
    def _is_sized(self) -> bool:
        """
        Whether the length of the request's body is known.
        """
        return any(name == b"content-length" for name, _ in self.headers)

    @property
    def _has_partial_head(self) -> bool:
        unprocessed, _ = self.conn.trailing_data
        return bool(unprocessed)


class _InputFlow(FlowControl):
    """
    Flow control of a connection that may not be read at any time.
    """

    def __init__(
        self, transport: asyncio.Transport, may_read: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        if self._may_read():
            super().resume_reading()
