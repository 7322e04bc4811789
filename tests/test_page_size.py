# SPDX-License-Identifier: MIT

"""
Catching up of many nodes over one shared link.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog

from saddledoor import PageSize
from saddledoord.cluster.follow import LogFollower
from saddledoord.ports import StoreUnavailableError


#: Bandwidth that all readers share, in bytes per second.
_LINK = 80_000_000
_MAX_PAGE = 1_048_576
#: Read timeout and delay before the next read, in seconds.
_READ_TIMEOUT = 0.4
_RETRY_DELAY = 0.1


def _seconds_to_catch_up(
    readers: int, backlog: int, page_size: PageSize
) -> float | None:
    """
    Return when readers in lockstep have read their backlog, or None after a minute.

    Pages that arrive after the timeout use up bandwidth nevertheless.
    """
    backlog_left, now = backlog, 0.0
    while now < 60.0:
        page = min(backlog_left, page_size.current)
        transfer_time = readers * page / _LINK
        if transfer_time > _READ_TIMEOUT:
            page_size.failed()
            now += max(transfer_time, _READ_TIMEOUT + _RETRY_DELAY)
            continue
        page_size.answered()
        now += transfer_time
        backlog_left -= page
        if not backlog_left:
            return now
    return None


class _FixedPageSize(PageSize):
    """
    A page size that does not adapt.
    """

    def failed(self) -> None:
        pass


@pytest.mark.parametrize("readers", [10, 148, 320])
def test_nodes_that_return_together_catch_up(readers):
    """
    They need at most about twice the time of the transfer; with pages of a fixed size,
    many nodes make no progress.
    """
    backlog = 2_000_000
    least = readers * backlog / _LINK
    seconds = _seconds_to_catch_up(readers, backlog, PageSize(_MAX_PAGE))
    assert seconds is not None
    assert seconds < 2 * least + 1.0
    if readers > 100:
        assert _seconds_to_catch_up(readers, backlog, _FixedPageSize(_MAX_PAGE)) is None


def test_the_page_size_recovers_to_its_maximum():
    """
    The page size recovers after an outage.
    """
    page_size = PageSize(_MAX_PAGE)
    for _ in range(10):
        page_size.failed()
    assert page_size.current == 16_384
    for _ in range(63):
        page_size.answered()
    assert page_size.current == _MAX_PAGE


class _SlowLog(FakeLog):
    """
    A log that answers no read of more than a number of bytes.
    """

    def __init__(self, largest_read: int) -> None:
        super().__init__(largest_record=100_000)
        self._largest_read = largest_read

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        if max_bytes > self._largest_read:
            raise StoreUnavailableError("too slow")
        return await super().read(stream, start, wait, max_bytes, answer_timeout)


def test_a_follower_asks_for_less_until_it_is_answered():
    """
    It reads every record once and in order.
    """

    async def scenario():
        log = _SlowLog(largest_read=100_000)
        await log.append("jobs", [bytes(10_000) for _ in range(50)])
        seen = []
        follower = LogFollower(log, "jobs", lambda offset, data: seen.append(offset))
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(3.0):
            while len(seen) < 50:
                await asyncio.sleep(0.01)
        task.cancel()
        assert seen == list(range(50))

    asyncio.run(scenario())
