# SPDX-License-Identifier: MIT

"""
The check at an engine's address whether its process has exited.

Guards against missing a crash because an exiting process closes its connections before
its listening socket.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import pytest

from builders import make_engine_entry
from engines import EngineClient


def _is_gone(
    serve: Callable[[asyncio.StreamWriter, asyncio.Server], Coroutine],
) -> bool:
    """
    Run the check against a server that handles each connection by a function.
    """

    async def play() -> bool:
        servers: list[asyncio.Server] = []

        async def accepted(_, writer):
            await serve(writer, servers[0])

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        client = EngineClient.open()
        try:
            entry = make_engine_entry("engine-0", address=f"{host}:{port}")
            return await client.has_exited(entry)
        finally:
            await client.close()
            server.close()

    return asyncio.run(play())


@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.4])
def test_an_engine_whose_process_is_about_to_end_is_gone(seconds):
    """
    Its listening socket closes some time after its connections.
    """

    async def end_soon(writer, server):
        await asyncio.sleep(seconds)
        server.close()
        writer.transport.abort()

    assert _is_gone(end_soon)


def test_an_engine_that_takes_a_connection_is_there():
    """
    A listening process that closes each connection at once counts as running, too.
    """

    async def hold(writer, _):
        await asyncio.sleep(2.0)

    async def close(writer, _):
        writer.transport.abort()

    assert not _is_gone(hold)
    assert not _is_gone(close)
