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
    :ivar fenced: Whether fencing numbers below the highest seen one are refused.
    :ivar calls: All calls that arrived.
    :ivar reports: Reports that were carried out, in order.
    """

    def __init__(self) -> None:
        self.mode = "ok"
        self.lose = 0
        self.late = 0
        self.fenced = True
        self.calls: list[dict] = []
        self.reports: list[dict] = []
        self._top_fence = -1
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
        Set faults, and return the calls and reports.
        """
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({"calls": self.calls, "reports": self.reports})


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
    app.router.add_post("/fake", duties.fake)
    return app
