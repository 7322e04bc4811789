# SPDX-License-Identifier: MIT

"""
Stand-ins of the weight store, the scorer and the platform's list of VMs.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque

from aiohttp import web


__all__ = ["scorer_app", "vm_list_app", "weight_store_app"]


class _WeightStore:
    """
    Newest version of each model, and rate-limited downloads.
    """

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._versions: dict[str, int] = {}
        self._published_at: dict[str, float] = {}
        self._download_times: deque[float] = deque()
        self.refused = 0

    async def announced(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"models": self._versions, "published_at": self._published_at}
        )

    async def publish(self, request: web.Request) -> web.Response:
        body = await request.json()
        model = request.match_info["model"]
        version = max(int(body["version"]), self._versions.get(model, 0))
        if version != self._versions.get(model):
            self._published_at[model] = time.time()
        self._versions[model] = version
        return web.json_response({"version": version})

    async def download(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        while self._download_times and now - self._download_times[0] > 1.0:
            self._download_times.popleft()
        if len(self._download_times) >= self._per_second:
            self.refused += 1
            return web.Response(status=429, headers={"Retry-After": "0.2"})
        self._download_times.append(now)
        await asyncio.sleep(0.1)
        return web.Response(body=b"weights")


def weight_store_app(per_second: int = 20) -> web.Application:
    """
    Return the application of a weight store.

    :param per_second: Largest number of downloads started per second.
    """
    store = _WeightStore(per_second)
    app = web.Application()
    app.router.add_get("/v1/weights", store.announced)
    app.router.add_post("/v1/weights/{model}", store.publish)
    app.router.add_get("/v1/weights/{model}/{version}", store.download)
    return app


def scorer_app(name: str) -> web.Application:
    """
    Return the application of a service that scores samples.
    """

    async def score(request: web.Request) -> web.Response:
        body = await request.json()
        return web.json_response({"score": len(body["text"]) % 100 / 100})

    async def load(request: web.Request) -> web.Response:
        return web.json_response({"name": name, "running": 0, "waiting": 0})

    app = web.Application(client_max_size=16_000_000)
    app.router.add_post("/score", score)
    app.router.add_get("/v1/load", load)
    return app


def vm_list_app(lag: float = 1.0) -> web.Application:
    """
    Return the application of the platform's list of VMs.

    :param lag: Delay until a change is listed, in seconds.
    """
    history: list[tuple[float, list[dict]]] = [(0.0, [])]

    async def show(request: web.Request) -> web.Response:
        limit = time.monotonic() - lag
        listed = [vms for at, vms in history if at <= limit]
        return web.json_response({"vms": listed[-1] if listed else []})

    async def change(request: web.Request) -> web.Response:
        body = await request.json()
        # The first list is visible without a delay.
        at = 0.0 if len(history) == 1 else time.monotonic()
        history.append((at, body["vms"]))
        return web.json_response({})

    app = web.Application()
    app.router.add_get("/v1/vms", show)
    app.router.add_post("/fake", change)
    return app
