# SPDX-License-Identifier: MIT

"""
Nodes that catch up together over one link.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog

from saddledoor import PageSize
from saddledoord.cluster.follow import LogFollower
from saddledoord.ports import StoreUnavailableError


#: What the link carries for all readers together, in bytes a second.
_LINK = 80_000_000
_MOST = 1_048_576
#: How long a reader waits for a page, and pauses after one that did not come, in
#: seconds.
_PATIENCE = 0.4
_PAUSE = 0.1


def _seconds_to_catch_up(readers: int, backlog: int, sizes: PageSize) -> float | None:
    """
    Return when readers in step have read what they missed, or none after a minute.

    Pages that come too late are sent all the same.
    """
    left, now = backlog, 0.0
    while now < 60.0:
        page = min(left, sizes.current)
        needed = readers * page / _LINK
        if needed > _PATIENCE:
            sizes.failed()
            now += max(needed, _PATIENCE + _PAUSE)
            continue
        sizes.answered()
        now += needed
        left -= page
        if not left:
            return now
    return None


class _Fixed(PageSize):
    """
    The mechanism switched off.
    """

    def failed(self) -> None:
        pass


@pytest.mark.parametrize("readers", [10, 148, 320])
def test_nodes_that_come_back_together_catch_up_at_the_speed_of_the_link(readers):
    """
    148 nodes that miss 2 MB each have it after 6.6 s, where 3.7 s are the least, and
    320 after 16.2 s, where 8 s are; without smaller pages they never come on.
    """
    backlog = 2_000_000
    least = readers * backlog / _LINK
    took = _seconds_to_catch_up(readers, backlog, PageSize(_MOST))
    assert took is not None
    assert took < 2 * least + 1.0
    if readers > 100:
        assert _seconds_to_catch_up(readers, backlog, _Fixed(_MOST)) is None


def test_a_calm_store_is_asked_for_whole_pages():
    """
    Also after an outage, a few reads later.
    """
    sizes = PageSize(_MOST)
    for _ in range(10):
        sizes.failed()
    assert sizes.current == 16_384
    for _ in range(63):
        sizes.answered()
    assert sizes.current == _MOST


class _NarrowLog(FakeLog):
    """
    A log that answers no read for more than so many bytes.
    """

    def __init__(self, room: int) -> None:
        super().__init__(largest_record=100_000)
        self._room = room

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        if max_bytes > self._room:
            raise StoreUnavailableError("too slow")
        return await super().read(stream, start, wait, max_bytes, answer_timeout)


def test_a_follower_asks_for_less_until_it_is_answered():
    """
    And goes on from where it was.
    """

    async def play():
        log = _NarrowLog(room=100_000)
        await log.append("jobs", [bytes(10_000) for _ in range(50)])
        seen = []
        follower = LogFollower(log, "jobs", lambda offset, data: seen.append(offset))
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(3.0):
            while len(seen) < 50:
                await asyncio.sleep(0.01)
        task.cancel()
        assert seen == list(range(50))

    asyncio.run(play())
