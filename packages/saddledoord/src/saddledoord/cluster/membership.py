# SPDX-License-Identifier: MIT

"""
This node's share of the jobs, as the store deals it out among the live nodes.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

import structlog

from .._clock import boot_time
from ..ports import Assignment, StoreAwayError, WorkGroup


__all__ = ["Membership", "part_of"]

_log = structlog.get_logger()

#: How often a node shows that it is alive, in seconds: five times within the shortest
#: silence after which the store takes its share away (1 s). It is also how soon a node
#: learns what it was dealt.
_HEARTBEAT = 0.2


def part_of(key: str, parts: int) -> int:
    """
    Return the part of the work that a key belongs to, the same on every node.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % parts


class Membership:
    """
    Keeps this node in the group and tells which jobs it runs.

    The share only says who works, not whose word counts: that the log's order decides.

    :param parts: Into how many shares the jobs are divided.
    :param changed: Called when the share has changed, and awaited before what is lost
        may pass on to another node.
    """

    def __init__(
        self, group: WorkGroup, parts: int, changed: Callable[[], Awaitable[None]]
    ) -> None:
        self._group = group
        self._parts = parts
        self._changed = changed
        self._assignment = Assignment(0, frozenset())
        self._left = False
        self._answered_at = float("-inf")

    @property
    def answered_at(self) -> float:
        """
        When the store last answered a heartbeat, monotonic, in seconds.
        """
        return self._answered_at

    def owns(self, key: str) -> bool:
        """
        Tell whether this node runs the jobs with a key.
        """
        return part_of(key, self._parts) in self._assignment.parts

    async def run(self) -> None:
        """
        Stay a member until it is left.
        """
        while not self._left:
            before = self._assignment.generation
            try:
                assignment = await self._group.join(before)
                self._answered_at = boot_time()
                if not self._left:
                    await self._take(assignment)
            except StoreAwayError as error:
                # The share stays: while the store is away it deals none to others,
                # and if it only turned this node away, work done twice does no harm.
                _log.warning("membership_heartbeat_failed", reason=str(error))
            if self._assignment.generation == before:
                await asyncio.sleep(_HEARTBEAT)
            # Otherwise at once: what this node was dealt no longer passes on to the
            # next one only when this one shows that it knows.

    async def leave(self) -> None:
        """
        Give this node's share up, so that others take it over at once.
        """
        self._left = True
        await self._take(Assignment(self._assignment.generation, frozenset()))
        try:
            await self._group.leave()
        except StoreAwayError as error:
            _log.warning("membership_leave_failed", reason=str(error))

    async def _take(self, assignment: Assignment) -> None:
        before = self._assignment
        self._assignment = assignment
        if before.parts != assignment.parts:
            _log.info(
                "share_changed",
                generation=assignment.generation,
                parts=sorted(assignment.parts),
            )
            await self._changed()
