# SPDX-License-Identifier: MIT

"""
Stand-in for an engine of the platform: requests, event streams, reports, orders.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web


__all__ = ["CRASHING", "PACED", "engine_app"]

#: Prefix of the body of a request that crashes each engine which starts it.
CRASHING = b"crash"
#: Prefix of the body of a request whose events come with the gap that follows, in
#: seconds.
PACED = b"paced "
#: Events of a stream, for its late copy.
_EVENTS = web.ResponseKey("events", bytes)
#: Time that such a request runs before its engine crashes, in seconds.
_CRASH_AFTER = 0.05
#: Bytes of a request's body that are recorded.
_KEPT_BODY = 65_536


@dataclass
class _Run:
    """
    A request that the engine started.

    :ivar tenant: Workspace in the request's headers, if any.
    :ivar key: Caller's key in the request's headers, which engines should never get.
    """

    request_id: str
    method: str
    target: str
    body: str
    resume_after: int
    tenant: str | None = None
    key: str | None = None
    ended: str = "running"


@dataclass
class _Faults:
    """
    Faults that a test sets.

    :ivar cut_after: Streams end within the event after this one.
    :ivar hang_after: Streams stall after this event.
    :ivar no_end: Streams end after their last event, before the end marker.
    :ivar extra: A second response follows each plain one on the same connection.
    :ivar wrong_id: Plain answers carry the id of another request.
    :ivar unsigned: Plain answers lack the engine's signature.
    :ivar accept_delay: Time until a request is started, in seconds.
    :ivar delay: Processing time of a plain request, in seconds.
    :ivar fail: Status of every answer; 0 for no failure.
    :ivar late_orders: Number of orders that are not answered and carried out later.
    :ivar late_copies: Each answer is sent a second time, where the next answer on its
        connection is expected. Answers repeat the request's id, also refusals, reports
        and those to orders, and tell the number of their run.
    :ivar bare_refusals: Refusals carry no id all the same.
    :ivar answer_size: Smallest size of a plain answer, in bytes.
    """

    cut_after: int = 0
    hang_after: int = 0
    no_end: bool = False
    extra: bool = False
    wrong_id: bool = False
    unsigned: bool = False
    accept_delay: float = 0.0
    delay: float = 0.0
    fail: int = 0
    late_orders: int = 0
    late_copies: bool = False
    bare_refusals: bool = False
    answer_size: int = 0


@dataclass
class _Engine:
    engine_id: str
    model: str
    address: str
    service: str
    store: str
    journal: Path | None = None
    zone: str = "dc-a"
    cold_ms: int = 0
    slots: int = 4
    events: int = 5
    pace: float = 0.01
    load: float = 0.2
    version: int = 1
    busy: bool = False
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    accepted_orders: int = 0
    highest_fence: int = -1
    faults: _Faults = field(default_factory=_Faults)
    runs: list[_Run] = field(default_factory=list)
    orders: list[dict] = field(default_factory=list)
    history: list[int] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    copies: dict[asyncio.Transport, bytes] = field(default_factory=dict)

    @web.middleware
    async def send_late_copies(self, request: web.Request, handler):
        """
        Send the copy of the connection's previous answer before the next answer.
        """
        copy = self.copies.pop(request.transport, b"")
        if copy:
            request.transport.write(copy)
        response = await handler(request)
        if self.faults.late_copies and request.path != "/fake":
            name = request.headers.get("Saddledoor-Attempt-Id")
            is_bare = self.faults.bare_refusals and response.status == 503
            if not response.prepared and name and not is_bare:
                response.headers["Saddledoor-Attempt-Id"] = name
            self.copies[request.transport] = _serialize(response)
        return response

    async def request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        name = request.headers.get("Saddledoor-Attempt-Id", "")
        expected = request.headers.get("Saddledoor-Expect-Instance")
        if expected not in (None, self.engine_id):
            headers = {"Saddledoor-Instance-Id": self.engine_id}
            return web.Response(status=421, headers=headers)
        resume_after = int(request.headers.get("Last-Event-Id", "0"))
        run = _Run(
            name,
            request.method,
            request.path_qs,
            body[:_KEPT_BODY].decode("latin-1"),
            resume_after,
            request.headers.get("Saddledoor-Tenant"),
            request.headers.get("Saddledoor-Key"),
        )
        if self.faults.fail == 503:
            headers = {"Saddledoor-Not-Executed": "1"}
            return web.Response(status=503, headers=headers)
        if self.faults.accept_delay:
            await asyncio.sleep(self.faults.accept_delay)
        self.runs.append(run)
        self._record_action(
            "run",
            id=name,
            target=run.target,
            body=run.body,
            size=len(body),
            tenant=run.tenant,
            key=run.key,
        )
        try:
            if body.startswith(CRASHING):
                await asyncio.sleep(_CRASH_AFTER)
                os._exit(1)
            if self.faults.fail:
                headers = {"Saddledoor-Attempt-Id": name}
                return web.Response(status=self.faults.fail, headers=headers)
            answer = self._stream if self.model and body != b"score" else self._plain
            response = await answer(request, name, resume_after)
            run.ended = "done"
            return response
        except (asyncio.CancelledError, ConnectionError):
            run.ended = "cancelled"
            raise

    async def _plain(self, request, name: str, _: int) -> web.StreamResponse:
        await asyncio.sleep(self.faults.delay)
        answered_id = "another" if self.faults.wrong_id else name
        body = f"answer to {answered_id}".encode()
        body = body.ljust(self.faults.answer_size, b".")
        headers = {
            "Saddledoor-Attempt-Id": answered_id,
            "Saddledoor-Server-Seal": f"seal-{name}",
        }
        if self.faults.late_copies:
            headers["Saddledoor-Server-Seal"] = f"seal-{name}-{len(self.runs)}"
        if self.faults.unsigned:
            del headers["Saddledoor-Server-Seal"]
        if self.faults.extra:
            return await _with_second_response(request, headers, body)
        return web.Response(body=body, headers=headers)

    async def _stream(self, request, name: str, after: int) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Saddledoor-Attempt-Id": name,
                "Saddledoor-Weight-Versions": str(self.version),
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        sent_version = self.version
        body = await request.read()
        is_paced = body.startswith(PACED)
        pace = float(body.removeprefix(PACED)) if is_paced else self.pace
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(pace)
            head = ""
            if self.version != sent_version:
                sent_version = self.version
                head = f"saddledoor-weight-versions: {sent_version}\n"
            text = f"{name}-{number}"
            if self.faults.late_copies:
                text += f"-{len(self.runs)}"
            event = f"{head}id: {number}\ndata: {text}\n\n".encode()
            self._record_action("event", id=name, number=number, version=sent_version)
            if self.faults.cut_after and number == self.faults.cut_after + 1:
                await response.write(event[: len(event) // 2])
                request.transport.close()
                return response
            await response.write(event)
            if number == self.faults.hang_after:
                await asyncio.sleep(60)
        if self.faults.no_end:
            request.transport.close()
            return response
        await response.write_eof()
        if self.faults.late_copies:
            response[_EVENTS] = b"".join(
                f"id: {n}\ndata: {name}-{n}-{len(self.runs)}\n\n".encode()
                for n in range(after + 1, self.events + 1)
            )
        return response

    async def report(self, request: web.Request) -> web.Response:
        headers = {"Saddledoor-Attempt-Id": "another"} if self.faults.wrong_id else {}
        return web.json_response(
            {
                "stage": "both",
                "models": [{"name": self.model, "version": self.version}],
                "busy": self.busy,
                "seq_no": self.accepted_orders,
                "born": self.born,
            },
            headers=headers,
        )

    async def order(self, request: web.Request) -> web.StreamResponse:
        order = await request.json()
        self.orders.append(order)
        self._record_action("order", holder=order["holder"], fence=order["fence_token"])
        if self.faults.late_orders > 0:
            self.faults.late_orders -= 1
            self._spawn(self._execute_late(order))
            request.transport.abort()
            return web.Response()
        status = self._execute_order(order)
        headers = {"Saddledoor-Attempt-Id": "another"} if self.faults.wrong_id else {}
        return web.Response(status=status, headers=headers)

    async def _execute_late(self, order: dict) -> None:
        await asyncio.sleep(3.0)
        order["late_status"] = self._execute_order(order)

    def _execute_order(self, order: dict) -> int:
        if order["fence_token"] < self.highest_fence:
            return 412
        self.highest_fence = order["fence_token"]
        if (
            self.busy
            or order.get("if_rev", self.accepted_orders) != self.accepted_orders
        ):
            return 409
        if order["version"] == self.version:
            return 200
        self.accepted_orders += 1
        self._spawn(self._load_version(order["version"]))
        return 202

    async def _load_version(self, version: int) -> None:
        self.busy = True
        await asyncio.sleep(self.load)
        self.version, self.busy = version, False
        self.history.append(version)
        await self.write_entry()

    async def write_entry(self) -> None:
        """
        Write the engine's entry to the store.
        """
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": self.cold_ms,
            "seq_no": 1,
            "born": self.born,
        }
        if self.model:
            model = {"name": self.model, "version": self.version, "adapters": []}
            entry |= {"stage": "both", "models": [model]}
        body = {"put": [["keyed.servers", self.engine_id, json.dumps(entry)]]}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{self.store}/fake", json=body) as response,
        ):
            response.raise_for_status()

    def _record_action(self, what: str, **fields: object) -> None:
        """
        Append a line to the journal, which is kept across restarts.
        """
        if self.journal is None:
            return
        line = {"what": what, "engine": self.engine_id, "born": self.born, **fields}
        with self.journal.open("a") as stream:
            stream.write(json.dumps({**line, "at": time.monotonic()}) + "\n")

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def fake(self, request: web.Request) -> web.Response:
        """
        Set faults or fields, and return the requests and orders so far.
        """
        body = await request.json()
        for name, value in body.items():
            owner = self.faults if hasattr(self.faults, name) else self
            setattr(owner, name, value)
        return web.json_response(
            {
                "runs": [asdict(run) for run in self.runs],
                "orders": self.orders,
                "version": self.version,
                "history": self.history,
                "born": self.born,
            }
        )


def _serialize(response: web.StreamResponse) -> bytes:
    """
    Return the bytes of a response that has a body or a list of events, with a length.
    """
    body = response.get(_EVENTS) or getattr(response, "body", None) or b""
    kept = ("content-length", "transfer-encoding", "connection")
    lines = [f"HTTP/1.1 {response.status} Copy"]
    lines += [f"{n}: {v}" for n, v in response.headers.items() if n.lower() not in kept]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


async def _with_second_response(
    request, headers: dict, body: bytes
) -> web.StreamResponse:
    """
    Answer, and send a second, unrelated response on the same connection.
    """
    lines = [f"{name}: {value}" for name, value in headers.items()]
    foreign = json.dumps({"foreign": True}).encode()
    data = b""
    for content in (body, foreign):
        head = ["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(content)}", "", ""]
        data += "\r\n".join(head).encode() + content
    request.transport.write(data)
    await asyncio.sleep(0.2)
    request.transport.close()
    return web.Response()


def engine_app(
    address: str,
    engine_id: str,
    service: str,
    store: str,
    model: str = "",
    journal: str = "",
    zone: str = "dc-a",
) -> web.Application:
    """
    Return an engine's application; without a model it is a plain service.

    :param store: Address of the store that its entry is written to; empty for none.
    :param journal: File in which requests, events and orders are recorded; empty for
        none.
    :param zone: Data centre.
    """
    path = Path(journal) if journal else None
    engine = _Engine(engine_id, model, address, service, store, path, zone)

    async def started(_: web.Application) -> None:
        await engine.write_entry()

    app = web.Application(
        client_max_size=64_000_000, middlewares=[engine.send_late_copies]
    )
    if store:
        app.on_startup.append(started)
    app.router.add_get("/v1/report", engine.report)
    app.router.add_post("/v1/order", engine.order)
    app.router.add_post("/fake", engine.fake)
    app.router.add_route("*", "/{path:.*}", engine.request)
    return app
