# SPDX-License-Identifier: MIT

"""
Stand-in for the platform's interface for duties: fencing, lost answers, late execution.
"""

from __future__ import annotations

import asyncio
import time

from aiohttp import web


__all__ = ["duties_app"]

#: Delay after which an unanswered call is carried out, in seconds.
_LATE = 2.0


class _Duties:
    """
    The received calls, and the faults that a test sets.

    :ivar mode: ``ok``, or how every call fails: ``busy`` (429), ``reset``, ``silent``;
        ``mute`` is silent to reports with counts.
    :ivar lose: Number of calls that are carried out but not answered.
    :ivar late: Number of calls that are not answered and carried out later.
    :ivar refused: Data centres, with ``/spot`` for spot engines, that have no engine.
    :ivar scale_mode: As ``mode``, for orders of engines.
    :ivar orders: All orders of engines that arrived, with the answer's status.
    :ivar fenced: Whether fencing numbers below the highest seen one are refused.
    :ivar calls: All calls that arrived.
    :ivar reports: Reports that were carried out, in order.
    """

    def __init__(self) -> None:
        self.mode = "ok"
        self.lose = 0
        self.late = 0
        self.fenced = True
        self.refused: list[str] = []
        self.scale_mode = "ok"
        self.orders: list[dict] = []
        self.calls: list[dict] = []
        self.reports: list[dict] = []
        self._top_fence = -1
        self._top_scale_fences: dict[tuple[str, str], int] = {}
        self._tasks: set[asyncio.Task] = set()

    async def usage(self, request: web.Request) -> web.StreamResponse:
        call = {
            **await request.json(),
            "holder": request.headers["Saddledoor-Duty-Holder"],
            "fence": int(request.headers["Saddledoor-Fence-Token"]),
            "at": time.time(),
        }
        self.calls.append(call)
        if self.mode == "silent" or (self.mode == "mute" and call["counts"]):
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return web.Response(status=429)
        if self.mode == "reset":
            return _no_answer(request)
        if self.late > 0:
            self.late -= 1
            task = asyncio.create_task(self._carry_out_late(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return _no_answer(request)
        status = self._carry_out(call)
        if self.lose > 0:
            self.lose -= 1
            return _no_answer(request)
        return web.Response(status=status)

    async def scale(self, request: web.Request) -> web.StreamResponse:
        order = {
            **await request.json(),
            "holder": request.headers["Saddledoor-Duty-Holder"],
            "fence": int(request.headers["Saddledoor-Fence-Token"]),
            "at": time.time(),
            "status": 0,
        }
        self.orders.append(order)
        if self.scale_mode == "silent":
            await asyncio.sleep(3600)
        if self.scale_mode == "reset":
            return _no_answer(request)
        order["status"] = self._scale_status(order)
        return web.Response(status=order["status"])

    def _scale_status(self, order: dict) -> int:
        if self.scale_mode == "busy":
            return 429
        place = (order["service"], order["zone"])
        if order["fence"] < self._top_scale_fences.get(place, -1):
            return 409
        self._top_scale_fences[place] = order["fence"]
        name = order["zone"] + ("/spot" if order.get("spot") else "")
        return 409 if name in self.refused else 200

    def _carry_out(self, call: dict) -> int:
        if self.fenced and call["fence"] < self._top_fence:
            return 409
        self._top_fence = max(self._top_fence, call["fence"])
        self.reports.append(call)
        return 200

    async def _carry_out_late(self, call: dict) -> None:
        await asyncio.sleep(_LATE)
        self._carry_out(call)

    async def fake(self, request: web.Request) -> web.Response:
        """
        Set faults, and return the calls, reports and orders.
        """
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response(
            {"calls": self.calls, "reports": self.reports, "orders": self.orders}
        )


def _no_answer(request: web.Request) -> web.Response:
    request.transport.abort()
    return web.Response()


def duties_app() -> web.Application:
    """
    Return the stand-in's application.
    """
    duties = _Duties()
    app = web.Application()
    app.router.add_post("/usage", duties.usage)
    app.router.add_post("/scale", duties.scale)
    app.router.add_post("/fake", duties.fake)
    return app
