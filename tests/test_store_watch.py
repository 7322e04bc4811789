# SPDX-License-Identifier: MIT

"""
Calls to the store that wait in vain.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog

from saddledoord.cluster.store_watch import StoreWatch, WatchedLog
from saddledoord.ports import Appended, AppendOutcomeUnknown, StoreUnavailableError


class _SilentLog(FakeLog):
    """
    A log whose calls to some streams are never answered.
    """

    def __init__(self, silent: set[str]) -> None:
        super().__init__()
        self.silent = silent

    async def append(self, stream, records, answer_timeout=1.5):
        if stream in self.silent:
            await asyncio.sleep(3600)
        return await super().append(stream, records, answer_timeout)

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        if stream in self.silent:
            await asyncio.sleep(3600)
        return await super().read(stream, start, wait, max_bytes, answer_timeout)


class _Bed:
    """
    A watched log; ``old`` is a stream over a connection that has gone silent.
    """

    def __init__(self) -> None:
        self.reconnects = 0
        self.watch = StoreWatch(self._reconnect)
        self.log = WatchedLog(_SilentLog({"old"}), self.watch)

    def _reconnect(self) -> None:
        self.reconnects += 1

    async def keep_asking(self, seconds: float) -> None:
        """
        Make calls over other connections, which are answered.
        """
        for _ in range(int(seconds / 0.05)):
            await self.log.read("new", 0, 0.05)


async def _took(call) -> float:
    """
    Return how long a call took, in seconds; it fails after five.
    """
    clock = asyncio.get_running_loop().time
    began = clock()
    async with asyncio.timeout(5.0):
        await call
    return clock() - began


def test_a_silent_connection_is_noticed_while_others_answer():
    """
    Half a second after its call was due, and new connections are used from then on.
    """

    async def play():
        bed = _Bed()
        asking = asyncio.create_task(bed.keep_asking(2.0))

        async def read():
            with pytest.raises(StoreUnavailableError, match="silent"):
                await bed.log.read("old", 0, wait=0.3)

        assert 0.6 < await _took(read()) < 1.0
        assert bed.reconnects == 1
        asking.cancel()

    asyncio.run(play())


def test_calls_wait_on_while_nothing_is_answered():
    """
    The store may be slow, or away; their own time limits end them.
    """

    async def play():
        bed = _Bed()
        read = asyncio.create_task(bed.log.read("old", 0))
        await asyncio.sleep(1.0)
        assert not read.done()
        assert bed.reconnects == 0
        read.cancel()

    asyncio.run(play())


def test_an_append_that_hangs_when_the_store_is_back_is_unknown():
    """
    It may have been done; the first answer after the outage ends it.
    """

    async def play():
        bed = _Bed()
        append = asyncio.create_task(bed.log.append("old", [b"r"]))
        await asyncio.sleep(0.6)
        assert not append.done()
        assert isinstance(await bed.log.append("new", [b"r"]), Appended)
        assert isinstance(await append, AppendOutcomeUnknown)

    asyncio.run(play())


def test_whoever_expects_a_large_page_has_the_time_for_it():
    """
    Small answers to others do not end its read.
    """

    async def play():
        bed = _Bed()
        asking = asyncio.create_task(bed.keep_asking(1.2))
        read = asyncio.create_task(bed.log.read("old", 0, answer_timeout=3.0))
        await asking
        assert not read.done()
        read.cancel()

    asyncio.run(play())


def test_a_caller_that_is_cancelled_ends():
    """
    Also in the moment in which its call is given up.
    """

    async def play():
        bed = _Bed()
        read = asyncio.create_task(bed.log.read("old", 0))
        await asyncio.sleep(0.6)
        bed.watch.answered()
        read.cancel()
        with pytest.raises(asyncio.CancelledError):
            await read

    asyncio.run(play())
