# SPDX-License-Identifier: MIT

"""
Stand-in of the append-only log service, with injected outages and lost answers.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from aiohttp import web

from ._serve import cut


__all__ = ["log_app"]

#: Largest number of records in one answer to a read.
_PAGE_SIZE = 500


@dataclass
class _Stream:
    first: int = 0
    records: list[dict] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        return self.first + len(self.records)


class _Log:
    """
    All streams, and the injected failures.

    :ivar streams: Streams by name.
    :ivar unreachable: Whether every connection is cut.
    :ivar lose_answers: Number of next appends that take effect and get no answer.
    :ivar refuse_appends: Number of next appends that are cut without taking effect.
    :ivar appends: Number of appends that took effect.
    """

    def __init__(self) -> None:
        self.streams: dict[str, _Stream] = {}
        self.unreachable = False
        self.lose_answers = 0
        self.refuse_appends = 0
        self.appends = 0
        self._appended = asyncio.Condition()

    def stream(self, name: str) -> _Stream:
        return self.streams.setdefault(name, _Stream())

    async def append(self, request: web.Request) -> web.Response:
        if self.unreachable:
            return cut(request)
        if self.refuse_appends > 0:
            self.refuse_appends -= 1
            return cut(request)
        body = await request.json()
        stream = self.stream(request.match_info["stream"])
        first = stream.next_offset
        for data in body["records"]:
            record = {"offset": stream.next_offset, "at": time.time(), "data": data}
            stream.records.append(record)
        self.appends += 1
        async with self._appended:
            self._appended.notify_all()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return cut(request)
        return web.json_response({"first": first})

    async def read(self, request: web.Request) -> web.Response:
        if self.unreachable:
            return cut(request)
        stream = self.stream(request.match_info["stream"])
        start = int(request.query.get("from", "0"))
        wait = min(30.0, float(request.query.get("wait", "0")))
        if wait > 0 and stream.next_offset <= start:
            try:
                async with asyncio.timeout(wait), self._appended:
                    await self._appended.wait_for(
                        lambda: stream.next_offset > start or self.unreachable
                    )
            except TimeoutError:
                pass
        if self.unreachable:
            return cut(request)
        begin = max(start, stream.first) - stream.first
        page = stream.records[begin : begin + _PAGE_SIZE]
        next_offset = page[-1]["offset"] + 1 if page else max(start, stream.first)
        next_offset = min(next_offset, stream.next_offset) if not page else next_offset
        return web.json_response(
            {"first": stream.first, "next": next_offset, "records": page}
        )

    async def fake(self, request: web.Request) -> web.Response:
        """
        Inject failures and return the number of appends.
        """
        body = await request.json()
        self.unreachable = bool(body.get("away", self.unreachable))
        self.lose_answers = int(body.get("lose_answers", self.lose_answers))
        self.refuse_appends = int(body.get("refuse_appends", self.refuse_appends))
        for name, offset in body.get("drop_before", {}).items():
            stream = self.stream(name)
            dropped = max(0, int(offset) - stream.first)
            stream.records = stream.records[dropped:]
            stream.first += dropped
        async with self._appended:
            self._appended.notify_all()
        return web.json_response({"appends": self.appends})


def log_app() -> web.Application:
    """
    Return the application of the log service.
    """
    log = _Log()
    app = web.Application(client_max_size=64_000_000)
    app.router.add_post("/v1/streams/{stream}", log.append)
    app.router.add_get("/v1/streams/{stream}", log.read)
    app.router.add_post("/fake", log.fake)
    return app
