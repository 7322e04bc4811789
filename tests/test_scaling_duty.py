# SPDX-License-Identifier: MIT

"""
The end of the duty that orders engines, with a lease and a controller in memory.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from saddledoord.scaling.duty import ScalingDuty


class _Lease:
    """
    A lease whose release takes until the order in flight has ended.
    """

    def __init__(self, events: list[str]) -> None:
        self._events = events

    async def run(self) -> None:
        await asyncio.sleep(60.0)

    async def release(self) -> None:
        await asyncio.sleep(0.02)
        self._events.append("released")


class _Controller:
    """
    A controller with an order in flight.
    """

    def __init__(self, events: list[str]) -> None:
        self._events = events

    async def run(self) -> None:
        try:
            await asyncio.sleep(0.01)
            self._events.append("order ended")
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            self._events.append("cancelled")
            raise


@pytest.mark.parametrize("by_config", [True, False])
def test_an_order_in_flight_ends_before_the_lease_is_released(by_config):
    """
    Guards against an order that was cut off and arrives after one of the next holder.
    """
    events: list[str] = []
    services = {"pool": SimpleNamespace(scaling=object())}
    view = SimpleNamespace(config=SimpleNamespace(services=services))

    async def run() -> None:
        duty = ScalingDuty(
            view, lambda: _Lease(events), lambda lease: _Controller(events)
        )
        duty.start()
        await asyncio.sleep(0)
        if by_config:
            view.config = SimpleNamespace(services={})
            duty.follow_config()
            await asyncio.sleep(0.05)
        else:
            await duty.release()
        await asyncio.sleep(0.01)

    asyncio.run(run())
    assert events == ["order ended", "released", "cancelled"]
