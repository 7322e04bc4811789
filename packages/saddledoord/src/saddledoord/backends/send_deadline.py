# SPDX-License-Identifier: MIT

"""
HTTP client classes that drop a request decided on too long ago, and a connection whose
answer is too large.

The process may be paused between the decision and the first byte, and the decision may
no longer hold when it resumes. The client's connection timeout does not cover this: the
connection may be ready before the event loop handles the timer. So the last check is
made where the first byte is handed to the kernel.

A server may send a head or a body without end. The parser accepts any number of interim
responses (RFC 9110, section 15.2) and passes nothing on until the final one, so the
size is checked where the bytes are received.
"""

from __future__ import annotations

import functools
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp

from .._clock import boot_time
from .sockets import create_resetting_socket


__all__ = ["AnswerTooLargeError", "SendDeadlineConnector", "send"]

#: Longest time from the decision to send a request until its first byte is written, in
#: seconds; a connection may take 0.5 s of it.
_MAX_SEND_DELAY = 0.8
#: Maximum size of an answer's head, interim responses included, in bytes.
_MAX_HEAD_BYTES = 65_536
#: Maximum size of one read within a head and after it, in bytes; bounds how long the
#: parser holds the event loop.
_HEAD_READ, _BODY_READ = 8_192, 65_536


class AnswerTooLargeError(OSError):
    """
    A server has sent more bytes than an answer may have.
    """


@dataclass
class _PendingRequest:
    """
    A request whose response head has not arrived.

    :param decided_at: Time of the decision to send it, on the clock of `boot_time`, in
        seconds.
    :param on_written: Called when its first byte was written.
    :param is_started: Whether its first byte was written.
    :param is_dropped: Whether it was dropped before that.
    :param sock: Socket that it is sent over; None before the first byte.
    """

    decided_at: float
    on_written: Callable[[], None]
    is_started: bool = False
    is_dropped: bool = False
    sock: _SendDeadlineSocket | None = None


_pending: ContextVar[_PendingRequest | None] = ContextVar("pending", default=None)


def _ignore() -> None:
    pass


@asynccontextmanager
async def send(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse],
    decided_at: float,
    on_written: Callable[[], None] = _ignore,
    max_body: float = float("inf"),
) -> AsyncIterator[aiohttp.ClientResponse]:
    """
    Send a request of a session that uses `SendDeadlineConnector`.

    The connection fails if the answer is too large.

    :param decided_at: Time of the decision to send it, on the clock of `boot_time`, in
        seconds; infinite if it may be sent at any time. Applies to this request only.
    :param on_written: Called when its first byte was written.
    :param max_body: Maximum size of the answer's body with its framing, in bytes.
    :raises aiohttp.ConnectionTimeoutError: Also if it was decided on too long ago;
        nothing was sent.
    """
    pending = _PendingRequest(decided_at, on_written)
    async with AsyncExitStack() as stack:
        token = _pending.set(pending)
        try:
            response = await stack.enter_async_context(request)
        except aiohttp.ClientError:
            if pending.is_dropped:
                raise aiohttp.ConnectionTimeoutError(
                    "decided on too long ago"
                ) from None
            raise
        finally:
            _pending.reset(token)
        if pending.sock is not None:
            pending.sock.allow_body(max_body)
        yield response


class SendDeadlineConnector(aiohttp.TCPConnector):
    """
    Writes nothing of a request that was decided on too long ago.

    Its sockets discard undelivered data when they are closed.
    """

    def __init__(self, **options) -> None:
        super().__init__(socket_factory=_create_socket, **options)


class _SendDeadlineSocket(socket.socket):
    """
    Refuses the first byte of a request that was decided on too long ago, and an answer
    that is too large.

    asyncio closes a connection whose socket refuses a write or a read.
    """

    _may_receive = float("inf")
    _max_read = _BODY_READ

    def allow_body(self, max_body: float) -> None:
        """
        Set the maximum size of what is received from now on, in bytes.
        """
        self._may_receive = max_body
        self._max_read = _BODY_READ

    def recv(self, size: int, *flags) -> bytes:
        data = super().recv(min(size, self._max_read), *flags)
        self._may_receive -= len(data)
        if self._may_receive < 0:
            raise AnswerTooLargeError("the answer is too large")
        return data

    def send(self, *arguments) -> int:
        return self._start(super().send, *arguments)

    def sendmsg(self, *arguments) -> int:
        return self._start(super().sendmsg, *arguments)

    def _start(self, write: Callable[..., int], *arguments) -> int:
        pending = _pending.get()
        # The client may send a request again over another connection.
        if pending is None or pending.sock is self:
            return write(*arguments)
        # No function call may come between this check and the system call: a pause
        # there would not be noticed.
        if boot_time() - pending.decided_at > _MAX_SEND_DELAY:
            pending.is_dropped = True
            raise TimeoutError("decided on too long ago")
        written = write(*arguments)
        pending.sock = self
        self._may_receive = _MAX_HEAD_BYTES
        self._max_read = _HEAD_READ
        if not pending.is_started:
            pending.is_started = True
            pending.on_written()
        return written


_create_socket = functools.partial(
    create_resetting_socket, socket_class=_SendDeadlineSocket
)
