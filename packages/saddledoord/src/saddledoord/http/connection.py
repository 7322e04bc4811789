# SPDX-License-Identifier: MIT

"""
A client's connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11
import structlog
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from .._clock import boot_time
from .limits import ConnectionTimeouts
from .read_share import ReadShare


__all__ = ["Connection"]

_log = structlog.get_logger()

#: Longest time from accepting a connection until its first request arrives for which a
#: stopping server waits, in seconds.
_FIRST_REQUEST_TIMEOUT = 1.0
#: Smallest and largest read of a head or of chunks, and largest one of a body of known
#: length, in bytes.
_MIN_READ, _MAX_READ, _BODY_READ = 2_048, 16_384, 65_536
#: Time of parsing above which a read is expensive, in seconds.
_EXPENSIVE = 0.001
#: Bytes of further requests above which a connection is not read until its response is
#: complete.
_MAX_AHEAD = 4_096
#: Bytes that count as progress of a body.
_PROGRESS = 16_384
#: Time without progress after which a stopping server does not wait for a client, in
#: seconds.
_STALL_TIME = 1.0
#: Longest time for which a closed connection discards what its client still sends, and
#: the longest pause in it, in seconds.
_DISCARD_TIME, _DISCARD_PAUSE = 10.0, 1.0

#: Receives the bytes of all connections, one read at a time.
_buffer = memoryview(bytearray(_BODY_READ))


class Connection(H11Protocol, asyncio.BufferedProtocol):
    """
    A connection with limits of time and size.

    It reads little at a time, and keeps little of what is sent before a response.

    :param timeouts: Returns the limits in force.
    :param reads: Order of the expensive reads of all connections.
    :param on_made: Called once it is open.
    :param on_lost: Called once it is closed.
    """

    def __init__(
        self,
        *args,
        timeouts: Callable[[], ConnectionTimeouts],
        reads: ReadShare,
        on_made: Callable[[Connection], None],
        on_lost: Callable[[Connection], None],
        **kwargs,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._reads = reads
        self._read_size = _MIN_READ
        self._is_deferred = False
        self._on_made = on_made
        self._on_lost = on_lost
        self.app_state = {**self.app_state, "abort": self._abort_evicted}
        self._timeouts = timeouts
        self._accepted_at = boot_time()
        self._progressed_at = self._accepted_at
        self._unmarked = 0
        self._head_since: float | None = None
        self._discard_since: float | None = None

    @property
    def is_awaited(self) -> bool:
        """
        Whether a request is in flight, has partly arrived, or may follow as the first.

        A request whose client makes no progress is not awaited.
        """
        if self.transport.is_closing() or self.is_stalled:
            return False
        if self.cycle is None:
            age = boot_time() - self._accepted_at
            return age < _FIRST_REQUEST_TIMEOUT or self._has_partial_head
        return not self.cycle.response_complete or self._has_partial_head

    @property
    def is_discarding(self) -> bool:
        """
        Whether the connection is closed but for what its client still sends.
        """
        return self._discard_since is not None

    @property
    def is_stalled(self) -> bool:
        """
        Whether a request or its answer waits for a client that makes no progress.
        """
        waits = self._has_partial_head or self._is_receiving or self.flow.write_paused
        return waits and boot_time() - self._progressed_at >= _STALL_TIME

    @property
    def waits_since(self) -> float | None:
        """
        When the client made its last progress; None while its request is served.
        """
        is_served = self.cycle is not None and not self.cycle.response_complete
        waits = self._is_receiving or self.flow.write_paused
        return None if is_served and not waits else self._progressed_at

    def connection_made(self, transport: asyncio.Transport) -> None:
        closing = _DiscardingTransport(transport, self._close)
        super().connection_made(closing)
        self.flow = _InputFlow(closing, self._may_read)
        self._on_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_lost(self)
        super().connection_lost(exc)

    def get_buffer(self, _: int) -> memoryview:
        is_sized_body = self._is_receiving and self._is_sized
        if is_sized_body or self.is_discarding:
            return _buffer
        return _buffer[: self._read_size]

    def buffer_updated(self, size: int) -> None:
        if self.is_discarding:
            self._progressed_at = boot_time()
            return
        if self._is_receiving:
            self._unmarked += size
            if self._unmarked >= _PROGRESS:
                self._record_progress()
        elif self._head_since is None and self.conn.their_state is h11.IDLE:
            self._head_since = boot_time()
            self._record_progress()
        started_at = boot_time()
        self.data_received(bytes(_buffer[:size]))
        self._limit_reads(size, boot_time() - started_at)

    def handle_events(self) -> None:
        super().handle_events()
        if self.conn.their_state is h11.IDLE:
            # Reading may have been paused while the request before was answered.
            self.flow.resume_reading()
        elif self._head_since is not None:
            self._head_since = None
            self._record_progress()

    def on_response_complete(self) -> None:
        self._record_progress()
        self.timeout_keep_alive = self._timeouts().idle
        super().on_response_complete()
        if self._has_partial_head and self.conn.their_state is h11.IDLE:
            self._head_since = boot_time()

    def resume_writing(self) -> None:
        self._record_progress()
        super().resume_writing()

    def abort(self) -> None:
        """
        Close the connection at once, with what is not sent.
        """
        self.transport.abort()

    def _abort_evicted(self) -> None:
        """
        Close the connection, whose request has lost its memory.
        """
        _log.info("connection_closed", client=self.client, reason="memory")
        self.abort()

    def overdue_reason(self, now: float) -> str:
        """
        Return why the connection should be closed; empty if it should not.

        :param now: On the clock of `boot_time`, in seconds.
        """
        timeouts = self._timeouts()
        waits_since = self.waits_since
        if self._discard_since is not None:
            pause = now - self._progressed_at
            is_over = now - self._discard_since > _DISCARD_TIME
            return "discarded" if is_over or pause > _DISCARD_PAUSE else ""
        if self._head_since is not None and now - self._head_since > timeouts.head:
            return "head_timeout"
        if waits_since is not None and now - waits_since > timeouts.idle:
            return "idle_timeout"
        return ""

    def _close(self, transport: asyncio.Transport) -> None:
        """
        Close the connection, and discard what its client still sends.

        A close with unread input resets the connection, and the client may lose the
        response.
        """
        if self.is_discarding:
            return
        has_left = self.cycle is not None and self.cycle.disconnected
        has_input = self._is_receiving or self.conn.trailing_data[0]
        if transport.is_closing() or has_left or not has_input:
            transport.close()
            return
        self._discard_since = self._progressed_at = boot_time()
        transport.write_eof()
        transport.resume_reading()

    def _limit_reads(self, size: int, seconds: float) -> None:
        """
        Adapt the size and the time of the next read to the duration of this one.
        """
        if seconds < _EXPENSIVE:
            if size == self._read_size:
                self._read_size = min(_MAX_READ, 2 * size)
            return
        self._read_size = _MIN_READ
        if self._is_receiving and not self.transport.is_closing():
            self._is_deferred = True
            self.flow.pause_reading()
            self._reads.defer(self._resume_reads, seconds)

    def _resume_reads(self) -> None:
        self._is_deferred = False
        if not self.transport.is_closing():
            self.flow.resume_reading()

    def _may_read(self) -> bool:
        """
        Return whether more may be read: a client may send requests without end before
        it has the response to the first one.
        """
        if self._is_deferred:
            return False
        if self.conn.their_state is not h11.DONE:
            return True
        return len(self.conn.trailing_data[0]) <= _MAX_AHEAD

    def _record_progress(self) -> None:
        self._unmarked = 0
        self._progressed_at = boot_time()

    @property
    def _is_receiving(self) -> bool:
        """
        Whether a request's body has not arrived completely.
        """
        return self.conn.their_state is h11.SEND_BODY

    @property
    def _is_sized(self) -> bool:
        """
        Whether the length of the request's body is known.
        """
        names = {name for name, _ in self.headers}
        return b"content-length" in names and b"transfer-encoding" not in names

    @property
    def _has_partial_head(self) -> bool:
        unprocessed, _ = self.conn.trailing_data
        return bool(unprocessed) and self.conn.their_state is h11.IDLE


class _DiscardingTransport:
    """
    A transport whose `close` is replaced.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        close: Callable[[asyncio.Transport], None],
    ) -> None:
        self._transport = transport
        self._close = close
        self._is_closing = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        return self._is_closing or self._transport.is_closing()

    def close(self) -> None:
        self._is_closing = True
        self._close(self._transport)


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
