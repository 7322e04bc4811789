# SPDX-License-Identifier: MIT

"""
Stand-in for the platform's store: topics, keyed topics and their failures.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import contextlib
import struct
import time
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import web


__all__ = ["store_app"]

#: Maximum size of a record, in bytes; must match the tests' settings.
_RECORD_BYTES = 2048


@dataclass
class _Topic:
    first: int = 0
    records: list[bytes] = field(default_factory=list)
    times: list[float] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def drop(self, before: float) -> None:
        """
        Drop the records that were appended before a monotonic time.
        """
        count = bisect.bisect_left(self.times, before)
        del self.records[:count], self.times[:count]
        self.first += count


class _Store:
    """
    The store's content, and the faults that a test sets.

    :ivar mode: ``ok``, or how every call fails: ``busy`` (503), ``reset``, ``silent``.
    :ivar lose_done: Number of appends that are carried out but not answered.
    :ivar lose_undone: Number of appends that are neither answered nor carried out.
    :ivar late_by: Delay after which the appends of ``lose_undone`` are carried out
        after all, in seconds; 0 for never.
    :ivar page: Maximum number of records in the answer to a read.
    :ivar lose_in: Topic to which ``lose_done`` and ``lose_undone`` apply; empty for
        all.
    :ivar busy_after: Number of appends to ``texts`` after which every call fails; 0 for
        never.
    :ivar slow_by: Duration of each read, in seconds.
    :ivar slow_in: Topic to which ``slow_by`` applies; empty for all.
    :ivar slow_entries: Duration of each read of the engines' entries, in seconds.
    :ivar keep_s: Time for which records of the topic ``control`` are kept, in seconds;
        0 for all of them.
    :ivar record_bytes: Maximum size of a record, in bytes.
    :ivar reads: Number of records read, by topic.
    """

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._keyed: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._grown = asyncio.Condition()
        self._late: set[asyncio.Task] = set()
        self.mode = "ok"
        self.lose_done = 0
        self.lose_undone = 0
        self.lose_in = ""
        self.late_by = 0.0
        self.page = 500
        self.slow_by = 0.0
        self.slow_in = ""
        self.busy_after = 0
        self.slow_entries = 0.0
        self.keep_s = 0.0
        self.record_bytes = _RECORD_BYTES
        self.reads: Counter[str] = Counter()

    def topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def put(self, name: str, records: list[bytes]) -> int:
        topic = self.topic(name)
        offset = topic.end
        for record in records:
            if name.startswith("keyed."):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                self._keyed.setdefault(name, {})[key] = (topic.end, value)
            topic.records.append(record)
            topic.times.append(time.monotonic())
        async with self._grown:
            self._grown.notify_all()
        return offset

    async def append(self, request: web.Request) -> web.StreamResponse:
        await self._fail(request)
        name = request.query["topic"]
        expected = request.query.get("as_of")
        records = list(_split(await request.read()))
        if any(len(record) > self.record_bytes for record in records):
            return web.json_response({}, status=413)
        if self.busy_after and name == "texts":
            self.busy_after -= 1
            if not self.busy_after:
                self.mode = "busy"
        if self.lose_undone > 0 and self.lose_in in ("", name):
            self.lose_undone -= 1
            if self.late_by:
                task = asyncio.create_task(self._put_late(name, records, expected))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
            return await _no_answer(request)
        if not self._is_expected(name, expected):
            return web.json_response({"end": self.topic(name).end}, status=412)
        offset = await self.put(name, records)
        if self.lose_done > 0 and self.lose_in in ("", name):
            self.lose_done -= 1
            return await _no_answer(request)
        return web.json_response({"offset": offset, "end": self.topic(name).end})

    def _is_expected(self, name: str, expected: str | None) -> bool:
        return expected is None or int(expected) == self.topic(name).end

    async def _put_late(
        self, name: str, records: list[bytes], expected: str | None
    ) -> None:
        await asyncio.sleep(self.late_by)
        if self._is_expected(name, expected):
            await self.put(name, records)

    async def read(self, request: web.Request) -> web.StreamResponse:
        await self._fail(request)
        name = request.query["topic"]
        if self.slow_in in ("", name):
            await asyncio.sleep(self.slow_by)
        topic = self.topic(name)
        if self.keep_s and name == "control":
            topic.drop(time.monotonic() - self.keep_s)
        start = int(request.query["from"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if start < topic.first:
            return web.json_response({"first": topic.first}, status=410)
        if start >= topic.end and wait:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait), self._grown:
                    await self._grown.wait_for(lambda: topic.end > start)
        await self._fail(request)
        begin = max(0, start - topic.first)
        records = _page(topic.records[begin : begin + self.page], request)
        self.reads[request.query["topic"]] += len(records)
        body = struct.pack(">QQ", topic.end, topic.first)
        body += b"".join(struct.pack(">I", len(r)) + r for r in records)
        return web.Response(body=body)

    async def newest(self, request: web.Request) -> web.StreamResponse:
        await self._fail(request)
        name = request.query["topic"]
        if name == "keyed.servers":
            await asyncio.sleep(self.slow_entries)
        rows = [
            {
                "private_key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(self._keyed.get(name, {}).items())
            if value
        ]
        after = request.query.get("since_rev", "")
        rows = [row for row in rows if row["private_key"] > after]
        # Small pages, so that tests cover the client's paging.
        page, more = rows[:2], len(rows) > 2
        return web.json_response(
            {"requests": page, "has_more": more, "end": self.topic(name).end}
        )

    async def _fail(self, request: web.Request) -> None:
        if self.mode == "busy":
            raise web.HTTPServiceUnavailable
        if self.mode == "reset":
            request.transport.abort()
            raise web.HTTPServiceUnavailable
        if self.mode == "silent":
            await asyncio.sleep(3600)

    async def fake(self, request: web.Request) -> web.Response:
        """
        Set failures, put keyed values (text) or drop the oldest records of a topic.
        """
        body = await request.json()
        for name in (
            "mode",
            "lose_done",
            "lose_undone",
            "lose_in",
            "late_by",
            "page",
            "slow_by",
            "slow_in",
            "busy_after",
            "slow_entries",
            "keep_s",
            "record_bytes",
        ):
            setattr(self, name, body.get(name, getattr(self, name)))
        for name, key, value in body.get("put", ()):
            record = bytes([len(key)]) + key.encode() + value.encode()
            await self.put(name, [record])
        for name in body.get("forget", ()):
            topic = self.topic(name)
            topic.drop(time.monotonic())
        async with self._grown:
            self._grown.notify_all()
        ends = {name: topic.end for name, topic in self._topics.items()}
        return web.json_response({"ends": ends, "reads": self.reads})


async def _no_answer(request: web.Request) -> web.Response:
    request.transport.abort()
    return web.Response()


def _page(records: list[bytes], request: web.Request) -> list[bytes]:
    """
    Return the records that fit into the size that a read asks for, at least one.
    """
    left = int(request.query.get("max_kb", "1024")) * 1024
    for count, record in enumerate(records):
        left -= 4 + len(record)
        if count and left < 0:
            return records[:count]
    return records


def _split(data: bytes):
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        position += 4
        yield data[position : position + length]
        position += length


def store_app() -> web.Application:
    """
    Return the stand-in's application.
    """
    store = _Store()
    app = web.Application(client_max_size=8_000_000)
    app.router.add_post("/v1/log-append", store.append)
    app.router.add_get("/v1/log-read", store.read)
    app.router.add_get("/v1/log-newest", store.newest)
    app.router.add_post("/fake", store.fake)
    return app
