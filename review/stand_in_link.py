# SPDX-License-Identifier: MIT

"""
Stand-in for a link: ``stand_in_link.py PORT TARGET CONTROL_PORT``.

It forwards connections to the target. A request to the control port makes all open ones
silent for good, without a reset, while new ones work, or makes the path of one machine
lossy: a lost packet with an order of this machine is sent again after the time that TCP
takes, unless its sender has reset the connection meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys

from aiohttp import web


#: First time after which a lost packet is sent again, in seconds; it doubles.
_RETRANSMISSION = 0.2


class Link:
    """
    The connections, each with an event that is set while it forwards.
    """

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._open: set[asyncio.Event] = set()
        self._lossy = b""
        self._loss = 0.0
        self._lost = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        forwards = asyncio.Event()
        forwards.set()
        self._open.add(forwards)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
            await asyncio.gather(
                self._copy(reader, far_writer, forwards),
                self._copy(far_reader, writer, forwards),
            )
        except OSError:
            pass
        finally:
            self._open.discard(forwards)
            with contextlib.suppress(OSError):
                writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forwards: asyncio.Event,
    ) -> None:
        while data := await reader.read(65536):
            # A silent connection keeps the bytes to itself.
            await forwards.wait()
            await self._lose(data)
            if reader.exception() is not None:
                break
            writer.write(data)
            await writer.drain()
        await forwards.wait()
        writer.close()

    async def _lose(self, data: bytes) -> None:
        """
        Hold a packet for as long as its retransmission takes.
        """
        pause = _RETRANSMISSION
        while self._lossy and self._lossy in data and random.random() < self._loss:
            self._lost += 1
            await asyncio.sleep(pause)
            pause *= 2

    async def control(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._lossy = body.get("lossy", self._lossy.decode()).encode()
        self._loss = body.get("loss", self._loss)
        silenced = 0
        if body.get("silence"):
            for forwards in self._open:
                forwards.clear()
            silenced = len(self._open)
            self._open.clear()
        return web.json_response({"silenced": silenced, "lost": self._lost})


async def main(port: str, target: str, control_port: str) -> None:
    """
    Serve until terminated.
    """
    link = Link(target)
    app = web.Application()
    app.router.add_post("/control", link.control)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", int(control_port)).start()
    server = await asyncio.start_server(link.serve, "127.0.0.1", int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
