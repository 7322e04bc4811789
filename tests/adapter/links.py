# SPDX-License-Identifier: MIT

"""
Links to stand-ins that hold requests or damage answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from platform_bed import free_port


__all__ = ["Link", "garble_mark", "garbler"]

#: Texts that replace a number in the damaged bytes.
_NUMBERS = (b"-1", b"1e999", b"9" * 400, b"99999999999999999999", b"NaN", b"0x10")
#: Texts that are inserted into the damaged bytes.
_INSERTED = (
    b"",
    b"\x00",
    b"\xff\xfe",
    b"\xed\xa0\x80",
    b"\\ud800",
    b"\r\n",
    b"\r\n\r\n",
    b'"',
    b"[" * 3000,
    b"x" * 70_000,
)
#: Start of the line with an engine's mark, and the share in which only the mark is
#: damaged.
_MARK, _MARK_SHARE = b"Saddledoor-Server-Seal: ", 0.3
#: Time that a packet takes over a slow connection, in seconds.
_SLOW = 0.3


@dataclass(eq=False)
class _Connection:
    """
    A connection of a caller, and how it is disturbed; empty for not at all.
    """

    caller: asyncio.StreamWriter
    how: str = ""


class Link:
    """
    Forwards connections to a port of this machine, in a thread of its own.

    :ivar held: Set when bytes were held for the first time.
    :ivar damage: Function that damages the bytes of answers; None for no damage.
    :ivar pour: Bytes that are sent in place of an answer until the caller closes; empty
        for none.
    """

    def __init__(self, target_port: int, delay: float) -> None:
        self.port = free_port()
        self.held = threading.Event()
        self.damage: Callable[[bytes], bytes] | None = None
        self.pour = b""
        self._target_port = target_port
        self._delay = delay
        self._marks: tuple[bytes, ...] = ()
        self._open: set[_Connection] = set()
        self._loop: asyncio.AbstractEventLoop | None = None

    @classmethod
    @contextlib.contextmanager
    def open(cls, target_port: int, delay: float = 0.0) -> Iterator[Link]:
        """
        Forward until the end of the context.

        :param delay: Time for which chosen bytes are held, in seconds. They are dropped
            if their sender resets the connection meanwhile.
        """
        link = cls(target_port, delay)
        loop = link._loop = asyncio.new_event_loop()
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

    def disturb(self, how: str) -> None:
        """
        Disturb all open connections; new ones work.

        :param how: ``silent``: nothing passes; ``one-way``: no answer passes;
            ``reset``; ``slow``: each packet takes 0.3 s.
        """
        done = threading.Event()

        def disturb() -> None:
            for connection in self._open:
                connection.how = how
                if how == "reset":
                    connection.caller.transport.abort()
            self._open = set()
            done.set()

        self._loop.call_soon_threadsafe(disturb)
        assert done.wait(5.0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task that is cancelled when the link closes has nothing to report.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
            connection = _Connection(writer)
            self._open.add(connection)
            try:
                await asyncio.gather(
                    self._forward(reader, target[1], connection, is_answer=False),
                    self._forward(target[0], writer, connection, is_answer=True),
                )
            finally:
                self._open.discard(connection)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if connection.how == "slow":
                    await asyncio.sleep(_SLOW)
                elif connection.how == "silent" or (
                    connection.how == "one-way" and is_answer
                ):
                    continue
                while is_answer and self.pour:
                    writer.write(self.pour)
                    await writer.drain()
                if is_answer and self.damage is not None:
                    data = self.damage(data)
                elif self._marks and all(mark in data for mark in self._marks):
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


def garbler(number: int, share: float = 1.0) -> Callable[[bytes], bytes]:
    """
    Return a function that damages bytes at random.

    :param number: Seed.
    :param share: Share of the calls in which it does.
    """
    draw = random.Random(number)

    def flip_bit(data: bytearray, at: int) -> None:
        data[at] ^= 1 << draw.randrange(8)

    def set_high_bits(data: bytearray, at: int) -> None:
        for index in range(at, min(len(data), at + draw.randrange(1, 9))):
            data[index] |= 0x80

    def insert(data: bytearray, at: int) -> None:
        data[at:at] = draw.choice(_INSERTED)

    def double(data: bytearray, at: int) -> None:
        end = at + draw.randrange(1, 200)
        data[at:at] = data[at:end]

    def drop(data: bytearray, at: int) -> None:
        del data[at : at + draw.randrange(1, 200)]

    def replace_number(data: bytearray, at: int) -> None:
        digits = [i for i, byte in enumerate(data) if chr(byte).isdigit()]
        if digits:
            at = draw.choice(digits)
            end = at
            while end < len(data) and chr(data[end]).isdigit():
                end += 1
            data[at:end] = draw.choice(_NUMBERS)

    ways = (flip_bit, set_high_bits, insert, double, drop, replace_number)

    def garble(data: bytes) -> bytes:
        if not data or draw.random() >= share:
            return data
        changed = bytearray(data)
        # Most damage makes an answer unusable before its mark is read.
        if draw.random() < _MARK_SHARE and _MARK in data:
            return garble_mark(data)
        for _ in range(draw.choice((1, 1, 1, 2, 4))):
            if changed:
                draw.choice(ways)(changed, draw.randrange(len(changed)))
        return bytes(changed)

    return garble


def garble_mark(data: bytes) -> bytes:
    """
    Damage only the engine's mark in an answer.
    """
    changed = bytearray(data)
    if (at := data.find(_MARK)) >= 0:
        changed[at + len(_MARK)] |= 0x80
    return bytes(changed)
