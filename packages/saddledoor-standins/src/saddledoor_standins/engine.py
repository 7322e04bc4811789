# SPDX-License-Identifier: MIT

"""
Stand-in of a model engine, with weight swaps and injected faults.

The text of each token contains the weight version, the engine, the prompt's tag and the
token's index, so that a receiver can check an answer by its text alone.
"""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import itertools
import json
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from ._serve import cut


__all__ = ["EngineOptions", "engine_app", "prompt_tag", "token_text"]


@dataclass(frozen=True)
class EngineOptions:
    """
    Options of an engine.

    :param slots: Largest number of requests in its batch.
    :param token_s: Time per token of one request, in seconds.
    :param chunk: Tokens per event of a stream.
    :param activate_s: Pause of all streams during a weight swap, in seconds.
    :param fenced: Whether it refuses orders with old fencing numbers.
    :param weight_store: URL of the weight store; None for staging without downloads.
    :param version: Weight version at the start.
    """

    name: str
    models: tuple[str, ...]
    slots: int = 8
    token_s: float = 0.008
    chunk: int = 4
    activate_s: float = 0.15
    fenced: bool = True
    weight_store: str | None = None
    version: int = 1


def prompt_tag(prompt: str) -> str:
    """
    Return the tag that identifies the prompt in each token.
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def token_text(version: int, engine: str, tag: str, index: int) -> str:
    """
    Return the text of one token: version, engine, prompt tag and index, with colons.
    """
    return f"{version}:{engine}:{tag}:{index} "


@dataclass
class _Faults:
    """
    Injected faults.

    :ivar cut_streams: Number of next streams that are cut halfway.
    :ivar fail_activate: Number of next weight swaps that fail.
    :ivar pretend_activate: Number of next swaps that are acknowledged but not made.
    :ivar hide_version: Number of next events without a weight version.
    :ivar slow: Factor of the time per token.
    """

    cut_streams: int = 0
    fail_activate: int = 0
    pretend_activate: int = 0
    hide_version: int = 0
    slow: float = 1.0


@dataclass
class _QueuedRequest:
    priority: int
    order: int
    future: asyncio.Future = field(repr=False)

    def __lt__(self, other: _QueuedRequest) -> bool:
        return (self.priority, self.order) < (other.priority, other.order)


class _Engine:
    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.versions = dict.fromkeys(options.models, options.version)
        self.staged: dict[str, int] = {}
        self.leaving = False
        self.faults = _Faults()
        self.highest_fence = -1
        self.running = 0
        self.started: dict[str, int] = {}
        self.orders: list[dict] = []
        self.pauses: list[tuple[float, float]] = []
        self._waiting: list[_QueuedRequest] = []
        self._arrival_numbers = itertools.count()
        self._weights_ready = asyncio.Event()
        self._weights_ready.set()

    async def load(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.options.name,
                "running": self.running,
                "waiting": len(self._waiting),
                "slots": self.options.slots,
                "state": "leaving" if self.leaving else "serving",
                "versions": self.versions,
                "staged": self.staged,
            }
        )

    async def complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "")
        if body["model"] not in self.versions:
            return web.json_response({"error": "no such model"}, status=404)
        await self._acquire_slot(int(body.get("priority", 0)))
        try:
            self.started[request_id] = self.started.get(request_id, 0) + 1
            return await self._stream(request, request_id, body)
        finally:
            self._release_slot()

    async def _stream(
        self, request: web.Request, request_id: str, body: dict
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        tag = prompt_tag(body["prompt"])
        offset = int(body.get("resume", {}).get("tokens", 0))
        length = int(body["max_tokens"])
        cut_at = length // 2 if self.faults.cut_streams > 0 else -1
        if cut_at >= 0:
            self.faults.cut_streams -= 1
        generated = 0
        while generated < length:
            count = min(self.options.chunk, length - generated)
            await asyncio.sleep(count * self.options.token_s * self.faults.slow)
            await self._weights_ready.wait()
            version = self.versions[body["model"]]
            texts = [
                token_text(version, self.options.name, tag, offset + generated + i)
                for i in range(count)
            ]
            generated += count
            finish = "length" if generated == length else None
            event = self._event(request_id, "".join(texts), count, version, finish)
            await response.write(f"data: {json.dumps(event)}\n\n".encode())
            if 0 <= cut_at <= generated:
                cut(request)
                return response
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _event(
        self, request_id: str, text: str, count: int, version: int, finish: str | None
    ) -> dict:
        event = {
            "id": request_id,
            "choices": [{"index": 0, "text": text, "finish_reason": finish}],
            "tokens": count,
            "weight_version": version,
        }
        if self.faults.hide_version > 0:
            self.faults.hide_version -= 1
            del event["weight_version"]
        return event

    async def _acquire_slot(self, priority: int) -> None:
        if self.running < self.options.slots and not self._waiting:
            self.running += 1
            return
        loop = asyncio.get_running_loop()
        waiting = _QueuedRequest(
            priority, next(self._arrival_numbers), loop.create_future()
        )
        heapq.heappush(self._waiting, waiting)
        try:
            await waiting.future
        except asyncio.CancelledError:
            if waiting.future.done() and not waiting.future.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        while self._waiting:
            waiting = heapq.heappop(self._waiting)
            if not waiting.future.done():
                waiting.future.set_result(None)
                return
        self.running -= 1

    async def order(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.orders.append(body)
        if self.options.fenced and body["fence"] < self.highest_fence:
            return web.json_response({"fence": self.highest_fence}, status=409)
        self.highest_fence = max(self.highest_fence, body["fence"])
        if body["action"] == "stage":
            return await self._stage(body["model"], body["version"])
        return await self._activate(body["model"], body["version"])

    async def _stage(self, model: str, version: int) -> web.Response:
        if self.options.weight_store and not await self._download(model, version):
            return web.json_response({"error": "weight store"}, status=503)
        self.staged[model] = version
        return web.json_response({"state": "done"})

    async def _download(self, model: str, version: int) -> bool:
        url = f"{self.options.weight_store}/v1/weights/{model}/{version}"
        async with aiohttp.ClientSession() as session:
            for _ in range(20):
                async with session.get(url) as response:
                    if response.status == 200:
                        return True
                    if response.status != 429:
                        return False
                    await asyncio.sleep(float(response.headers["Retry-After"]))
        return False

    async def _activate(self, model: str, version: int) -> web.Response:
        if self.staged.get(model) != version:
            return web.json_response({"error": "not staged"}, status=422)
        if self.faults.pretend_activate > 0:
            self.faults.pretend_activate -= 1
            return web.json_response({"state": "done"})
        self._weights_ready.clear()
        began = time.clock_gettime(time.CLOCK_BOOTTIME)
        try:
            await asyncio.sleep(self.options.activate_s)
            if self.faults.fail_activate > 0:
                self.faults.fail_activate -= 1
                self.staged.pop(model, None)
                return web.json_response({"error": "swap failed"}, status=500)
            self.versions[model] = version
        finally:
            self._weights_ready.set()
            ended = time.clock_gettime(time.CLOCK_BOOTTIME)
            self.pauses.append((began, ended))
        return web.json_response({"state": "done"})

    async def fake(self, request: web.Request) -> web.Response:
        """
        Inject faults and return what the engine has observed.
        """
        body = await request.json()
        for name in vars(self.faults):
            if name in body:
                setattr(self.faults, name, body[name])
        self.leaving = bool(body.get("leaving", self.leaving))
        self.versions.update(body.get("versions", {}))
        return web.json_response(
            {
                "started": self.started,
                "orders": self.orders,
                "pauses": self.pauses,
                "highest_fence": self.highest_fence,
            }
        )


def engine_app(options: EngineOptions) -> web.Application:
    """
    Return the application of an engine.
    """
    engine = _Engine(options)
    app = web.Application(client_max_size=64_000_000)
    app.router.add_get("/v1/load", engine.load)
    app.router.add_post("/v1/completions", engine.complete)
    app.router.add_post("/v1/orders", engine.order)
    app.router.add_post("/fake", engine.fake)
    return app
