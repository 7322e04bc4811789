# SPDX-License-Identifier: MIT

"""
Calls to the store that are not answered.
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

    async def append(self, stream, records, answer_timeout=1.5, expected_end=None):
        if stream in self.silent:
            await asyncio.sleep(3600)
        return await super().append(stream, records, answer_timeout, expected_end)

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        if stream in self.silent:
            await asyncio.sleep(3600)
        return await super().read(stream, start, wait, max_bytes, answer_timeout)


class _WatchedStore:
    """
    A watched log; calls to the stream ``old`` use a dead connection.
    """

    def __init__(self) -> None:
        self.reconnects = 0
        self.watch = StoreWatch(self._reconnect)
        self.log = WatchedLog(_SilentLog({"old"}), self.watch)

    def _reconnect(self) -> None:
        self.reconnects += 1

    async def keep_reading(self, seconds: float) -> None:
        """
        Read another stream, which is answered.
        """
        for _ in range(int(seconds / 0.05)):
            await self.log.read("new", 0, 0.05)


async def _duration(call) -> float:
    """
    Return the duration of a call in seconds; it must end within 5 s.
    """
    clock = asyncio.get_running_loop().time
    started_at = clock()
    async with asyncio.timeout(5.0):
        await call
    return clock() - started_at


def test_a_silent_connection_is_noticed_while_others_answer():
    """
    The overdue call is cancelled, and new connections are used.
    """

    async def scenario():
        store = _WatchedStore()
        reading = asyncio.create_task(store.keep_reading(2.0))

        async def read():
            with pytest.raises(StoreUnavailableError, match="silent"):
                await store.log.read("old", 0, wait=0.3)

        assert 0.6 < await _duration(read()) < 1.0
        assert store.reconnects == 1
        reading.cancel()

    asyncio.run(scenario())


def test_calls_wait_on_while_nothing_is_answered():
    """
    The store may be slow or unavailable; the calls' own timeouts end them.
    """

    async def scenario():
        store = _WatchedStore()
        read = asyncio.create_task(store.log.read("old", 0))
        await asyncio.sleep(1.0)
        assert not read.done()
        assert store.reconnects == 0
        read.cancel()

    asyncio.run(scenario())


def test_an_append_that_hangs_when_the_store_is_back_is_unknown():
    """
    It may have taken effect; the first answer after the outage ends the wait.
    """

    async def scenario():
        store = _WatchedStore()
        append = asyncio.create_task(store.log.append("old", [b"r"]))
        await asyncio.sleep(0.6)
        assert not append.done()
        assert isinstance(await store.log.append("new", [b"r"]), Appended)
        assert isinstance(await append, AppendOutcomeUnknown)

    asyncio.run(scenario())


def test_whoever_expects_a_large_page_has_the_time_for_it():
    """
    Fast answers to other calls do not cancel a read with a longer timeout.
    """

    async def scenario():
        store = _WatchedStore()
        reading = asyncio.create_task(store.keep_reading(1.2))
        read = asyncio.create_task(store.log.read("old", 0, answer_timeout=3.0))
        await reading
        assert not read.done()
        read.cancel()

    asyncio.run(scenario())


def test_a_caller_that_is_cancelled_ends():
    """
    A caller's cancellation takes effect even if its call is cancelled as overdue too.
    """

    async def scenario():
        store = _WatchedStore()
        read = asyncio.create_task(store.log.read("old", 0))
        await asyncio.sleep(0.6)
        store.watch.record_answer()
        read.cancel()
        with pytest.raises(asyncio.CancelledError):
            await read

    asyncio.run(scenario())
