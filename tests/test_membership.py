# SPDX-License-Identifier: MIT

"""
A node's share of the work.
"""

from __future__ import annotations

import asyncio

from saddledoord.cluster.membership import Membership
from saddledoord.ports import Assignment, StoreAwayError


class _Group:
    """
    Answers joins as a list says, then for ever as its last entry does.
    """

    def __init__(self, answers: list[Assignment | None]) -> None:
        self.generations: list[int] = []
        self._answers = answers

    async def join(self, generation: int) -> Assignment:
        self.generations.append(generation)
        answer = self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]
        if answer is None:
            raise StoreAwayError("away")
        return answer

    async def leave(self) -> None:
        self.generations.append(-1)


def _play(group: _Group, seconds: float) -> Membership:

    async def changed():
        pass

    membership = Membership(group, 4, changed)

    async def play():
        with_time = asyncio.wait_for(membership.run(), seconds)
        try:
            await with_time
        except TimeoutError:
            pass

    asyncio.run(play())
    return membership


def test_a_share_that_is_dealt_to_others_passes_on_at_once():
    """
    The next join, which shows that this node knows, does not wait for a heartbeat.
    """
    whole = Assignment(1, frozenset(range(4)))
    half = Assignment(2, frozenset({0, 1}))
    group = _Group([whole, half, half])
    _play(group, 0.1)
    assert group.generations == [0, 1, 2]


def test_the_share_stays_while_the_store_is_away():
    """
    And heartbeats go on, without haste.
    """
    group = _Group([Assignment(1, frozenset(range(4))), None])
    membership = _play(group, 0.3)
    assert membership.owns("any series")
    assert len(group.generations) <= 4
