# SPDX-License-Identifier: MIT

"""
Limits of size for answers: of all together, and in the client of our own deployment.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from unittest.mock import Mock

import aiohttp
import pytest

from saddledoor import OutcomeUnknown
from saddledoord.backends.answer_bodies import AnswerBodies
from saddledoord.backends.client import BackendClient, CompletionBrokenError


#: Largest number of bytes that a server gets rid of before its connection is closed,
#: with the buffers of the kernel.
_MAX_POURED = 48_000_000
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_WAYS = {
    "continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "chunked": (_HEAD + _CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "length": (_HEAD + b"Content-Length: 99999999999999\r\n\r\n", b"x" * 65536),
    "empty lines": (_HEAD + _CHUNKED, b"10000\r\n" + b"\n" * 65536 + b"\r\n"),
    "fields": (_HEAD, b"X-More: x\r\n" * 1000),
}


async def _poured(
    way: str, use: Callable[[BackendClient, str], Awaitable[None]]
) -> int:
    """
    Return the number of bytes that a server sent without end until it was closed.
    """
    head, repeated = _WAYS[way]
    sent = 0
    closed = asyncio.Event()

    async def serve(reader, writer) -> None:
        nonlocal sent
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            while True:
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
        writer.close()
        closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = BackendClient.open()
    async with server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            await use(client, address)
            async with asyncio.timeout(5.0):
                await closed.wait()
        finally:
            await client.close()
    return sent


async def _call(client: BackendClient, address: str) -> None:
    outcome = await client.call(
        address,
        request_id="r-1",
        method="GET",
        target="/slots",
        content_type="text/plain",
        body=b"",
        timeout=20.0,
    )
    assert isinstance(outcome, OutcomeUnknown)


async def _complete(client: BackendClient, address: str) -> None:
    with pytest.raises(CompletionBrokenError):
        async for _ in client.complete(address, "r-1", {}, 20.0):
            pass


async def _read_load(client: BackendClient, address: str) -> None:
    with pytest.raises(aiohttp.ClientError):
        await client.read_load(address, 20.0)


async def _order(client: BackendClient, address: str) -> None:
    with pytest.raises(aiohttp.ClientError):
        await client.order(address, {}, 20.0)


@pytest.mark.parametrize("way", _WAYS)
@pytest.mark.parametrize("use", [_call, _complete, _read_load, _order])
def test_a_backend_server_that_sends_without_end_is_cut_off(use, way):
    """
    Guards against a server of our own deployment that takes all memory of a VM.
    """
    assert asyncio.run(_poured(way, use)) <= _MAX_POURED


class _Content:
    """
    The content of a response whose chunks a test feeds.
    """

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()

    async def iter_any(self):
        while chunk := await self.queue.get():
            yield chunk


def _response(length: int | None) -> Mock:
    return Mock(content=_Content(), content_length=length)


def test_the_largest_body_of_unknown_length_is_dropped():
    """
    Guards against servers that take all memory together, and against a long answer of
    known length that is given up in their place.
    """

    async def scenario() -> None:
        bodies = AnswerBodies(max_total=100)
        declared, short, pouring = _response(90), _response(None), _response(None)
        reads = [
            asyncio.create_task(bodies.read(response, 200))
            for response in (declared, short, pouring)
        ]
        for response, size in ((declared, 80), (short, 5), (pouring, 16)):
            response.content.queue.put_nowait(b"x" * size)
            await asyncio.sleep(0.001)
        pouring.close.assert_called()
        for response, size in ((declared, 10), (short, 1), (pouring, 16)):
            response.content.queue.put_nowait(b"x" * size)
            response.content.queue.put_nowait(b"")
        answers = await asyncio.gather(*reads, return_exceptions=True)
        assert [len(answer) for answer in answers[:2]] == [90, 6]
        assert isinstance(answers[2], aiohttp.ClientPayloadError)

    asyncio.run(scenario())


@pytest.mark.parametrize("length", [201, 10**15])
def test_a_body_that_announces_too_much_is_not_read(length):
    """
    Its connection is closed at once.
    """
    response = _response(length)
    with pytest.raises(aiohttp.ClientPayloadError):
        asyncio.run(AnswerBodies().read(response, 200))
    response.close.assert_called_once()
