# SPDX-License-Identifier: MIT

"""
A server that answers requests with given bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager


__all__ = ["answer_head", "open_raw_server"]


def answer_head(status: str = "200 OK", *headers: bytes, request_id: str = "r-1"):
    """
    Return the first lines of an answer, up to the empty line.
    """
    lines = [
        f"HTTP/1.1 {status}".encode(),
        f"Saddledoor-Attempt-Id: {request_id}".encode(),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n"


@asynccontextmanager
async def open_raw_server(answer: Callable[[], bytes]) -> AsyncIterator[str]:
    """
    Serve on a loopback port, whose address is returned; connections stay open.

    :param answer: Returns the bytes that answer the next request.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.partition(b":")[2]))
                writer.write(answer())
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
