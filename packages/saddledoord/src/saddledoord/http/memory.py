# SPDX-License-Identifier: MIT

"""
ASGI middleware that bounds the memory held for requests and their answers.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from saddledoor import MemoryBudget, NotRun, ResultCode

from ..request_memory import ClientLeftError, NoRoomError, RequestMemory


__all__ = ["EncodedRefusal", "bound_memory", "no_room"]

_log = structlog.get_logger()

#: Time after which a refused caller may retry, in seconds; a stalled request loses its
#: memory within this time.
_RETRY_AFTER = 1.0
#: Largest part of an answer that is written at once, in bytes: the transport keeps a
#: copy of what its client has not read.
_PIECE = 65_536

#: Headers and body of a refusal.
EncodedRefusal = tuple[list[tuple[bytes, bytes]], bytes]


def no_room() -> NotRun:
    """
    Return the refusal of a request for which there is no memory.
    """
    detail = "no memory for a request of this size now"
    return NotRun(ResultCode.OVERLOADED, detail, _RETRY_AFTER)


def bound_memory(
    app, budget: MemoryBudget, encode: Callable[[NotRun], EncodedRefusal]
) -> Callable:
    """
    Wrap an application so that each request holds memory of the budget.

    A request whose announced body does not fit is refused before its body is read.
    Within the application, `receive` raises `NoRoomError` once a body of unknown length
    does not fit, and `ClientLeftError` if the client leaves before the body's end.

    :param encode: Encodes a refusal, without its status.
    """

    async def serve(scope, receive, send) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        abort = scope.get("state", {}).get("abort", _ignore)
        with RequestMemory.open(budget, abort) as memory:
            exchange = _Exchange(scope, receive, send, memory)
            try:
                exchange.take_announced()
                await app(scope, exchange.receive, exchange.send)
            except ClientLeftError:
                pass
            except NoRoomError:
                _log.info("request_without_memory", path=scope["path"])
                if not exchange.is_answered:
                    await _refuse(send, *encode(no_room()))

    return serve


def _ignore() -> None:
    pass


class _Exchange:
    """
    The transfer of one request's body and of its answer.
    """

    def __init__(self, scope, receive, send, memory: RequestMemory) -> None:
        self._receive = receive
        self._send = send
        self._memory = memory
        self._announced = _content_length(scope["headers"])
        self._is_received = False
        self.is_answered = False

    def take_announced(self) -> None:
        """
        Take room for a body whose length is known.

        :raises NoRoomError: If there is none.
        """
        if self._announced and not self._memory.take(self._announced):
            raise NoRoomError
        self._memory.wait_for_client()

    async def receive(self) -> dict:
        message = await self._receive()
        if self._is_received:
            return message
        if message["type"] == "http.disconnect":
            raise ClientLeftError
        if message["type"] == "http.request":
            size = len(message.get("body", b""))
            if self._announced is None and not self._memory.take(size):
                raise NoRoomError
            self._memory.record_transfer(size)
            if not message.get("more_body", False):
                self._is_received = True
                self._memory.end_wait()
        return message

    async def send(self, message: dict) -> None:
        self.is_answered = True
        body = message.get("body", b"")
        if len(body) <= _PIECE:
            await self._send(message)
            return
        self._memory.wait_for_client()
        for begin in range(0, len(body), _PIECE):
            piece = body[begin : begin + _PIECE]
            is_last = begin + _PIECE >= len(body)
            has_more = not is_last or message.get("more_body", False)
            await self._send({**message, "body": piece, "more_body": has_more})
            self._memory.record_transfer(len(piece))
        self._memory.end_wait()


def _content_length(headers) -> int | None:
    """
    Return the announced length of a body, in bytes; None if it comes in chunks.
    """
    lengths = [int(value) for name, value in headers if name == b"content-length"]
    is_chunked = any(name == b"transfer-encoding" for name, _ in headers)
    return None if is_chunked else next(iter(lengths), 0)


async def _refuse(send, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
    headers = [
        *headers,
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    status = no_room().code.http_status
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
