# SPDX-License-Identifier: MIT

"""
HTTP client classes that drop a request decided on too long ago.

The process may be paused between the decision and the first byte, and the decision may
no longer hold when it resumes. The client's connection timeout does not cover this: the
connection may be ready before the event loop handles the timer. So the last check is
made where the first byte is handed to the kernel.
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


__all__ = ["SendDeadlineConnector", "send"]

#: Longest time from the decision to send a request until its first byte is written, in
#: seconds; a connection may take 0.5 s of it.
_MAX_SEND_DELAY = 0.8


@dataclass
class _PendingRequest:
    """
    A request whose response head has not arrived.

    :param decided_at: Time of the decision to send it, on the clock of `boot_time`, in
        seconds.
    :param on_written: Called when its first byte was written.
    :param is_started: Whether its first byte was written.
    :param is_dropped: Whether it was dropped before that.
    """

    decided_at: float
    on_written: Callable[[], None]
    is_started: bool = False
    is_dropped: bool = False


_pending: ContextVar[_PendingRequest | None] = ContextVar("pending", default=None)


def _ignore() -> None:
    pass


@asynccontextmanager
async def send(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse],
    decided_at: float,
    on_written: Callable[[], None] = _ignore,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """
    Send a request of a session that uses `SendDeadlineConnector`.

    :param decided_at: Time of the decision to send it, on the clock of `boot_time`, in
        seconds. Applies to this request only.
    :param on_written: Called when its first byte was written.
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
    Refuses the first byte of a request that was decided on too long ago.

    asyncio closes a connection whose socket refuses a write.
    """

    def send(self, *arguments) -> int:
        return self._start(super().send, *arguments)

    def sendmsg(self, *arguments) -> int:
        return self._start(super().sendmsg, *arguments)

    def _start(self, write: Callable[..., int], *arguments) -> int:
        pending = _pending.get()
        if pending is None or pending.is_started:
            return write(*arguments)
        # No function call may come between this check and the system call: a pause
        # there would not be noticed.
        if boot_time() - pending.decided_at > _MAX_SEND_DELAY:
            pending.is_dropped = True
            raise TimeoutError("decided on too long ago")
        written = write(*arguments)
        pending.is_started = True
        pending.on_written()
        return written


_create_socket = functools.partial(
    create_resetting_socket, socket_class=_SendDeadlineSocket
)
