# SPDX-License-Identifier: MIT

"""
Appends on the condition of a topic's end.
"""

from __future__ import annotations

import asyncio

from aiohttp.test_utils import TestServer

from saddledoord.ports import Appended, NotAppended
from standin_store import store_app
from store import Store


def test_an_append_on_another_end_appends_nothing():
    """
    Guards against a snapshot of leases that takes effect although others wrote records
    that it does not include.
    """

    async def scenario():
        async with TestServer(store_app()) as server:
            store = Store(f"{server.host}:{server.port}")
            try:
                outcomes = [
                    await store.append("control", [b"a"]),
                    await store.append("control", [b"b"], expected_end=0),
                    await store.append("control", [b"c"], expected_end=1),
                ]
                page = await store.read("control", 0)
            finally:
                await store.close()
        return outcomes, page.records

    outcomes, records = asyncio.run(scenario())
    assert outcomes == [Appended(0), NotAppended("status 412"), Appended(1)]
    assert records == (b"a", b"c")
