# SPDX-License-Identifier: MIT

"""
Requests whose sender stood still before there was a connection for them.
"""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from saddledoord._clock import boot_time
from saddledoord.backends.timely import TimelyConnector, note_decision


async def _ask(ages: list[float]) -> tuple[list[bool], int]:
    """
    Ask a service once for each age of the decision, in seconds; return which were
    answered, and how many it got.
    """
    got = 0

    async def answer(request: web.Request) -> web.Response:
        nonlocal got
        got += 1
        return web.Response()

    app = web.Application()
    app.router.add_get("/", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    answered = []
    async with aiohttp.ClientSession(connector=TimelyConnector()) as session:
        for age in ages:
            note_decision(boot_time() - age)
            try:
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    answered.append(response.status == 200)
            except aiohttp.ConnectionTimeoutError:
                answered.append(False)
    await runner.cleanup()
    return answered, got


@pytest.mark.parametrize("first", [0.0, 3.0])
def test_what_was_decided_on_long_ago_is_not_sent(first):
    """
    Neither over a new connection nor over one that is kept; the next one is sent.
    """
    answered, got = asyncio.run(_ask([first, 3.0, 0.0]))
    assert answered == [first == 0.0, False, True]
    assert got == sum(answered)
