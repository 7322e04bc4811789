# SPDX-License-Identifier: MIT

"""
Requests are not sent after a process pause between the decision and the first byte.
"""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import pytest
from aiohttp import web

from saddledoord._clock import boot_time
from saddledoord.backends import send_deadline
from saddledoord.backends.send_deadline import SendDeadlineConnector, send


async def _send_requests(
    ages: list[float], body: bytes = b""
) -> tuple[list[bool], int]:
    """
    Send one request for each age of its decision, in seconds.

    :returns: Which requests were answered, and how many the server received.
    """
    received = 0

    async def answer(request: web.Request) -> web.Response:
        nonlocal received
        received += 1
        return web.Response()

    app = web.Application()
    app.router.add_post("/", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
    answered = []
    connector = SendDeadlineConnector()
    async with aiohttp.ClientSession(connector=connector) as session:
        for age in ages:
            sending = session.post(url, data=body or None)
            try:
                async with send(sending, boot_time() - age) as response:
                    answered.append(response.status == 200)
            except aiohttp.ConnectionTimeoutError:
                answered.append(False)
    await runner.cleanup()
    return answered, received


@pytest.mark.parametrize("first", [0.0, 3.0])
def test_what_was_decided_on_long_ago_is_not_sent(first):
    """
    Neither over a new connection nor over a pooled one; the next request is sent.
    """
    answered, received = asyncio.run(_send_requests([first, 3.0, 0.0]))
    assert answered == [first == 0.0, False, True]
    assert received == sum(answered)


def test_a_standstill_just_before_its_first_byte_stops_a_request(monkeypatch):
    """
    The pause follows the acquired connection; the next request is sent.
    """
    clock = iter([13.8, 20.0])
    monkeypatch.setattr(send_deadline, "boot_time", lambda: next(clock))
    times = iter([10.0, 20.0])
    monkeypatch.setattr(sys.modules[__name__], "boot_time", lambda: next(times))
    answered, received = asyncio.run(_send_requests([0.0, 0.0], b"body"))
    assert (answered, received) == ([False, True], 1)


def test_a_later_request_of_the_same_task_has_no_deadline_of_an_earlier_one():
    """
    The task first sends a request that is dropped, then one without a deadline.
    """

    async def run() -> int:
        async def respond(_: web.Request) -> web.Response:
            return web.Response()

        app = web.Application()
        app.router.add_get("/", respond)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
        async with aiohttp.ClientSession(connector=SendDeadlineConnector()) as session:
            with pytest.raises(aiohttp.ConnectionTimeoutError):
                async with send(session.get(url), boot_time() - 3.0):
                    pass
            async with session.get(url) as response:
                status = response.status
        await runner.cleanup()
        return status

    assert asyncio.run(run()) == 200
