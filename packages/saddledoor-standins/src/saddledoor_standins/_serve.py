# SPDX-License-Identifier: MIT

"""
HTTP serving for the stand-ins, with connections that can be cut on purpose.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine

from aiohttp import web


__all__ = ["cut", "serve"]


def cut(request: web.Request) -> web.Response:
    """
    Close a request's connection without an answer.
    """
    if request.transport is not None:
        request.transport.close()
    return web.Response(status=500)


def serve(
    address: str,
    app: web.Application,
    background: Callable[[], Coroutine] | None = None,
) -> None:
    """
    Serve an application until SIGTERM or SIGINT.

    :param background: Returns a coroutine that runs beside the server; None for none.
    """
    asyncio.run(_serve(address, app, background))


async def _serve(
    address: str, app: web.Application, background: Callable[[], Coroutine] | None
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    task = asyncio.create_task(background()) if background else None
    await stop.wait()
    if task is not None:
        task.cancel()
    await runner.cleanup()
