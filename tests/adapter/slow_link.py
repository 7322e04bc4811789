# SPDX-License-Identifier: MIT

"""
Forwards connections to a stand-in, and holds chosen bytes as a lossy path does.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Iterator

from platform_bed import free_port


__all__ = ["SlowLink"]


class SlowLink:
    """
    A TCP link to a port of this machine, in a thread of its own.

    :ivar held: Set when bytes were held for the first time.
    """

    def __init__(self, target_port: int, delay: float) -> None:
        self.port = free_port()
        self.held = threading.Event()
        self._target_port = target_port
        self._delay = delay
        self._marks: tuple[bytes, ...] = ()

    @classmethod
    @contextlib.contextmanager
    def open(cls, target_port: int, delay: float) -> Iterator[SlowLink]:
        """
        Forward until the end of the context.

        :param delay: Time for which chosen bytes are held, in seconds. They are dropped
            if their sender resets the connection meanwhile.
        """
        link = cls(target_port, delay)
        loop = asyncio.new_event_loop()
        server = loop.run_until_complete(
            asyncio.start_server(link._serve, "127.0.0.1", link.port)
        )
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        try:
            yield link
        finally:
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.run_until_complete(_close(server))
            loop.close()

    def hold(self, *marks: bytes) -> None:
        """
        Hold each packet that contains all marks; without marks, none.
        """
        self._marks = marks

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
            await asyncio.gather(
                self._forward(reader, target[1]), self._forward(target[0], writer)
            )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self._marks and all(mark in data for mark in self._marks):
                    self.held.set()
                    await asyncio.sleep(self._delay)
                    if reader.exception() is not None:
                        break
                writer.write(data)
                await writer.drain()
        writer.close()


async def _close(server: asyncio.Server) -> None:
    server.close()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
