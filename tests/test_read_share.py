# SPDX-License-Identifier: MIT

"""
Turns of the connections whose input is expensive to parse.
"""

from __future__ import annotations

import asyncio

from saddledoord.http.read_share import ReadShare


def test_one_connection_reads_at_a_time():
    """
    The event loop does other work between two of them.
    """

    async def run() -> list[str]:
        share, order = ReadShare(), []
        for name in "abc":
            share.defer(lambda name=name: order.append(name), 0.0)

        def other_work() -> None:
            order.append("-")

        while len(order) < 20 and not {"a", "b", "c"} <= set(order):
            other_work()
            await asyncio.sleep(0.001)
        return order

    order = "".join(asyncio.run(run()))
    assert order.replace("-", "") == "abc"
    assert "ab" not in order and "bc" not in order
