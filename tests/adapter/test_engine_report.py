# SPDX-License-Identifier: MIT

"""
What an engine says of itself when asked, and what is no usable answer.
"""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from engine_documents import HOSTILE_BYTES, as_bytes, make_report
from engines import EngineClient
from saddledoor import EngineEntry
from saddledoord.ports import EngineState


def _ask(body: bytes) -> EngineState | None:
    """
    Ask an engine whose report is these bytes.
    """

    async def report(_: web.Request) -> web.Response:
        return web.Response(body=body)

    async def play() -> EngineState | None:
        app = web.Application()
        app.router.add_get("/v1/report", report)
        async with TestServer(app, host="127.0.0.1") as server:
            address = f"127.0.0.1:{server.port}"
            client = EngineClient.open()
            try:
                return await client.state(
                    EngineEntry("engine-a", "pool", address, "dc-a", 4)
                )
            finally:
                await client.close()

    return asyncio.run(play())


def test_a_report_tells_what_an_engine_holds():
    """
    The stand-in answers as an engine does.
    """
    state = _ask(as_bytes(make_report()))
    assert state is not None and state.versions == {"model-a": 4}


@pytest.mark.parametrize("name", HOSTILE_BYTES)
def test_a_report_that_cannot_be_read_is_no_usable_answer(name):
    """
    As if the engine had not answered; nobody who asked ends by it.
    """
    assert _ask(HOSTILE_BYTES[name]) is None
