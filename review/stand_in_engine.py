# SPDX-License-Identifier: MIT

"""
Stand-in for an engine or a plain service: ``stand_in_engine.py SETTINGS``, where
SETTINGS is a JSON object with the fields of `Settings`.

It writes its entry to the store as a heartbeat. Every write has its own connection; one
that gets no answer in time is given up, and the next one follows on schedule.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import struct
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from aiohttp import web


#: Time that a change of version takes, in seconds.
_LOAD = 0.9
#: Time that a write of the entry waits for its answer, in seconds.
_WRITE_TIMEOUT = 1.0


@dataclass(frozen=True)
class Settings:
    """
    :ivar address_port: Port of the address in its entry.
    :ivar model: Model of an engine; empty for a plain service.
    :ivar work_s: Time that a plain request runs.
    :ivar gap_s: Time between two events of a text.
    :ivar spoil: Share of the plain answers in which one byte has a wrong bit.
    """

    port: int
    address_port: int
    engine_id: str
    service: str
    store: str
    record: str
    model: str = ""
    slots: int = 12
    heartbeat_s: float = 1.2
    work_s: float = 0.03
    gap_s: float = 0.02
    spoil: float = 0.0
    seed: int = 1


class Engine:
    """
    One process of an engine.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._state = "ready"
        self._beats = True
        self._writes = 0
        self._orders = 0
        self._version = 1
        self._busy = False
        self._running = 0
        self._spoil = settings.spoil
        self._spoiled = 0
        self._random = random.Random(settings.seed)
        self._tasks: set[asyncio.Task] = set()
        self._restart_beat = asyncio.Event()
        self._record_path = Path(settings.record)

    def record(self, what: str, **fields: object) -> None:
        line = {"at": round(time.monotonic(), 3), "by": self._settings.engine_id}
        with self._record_path.open("a") as stream:
            print(json.dumps({**line, "what": what, **fields}), file=stream)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def beat(self) -> None:
        """
        Write the entry on schedule; a change of state starts a new schedule.
        """
        while True:
            self._restart_beat.clear()
            if self._beats:
                self._spawn(self.write_entry())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.heartbeat_s):
                    await self._restart_beat.wait()

    async def write_entry(self) -> None:
        settings = self._settings
        self._writes += 1
        number, state = self._writes, self._state
        entry = {
            "service": settings.service,
            "address": f"127.0.0.1:{settings.address_port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": settings.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq_no": number,
        }
        if settings.model:
            entry |= {"stage": "both", "models": self._models()}
        acknowledged = await self._append(json.dumps(entry).encode())
        self.record("entry", seq_no=number, state=state, acknowledged=acknowledged)

    async def remove_entry(self) -> None:
        """
        Remove the entry; the engine serves on.
        """
        self._beats = False
        acknowledged = await self._append(b"")
        self.record("entry removed", acknowledged=acknowledged)

    async def _append(self, value: bytes) -> bool:
        """
        Write the entry's value; return whether the store has acknowledged it.
        """
        key = self._settings.engine_id.encode()
        record = bytes([len(key)]) + key + value
        url = f"http://{self._settings.store}/v1/log-append?topic=keyed.servers&part=0"
        limit = aiohttp.ClientTimeout(total=_WRITE_TIMEOUT)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=limit) as session,
                session.post(
                    url, data=struct.pack(">I", len(record)) + record
                ) as response,
            ):
                return response.status == 200
        return False

    def _models(self) -> list[dict]:
        name = self._settings.model
        return [{"name": name, "version": self._version, "adapters": []}]

    async def request(self, request: web.Request) -> web.StreamResponse:
        settings = self._settings
        body = await request.read()
        name = request.headers.get("Saddledoor-Attempt-Id", "")
        reply = {"Saddledoor-Attempt-Id": name}
        expected = request.headers.get("Saddledoor-Expect-Instance")
        if expected not in (None, settings.engine_id):
            return web.Response(status=421, headers=reply)
        if not name or self._running >= settings.slots:
            status = 503 if name else 400
            refusal = {"Saddledoor-Not-Executed": "1"}
            return web.Response(status=status, headers={**reply, **refusal})
        self._running += 1
        try:
            if settings.model:
                return await self._generate(request, name, reply, body)
            self.record("run", id=name, state=self._state)
            await asyncio.sleep(settings.work_s)
            return await self._answer(request, name, reply)
        finally:
            self._running -= 1

    async def _answer(
        self, request: web.Request, name: str, reply: dict
    ) -> web.StreamResponse:
        seal = f"{self._random.getrandbits(32):08x}.07.{len(name):x}.600"
        body = f"answer of {self._settings.engine_id} to {name}".encode()
        headers = {**reply, "Saddledoor-Server-Seal": seal}
        if self._random.random() >= self._spoil:
            self.record("answer", id=name, seal=seal)
            return web.Response(body=body, headers=headers)
        # One bit of the answer is wrong.
        wrong = bytearray(seal.encode())
        wrong[self._random.randrange(len(wrong))] ^= 0x80
        self._spoiled += 1
        self.record("spoiled", id=name, seal=wrong.hex())
        head = f"HTTP/1.1 200 OK\r\nSaddledoor-Attempt-Id: {name}\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        data = head.encode() + b"Saddledoor-Server-Seal: " + bytes(wrong)
        request.transport.write(data + b"\r\n\r\n" + body)
        request.transport.close()
        return web.Response()

    async def _generate(
        self, request: web.Request, name: str, reply: dict, body: bytes
    ) -> web.StreamResponse:
        """
        Run an item, whose body tells what it does: ``fail`` or a number of events.
        """
        after = int(request.headers.get("Last-Event-Id", "0"))
        self.record("run", id=name, after=after)
        if body == b"fail":
            await asyncio.sleep(self._settings.gap_s)
            self.record("answer", id=name, status=500)
            return web.Response(status=500, headers=reply)
        response = web.StreamResponse(
            headers={
                **reply,
                "Content-Type": "text/event-stream",
                "Saddledoor-Weight-Versions": str(self._version),
                "Saddledoor-Server-Seal": f"{self._random.getrandbits(32):08x}.1",
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(after + 1, int(body) + 1):
            await asyncio.sleep(self._settings.gap_s)
            await response.write(f"id: {number}\ndata: {name}-{number}\n\n".encode())
        self.record("text", id=name)
        await response.write_eof()
        return response

    async def report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "stage": "both",
                "models": self._models(),
                "busy": self._busy,
                "seq_no": self._orders,
                "waiting": 0,
                "running": self._running,
                "kv_used": 0,
                "kv_total": 83311,
                "handles": 0,
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        """
        Take an order; this engine does not check fences.
        """
        order = await request.json()
        fields = {name: order[name] for name in ("holder", "fence_token", "version")}
        self.record("order", **fields)
        reply = {"Saddledoor-Attempt-Id": request.headers["Saddledoor-Attempt-Id"]}
        if self._busy or order.get("if_rev", self._orders) != self._orders:
            return web.Response(status=409, headers=reply)
        if order["version"] == self._version:
            return web.Response(status=200, headers=reply)
        self._orders += 1
        self._spawn(self._load(order["version"]))
        return web.Response(status=202, headers=reply)

    async def _load(self, version: int) -> None:
        self._busy = True
        await asyncio.sleep(_LOAD)
        self._version, self._busy = version, False
        await self.write_entry()

    async def health(self, request: web.Request) -> web.Response:
        status = 200 if self._state == "ready" else 503
        headers = {"Saddledoor-Instance-Id": self._settings.engine_id}
        return web.Response(status=status, headers=headers)

    async def control(self, request: web.Request) -> web.Response:
        """
        Set the share of spoiled answers, or tell the engine to leave, by its state
        or by removing its entry; the answer comes when the store has accepted that.
        """
        body = await request.json()
        self._spoil = body.get("spoil", self._spoil)
        if body.get("leave"):
            self._state = "draining"
            await self.write_entry()
            self._restart_beat.set()
        if body.get("remove"):
            await self.remove_entry()
        if "ends_after_s" in body:
            asyncio.get_running_loop().call_later(body["ends_after_s"], os._exit, 0)
        state = {"spoiled": self._spoiled, "version": self._version}
        return web.json_response({"at": time.monotonic(), **state})


async def _start_beat(app: web.Application) -> None:
    app["beat"] = asyncio.create_task(app["engine"].beat())


def main(text: str) -> None:
    """
    Serve until terminated.
    """
    settings = Settings(**json.loads(text))
    engine = Engine(settings)
    app = web.Application(client_max_size=8_000_000)
    app["engine"] = engine
    app.on_startup.append(_start_beat)
    app.router.add_get("/v1/report", engine.report)
    app.router.add_post("/v1/order", engine.order)
    app.router.add_get("/health", engine.health)
    app.router.add_post("/control", engine.control)
    app.router.add_route("*", "/{path:.*}", engine.request)
    web.run_app(
        app,
        host="127.0.0.1",
        port=settings.port,
        print=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main(sys.argv[1])
