# SPDX-License-Identifier: MIT

"""
New connections to engines are counted by cause.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import engine_transport
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from send_permits import make_permit

import engine_sessions
from engines import EngineClient
from saddledoor import EngineEntry
from saddledoord._clock import boot_time
from saddledoord.ports import ForwardedRequest, VersionOrder
from standin_engine import engine_app


class _Bed:
    """
    A client and one engine, with the new connections that the client counted.
    """

    def __init__(self, client: EngineClient, address: str, counts: Counter) -> None:
        self.client = client
        self.engine = EngineEntry("engine-a", "desk", address, "dc-a", 4)
        self.counts = counts

    async def call(self, request_id: str, *, repeatable: bool = True) -> None:
        request = ForwardedRequest(
            "POST", "a.example", "/look", (), b"b", request_id, repeatable
        )
        await self.client.call(make_permit(self.engine, boot_time()), request, 5.0)


def _play(story) -> Counter:
    """
    Return the number of new connections by cause.
    """
    counts: Counter = Counter()

    def count(service: str, cause: str) -> None:
        assert service == "desk"
        counts[str(cause)] += 1

    async def play() -> None:
        app = engine_app("", "engine-a", "desk", "")
        async with TestServer(app, host="127.0.0.1") as server:
            client = EngineClient.open(count)
            try:
                await story(_Bed(client, f"127.0.0.1:{server.port}", counts))
            finally:
                await client.close()

    asyncio.run(play())
    return counts


def test_each_cause_of_a_new_connection_is_counted():
    """
    New connections are priced; a rise must be traced to its cause.
    """

    async def story(bed):
        await bed.call("r-1")
        await bed.call("r-2")
        assert bed.counts == {"first_use": 1}
        await asyncio.gather(bed.call("r-3"), bed.call("r-4"))
        await bed.call("r-1")
        await bed.call("")
        await bed.call("r-5", repeatable=False)
        order = VersionOrder("model-a", 2, "edge-0", 1, 0, True)
        await bed.client.order(bed.engine, order, boot_time())
        await bed.client.has_exited(bed.engine)
        await bed.client.state(bed.engine)

    assert _play(story) == {
        "first_use": 1,
        "closed_or_busy": 1,
        "repeated_id": 2,
        "unrepeatable": 1,
        "exit_check": 1,
    }


def test_a_replaced_session_is_a_cause_of_its_own(monkeypatch):
    """
    Its share shows whether the number of remembered ids is too low.
    """
    monkeypatch.setattr(engine_sessions, "_MAX_CARRIED_IDS", 10)

    async def story(bed):
        for number in range(35):
            await bed.call(f"r-{number}")

    assert _play(story) == {"first_use": 1, "replaced_session": 3}


def test_a_connection_that_failed_is_not_counted():
    """
    Nothing was opened.
    """

    async def story(bed):
        bed.engine = EngineEntry("engine-a", "desk", "127.0.0.1:1", "dc-a", 4)
        await bed.call("r-1")
        assert not await bed.client.state(bed.engine)

    assert _play(story) == {}


@pytest.mark.parametrize(
    ("header", "pause", "opened"),
    [
        ("timeout=60", 0.5, 1),
        ("max=9, Timeout=60", 0.5, 1),
        ("timeout=1", 0.05, 2),
        ("timeout=x", 0.5, 2),
        (None, 0.5, 2),
        (None, 0.05, 1),
    ],
)
def test_idle_connections_are_kept_as_long_as_the_engine_does(
    monkeypatch, header, pause, opened
):
    """
    A shorter time costs new connections; a longer one loses requests, which would cross
    the engine's close.
    """
    monkeypatch.setattr(engine_transport, "_KEEP_ALIVE_TIMEOUT", 0.2)
    counts: Counter = Counter()

    async def answer(request: web.Request) -> web.Response:
        headers = {
            "Saddledoor-Attempt-Id": request.headers["Saddledoor-Attempt-Id"],
            "Saddledoor-Server-Seal": "seal",
        }
        return web.Response(
            headers=headers | ({"Keep-Alive": header} if header else {})
        )

    async def play() -> None:
        app = web.Application()
        app.router.add_post("/look", answer)
        async with TestServer(app, host="127.0.0.1") as server:
            client = EngineClient.open(lambda _, cause: counts.update([cause]))
            bed = _Bed(client, f"127.0.0.1:{server.port}", counts)
            try:
                await bed.call("r-1")
                await asyncio.sleep(pause)
                await bed.call("r-2")
            finally:
                await client.close()

    asyncio.run(play())
    assert counts.total() == opened
