# SPDX-License-Identifier: MIT

"""
HTTP client classes that drop a request decided on too long ago.

The process may be paused between the decision and the first byte, and the decision may
no longer hold when it resumes. The client's connection timeout does not cover this: the
connection may be ready before the event loop handles the timer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from contextvars import ContextVar

import aiohttp

from .._clock import boot_time


__all__ = ["SendDeadlineConnector", "SendDeadlineRequest", "send"]

#: Longest time from the decision to send a request until its first byte is written, in
#: seconds.
_MAX_SEND_DELAY = 0.8

_decided_at: ContextVar[float] = ContextVar("decided_at", default=float("inf"))


@asynccontextmanager
async def send(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse], decided_at: float
) -> AsyncIterator[aiohttp.ClientResponse]:
    """
    Send a request of a session that uses `SendDeadlineRequest` and
    `SendDeadlineConnector`.

    :param decided_at: Time of the decision to send it, on the clock of `boot_time`, in
        seconds. Applies to this request only.
    """
    async with AsyncExitStack() as stack:
        token = _decided_at.set(decided_at)
        try:
            response = await stack.enter_async_context(request)
        finally:
            _decided_at.reset(token)
        yield response


class SendDeadlineConnector(aiohttp.TCPConnector):
    """
    Provides no connection to a request that was decided on too long ago.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list,
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """
        Get a connection, as `aiohttp.TCPConnector.connect` does.

        :raises TimeoutError: Also if the request was decided on too long ago; nothing
            was sent.
        """
        connection = await super().connect(req, traces, timeout)
        if _is_decision_too_old():
            connection.close()
            raise TimeoutError("decided on too long ago")
        return connection


class SendDeadlineRequest(aiohttp.ClientRequest):
    """
    Writes nothing of a request that was decided on too long ago.

    aiohttp writes the headers and the body in a separate task, which starts one event
    loop iteration after the connection was acquired; the process may be paused between
    the two.
    """

    async def write_bytes(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        conn: aiohttp.connector.Connection,
        content_length: int | None = None,
    ) -> None:
        """
        Write the request, as `aiohttp.ClientRequest.write_bytes` does.

        If it was decided on too long ago, waiting for the response raises
        `aiohttp.ConnectionTimeoutError`.
        """
        if not _is_decision_too_old():
            await super().write_bytes(writer, conn, content_length)
        elif conn.protocol is not None:
            error = aiohttp.ConnectionTimeoutError("decided on too long ago")
            conn.protocol.set_exception(error)


def _is_decision_too_old() -> bool:
    return boot_time() - _decided_at.get() > _MAX_SEND_DELAY
