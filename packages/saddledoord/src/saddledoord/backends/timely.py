# SPDX-License-Identifier: MIT

"""
Requests that are sent soon after they were decided on, or not at all.

A process may stand still between the decision and the first byte, and the request
would then be sent by what was known before: of 40 scoring calls that were under way
when their job ended, one reached its engine 3.6 s later. The client's own limit does
not help, since the connection may be there when its timer is looked at.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from contextvars import ContextVar

import aiohttp

from .._clock import boot_time


__all__ = ["TimelyConnector", "TimelyRequest", "send"]

#: Longest time from the decision to send something until its first byte is written, in
#: seconds: a connection may take 0.5 s.
_SEND_WITHIN = 0.8

_decided_at: ContextVar[float] = ContextVar("decided_at", default=float("inf"))


@asynccontextmanager
async def send(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse], decided_at: float
) -> AsyncIterator[aiohttp.ClientResponse]:
    """
    Send a request of a session that makes `TimelyRequest` over a `TimelyConnector`.

    :param decided_at: When it was decided to send it, monotonic, in seconds, time of
        suspension included. It counts for this request only: the task may send others.
    """
    async with AsyncExitStack() as stack:
        token = _decided_at.set(decided_at)
        try:
            response = await stack.enter_async_context(request)
        finally:
            _decided_at.reset(token)
        yield response


class TimelyConnector(aiohttp.TCPConnector):
    """
    Gives no connection to a request that was decided on long ago.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list,
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """
        As the library's.

        :raises TimeoutError: Also if the decision is too old; nothing was sent.
        """
        connection = await super().connect(req, traces, timeout)
        if _is_too_late():
            connection.close()
            raise TimeoutError("decided on too long ago")
        return connection


class TimelyRequest(aiohttp.ClientRequest):
    """
    Writes nothing of a request that was decided on long ago.

    The library writes a body, and the head with it, in a task of its own, which begins
    a step of the loop after the connection was taken: at a load of 18 on 8 cores
    2 of 40 scoring calls were caught by a standstill there.
    """

    async def write_bytes(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        conn: aiohttp.connector.Connection,
        content_length: int | None = None,
    ) -> None:
        """
        As the library's; whoever waits for the answer gets a `ConnectionTimeoutError`
        if the decision is too old.
        """
        if not _is_too_late():
            await super().write_bytes(writer, conn, content_length)
        elif conn.protocol is not None:
            late = aiohttp.ConnectionTimeoutError("decided on too long ago")
            conn.protocol.set_exception(late)


def _is_too_late() -> bool:
    return boot_time() - _decided_at.get() > _SEND_WITHIN
