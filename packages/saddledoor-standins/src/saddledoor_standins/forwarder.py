# SPDX-License-Identifier: MIT

"""
A TCP forwarder that injects connection failures, delays and lost answers.
"""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web


__all__ = ["Forwarder", "forwarder_app"]


class Forwarder:
    """
    Forwards bytes between a listening address and a target.

    :ivar mode: ``pass``, ``cut`` (refuse and close), ``hang`` (discard both ways) or
        ``lose_answers`` (pass requests, discard answers).
    :ivar delay: Delay of each read, in seconds.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self.mode = "pass"
        self.delay = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.set_mode("cut")

    def set_mode(self, mode: str, delay: float = 0.0) -> None:
        """
        Set the mode; ``cut`` also closes open connections.

        :param delay: Delay of each read, in seconds.
        """
        self.mode = mode
        self.delay = delay
        if mode == "cut":
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "cut":
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        to_target = asyncio.create_task(
            self._pump(reader, target_writer, answers=False)
        )
        to_client = asyncio.create_task(self._pump(target_reader, writer, answers=True))
        await asyncio.wait({to_target, to_client})
        self._writers -= {writer, target_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                discarded = self.mode == "hang" or (
                    answers and self.mode == "lose_answers"
                )
                if not discarded:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


def forwarder_app(routes: dict[str, str]) -> web.Application:
    """
    Return the control application of several forwarders.

    :param routes: Target address by listening address.
    """
    forwarders = {listen: Forwarder(listen, to) for listen, to in routes.items()}

    async def start(app: web.Application) -> None:
        for forwarder in forwarders.values():
            await forwarder.start()

    async def fake(request: web.Request) -> web.Response:
        """
        Set the mode of forwarders and return the modes of all.
        """
        body = await request.json()
        for listen in body.get("listen") or forwarders:
            forwarders[listen].set_mode(body["mode"], float(body.get("delay", 0)))
        return web.json_response({"modes": {k: f.mode for k, f in forwarders.items()}})

    app = web.Application()
    app.on_startup.append(start)
    app.router.add_post("/fake", fake)
    return app
