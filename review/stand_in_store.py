# SPDX-License-Identifier: MIT

"""
Stand-in for the platform's store: ``stand_in_store.py PORT``.

It serves the calls of the log that the edges use. A keyed write that changes nothing
but ``seq_no`` adds no record. `POST /control` holds back one write of a key: it gets no
answer and is done some seconds later, as the page of the store allows.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import sys
from dataclasses import dataclass, field

from aiohttp import web


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)


def _split(data: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        records.append(data[position + 4 : position + 4 + length])
        position += 4 + length
    return records


def _without_count(value: bytes) -> object:
    fields = json.loads(value) if value else {}
    fields.pop("seq_no", None)
    return fields


class Store:
    """
    The topics, each with one partition, and the write that is held back.
    """

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._grown = asyncio.Condition()
        self._late: set[asyncio.Task] = set()
        self._hold_key = ""
        self._hold_s = 0.0
        self._held: list[str] = []

    async def append(self, request: web.Request) -> web.StreamResponse:
        name = request.query["topic"]
        records = _split(await request.read())
        if self._hold_key and self._key_of(name, records[0]) == self._hold_key:
            self._held.append(self._hold_key)
            task = asyncio.create_task(self._put_late(name, records, self._hold_s))
            self._late.add(task)
            self._hold_key = ""
            # The connection says nothing further; the caller times out.
            await asyncio.sleep(30)
        topic = self._topics.setdefault(name, _Topic())
        if "as_of" in request.query and int(request.query["as_of"]) != len(
            topic.records
        ):
            return web.json_response({"end": len(topic.records)}, status=412)
        offset = await self._put(name, records)
        return web.json_response({"offset": offset, "end": len(topic.records)})

    def _key_of(self, name: str, record: bytes) -> str:
        if not name.startswith("keyed."):
            return ""
        return record[1 : 1 + record[0]].decode()

    async def _put_late(self, name: str, records: list[bytes], delay: float) -> None:
        await asyncio.sleep(delay)
        await self._put(name, records)

    async def _put(self, name: str, records: list[bytes]) -> int:
        topic = self._topics.setdefault(name, _Topic())
        offset = len(topic.records)
        for record in records:
            key = self._key_of(name, record)
            if key:
                value = record[1 + record[0] :]
                _, before = topic.newest.get(key, (0, b""))
                if before and _without_count(before) == _without_count(value):
                    continue
                topic.newest[key] = (len(topic.records), value)
            topic.records.append(record)
        async with self._grown:
            self._grown.notify_all()
        return offset

    async def read(self, request: web.Request) -> web.Response:
        topic = self._topics.setdefault(request.query["topic"], _Topic())
        start = int(request.query["from"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if start >= len(topic.records) and wait:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait), self._grown:
                    await self._grown.wait_for(lambda: len(topic.records) > start)
        left = int(request.query.get("max_kb", "1024")) * 1024
        body = struct.pack(">QQ", len(topic.records), 0)
        for count, record in enumerate(topic.records[start:]):
            left -= 4 + len(record)
            if count and left < 0:
                break
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body)

    async def newest(self, request: web.Request) -> web.Response:
        topic = self._topics.setdefault(request.query["topic"], _Topic())
        after = request.query.get("since_rev", "")
        rows = [
            {
                "private_key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
            if value and key > after
        ]
        return web.json_response(
            {
                "requests": rows[:500],
                "has_more": len(rows) > 500,
                "end": len(topic.records),
            }
        )

    async def control(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._hold_key = body.get("hold_key", self._hold_key)
        self._hold_s = body.get("hold_s", self._hold_s)
        return web.json_response({"held": self._held})


def main(port: str) -> None:
    """
    Serve until terminated.
    """
    store = Store()
    app = web.Application(client_max_size=8_000_000)
    app.router.add_post("/v1/log-append", store.append)
    app.router.add_get("/v1/log-read", store.read)
    app.router.add_get("/v1/log-newest", store.newest)
    app.router.add_post("/control", store.control)
    web.run_app(app, host="127.0.0.1", port=int(port), print=None)


if __name__ == "__main__":
    main(*sys.argv[1:])
