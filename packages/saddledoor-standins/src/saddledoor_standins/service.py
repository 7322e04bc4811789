# SPDX-License-Identifier: MIT

"""
Stand-in of a plain service that counts the runs of each reference.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

from saddledoor.tracing import CallRan

from ._serve import cut
from ._trace_file import trace_to


__all__ = ["service_app"]


@dataclass
class _Faults:
    """
    Injected faults, as the number of next requests that each applies to.

    :ivar not_started: Refuse with the guarantee that the request did not run.
    :ivar run_and_close: Run and close the connection without an answer.
    :ivar read_and_close: Read the request and close, without running it.
    :ivar delay_s: Delay of every request, in seconds.
    """

    not_started: int = 0
    run_and_close: int = 0
    read_and_close: int = 0
    delay_s: float = 0.0


class _Service:
    def __init__(self, name: str, trace: str) -> None:
        self.name = name
        self._trace = trace_to(trace, name)
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.faults = _Faults()

    def _use_fault(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining > 0

    async def load(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"name": self.name, "running": self.running, "waiting": 0}
        )

    async def call(self, request: web.Request) -> web.Response:
        raw = await request.read()
        if self._use_fault("not_started"):
            return web.Response(status=503, headers={"X-Not-Started": "1"})
        if self._use_fault("read_and_close"):
            return cut(request)
        reference = request.query.get("ref") or json.loads(raw or b"{}").get("ref", "")
        self.runs[f"{request.path} {reference}"] += 1
        self._trace(CallRan(self.name, request.headers.get("X-Request-Id", "")))
        self.running += 1
        try:
            await asyncio.sleep(0.002 + self.faults.delay_s)
        finally:
            self.running -= 1
        if self._use_fault("run_and_close"):
            return cut(request)
        return web.json_response(
            {"ref": reference, "path": request.path, "by": self.name}
        )

    async def fake(self, request: web.Request) -> web.Response:
        """
        Inject faults and return the number of runs by path and reference.
        """
        body = await request.json()
        for name in vars(self.faults):
            if name in body:
                setattr(self.faults, name, body[name])
        return web.json_response({"runs": self.runs})


def service_app(name: str, trace: str = "") -> web.Application:
    """
    Return the application of a plain service.

    :param trace: File for the trace of its runs; empty for none.
    """
    service = _Service(name, trace)
    app = web.Application()
    app.router.add_get("/v1/load", service.load)
    app.router.add_post("/fake", service.fake)
    app.router.add_route("*", "/{path:.*}", service.call)
    return app
