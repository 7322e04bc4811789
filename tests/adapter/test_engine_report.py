# SPDX-License-Identifier: MIT

"""
Reading an engine's report, valid or not.
"""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from engine_documents import HOSTILE_BYTES, as_bytes, make_report
from engines import EngineClient
from saddledoor import EngineEntry
from saddledoord.backends import send_deadline
from saddledoord.ports import EngineState, VersionOrder


def _ask(body: bytes) -> EngineState | None:
    """
    Read the report of an engine that answers with the given bytes.
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
    The report's fields are decoded into the engine's state.
    """
    state = _ask(as_bytes(make_report()))
    assert state is not None and state.versions == {"model-a": 4}


@pytest.mark.parametrize("name", HOSTILE_BYTES)
def test_a_report_that_cannot_be_read_is_no_usable_answer(name):
    """
    It counts as no answer and raises nothing.
    """
    assert _ask(HOSTILE_BYTES[name]) is None


def test_an_engine_that_was_given_an_order_is_asked_later():
    """
    The send deadline of a task's order does not apply to its later requests.
    """

    async def order(_: web.Request) -> web.Response:
        return web.Response(status=202)

    async def report(_: web.Request) -> web.Response:
        return web.Response(body=as_bytes(make_report()))

    async def play() -> EngineState | None:
        app = web.Application()
        app.router.add_post("/v1/order", order)
        app.router.add_get("/v1/report", report)
        async with TestServer(app, host="127.0.0.1") as server:
            address = f"127.0.0.1:{server.port}"
            engine = EngineEntry("engine-a", "pool", address, "dc-a", 4)
            client = EngineClient.open()
            try:
                given = VersionOrder("model-a", 5, "edge-0", 1, 0, True)
                assert (
                    await client.order(engine, given, send_deadline.boot_time())
                    == "taken"
                )
                later = send_deadline.boot_time() + 3.0
                with patch.object(send_deadline, "boot_time", lambda: later):
                    return await client.state(engine)
            finally:
                await client.close()

    assert asyncio.run(play()) is not None
