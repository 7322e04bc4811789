# SPDX-License-Identifier: MIT

"""
Stand-in for a server that sends bytes without end until its caller closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time


__all__ = ["ITEM_WAYS", "PLAIN_WAYS", "serve_pour"]

_MARK = b"Saddledoor-Server-Seal: mark\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_EVENTS = b"Content-Type: text/event-stream\r\n" + _CHUNKED
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


#: By way: status line, further headers with the empty line, and what is repeated.
PLAIN_WAYS = {
    "continue": (b"", b"", _CONTINUE * 500),
    "length": (b"200 OK", b"Content-Length: 99999999999999\r\n\r\n", b"x" * 65536),
    "chunked": (b"200 OK", _CHUNKED + b"\r\n", _chunk(b"x" * 65536)),
    "small chunks": (b"200 OK", _CHUNKED + b"\r\n", _chunk(b"x") * 1000),
    "chunk size": (b"200 OK", _CHUNKED + b"\r\n", b"0" * 65536),
    "chunk extension": (b"200 OK", _CHUNKED + b"\r\n1;", b"x" * 65536),
    "fields": (b"200 OK", b"", b"X-More: x\r\n" * 1000),
    "field": (b"200 OK", b"X-More: ", b"x" * 65536),
    "status line": (b"200 ", b"", b"x" * 65536),
    "no framing": (b"200 OK", b"\r\n", b"x" * 65536),
    "trailers": (b"200 OK", _CHUNKED + b"\r\n0\r\n", b"X-More: x\r\n" * 1000),
    "more": (b"200 OK", b"Content-Length: 2\r\n\r\nhi", b"x" * 65536),
}
ITEM_WAYS = {
    "continue": PLAIN_WAYS["continue"],
    "comments": (b"200 OK", _EVENTS + b"\r\n", _chunk(b": x\n" * 4000)),
    "empty lines": (b"200 OK", _EVENTS + b"\r\n", _chunk(b"\n" * 16000)),
    "empty CRLF lines": (b"200 OK", _EVENTS + b"\r\n", _chunk(b"\r\n" * 8000)),
    "line": (b"200 OK", _EVENTS + b"\r\n", _chunk(b"x" * 65536)),
    "lines": (b"200 OK", _EVENTS + b"\r\n", _chunk(b"data: x\n" * 4000)),
    "500": (b"500 No", _CHUNKED + b"\r\n", _chunk(b"x" * 65536)),
    "length": (b"200 OK", b"Content-Length: 99999999999999\r\n\r\n", b"x" * 65536),
    "fields": PLAIN_WAYS["fields"],
}


class _Pour:
    """
    The way of pouring, and what came of it.

    :ivar pause: Time between two writes, in seconds.
    :ivar closed_after: Times until the callers closed, in seconds.
    """

    def __init__(self) -> None:
        self.ways = PLAIN_WAYS
        self.way = "length"
        self.pause = 0.0
        self.closed_after: list[float] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n") if b": " in line
            )
            length = int(fields.get(b"Content-Length", b"0"))
            body = await reader.readexactly(length)
            if head.startswith(b"POST /fake"):
                writer.write(self._change(json.loads(body)))
                await writer.drain()
            else:
                await self._pour(writer, fields.get(b"Saddledoor-Attempt-Id", b""))
        writer.close()

    async def _pour(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        status, head, repeated = self.ways[self.way]
        if status:
            writer.write(b"HTTP/1.1 " + status)
            if status != b"200 ":
                writer.write(b"\r\nSaddledoor-Attempt-Id: " + name + b"\r\n")
                writer.write(_MARK + head)
        started_at = time.monotonic()
        try:
            while True:
                writer.write(repeated[:20] if self.pause else repeated)
                await writer.drain()
                await asyncio.sleep(self.pause)
        finally:
            self.closed_after.append(time.monotonic() - started_at)

    def _change(self, changes: dict) -> bytes:
        """
        Set the way; return the times until callers closed since the last change.
        """
        if "way" in changes:
            self.ways = ITEM_WAYS if changes.get("items") else PLAIN_WAYS
            self.way = changes["way"]
            self.pause = changes.get("pause", 0.0)
        answer = json.dumps({"closed_after": self.closed_after}).encode()
        self.closed_after = []
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + (
            answer
        )


def serve_pour(port: int) -> None:
    """
    Serve on a loopback port until terminated.
    """

    async def run() -> None:
        server = await asyncio.start_server(_Pour().serve, "127.0.0.1", port)
        async with server:
            await server.serve_forever()

    asyncio.run(run())
