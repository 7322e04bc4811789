# SPDX-License-Identifier: MIT

"""
Which node runs what: a lease for each share of the work.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

import structlog

from .._clock import boot_time
from .leases import LeaseLog


__all__ = ["WorkShares"]

_log = structlog.get_logger()

_PREFIX = "share/"
#: Silence of a holder after which others take its share, in seconds: three renewals,
#: and four times what an append and its reading take at a store slowed down 60 times.
_TERM = 1.0
#: Renewals per term, a count.
_RENEWALS = 3
#: How often the shares are looked at if there is no news, in seconds.
_LOOK = 0.1
#: Longest time by which a node puts a claim off at random, in seconds, so that not all
#: claim at once; an append that others can read takes 0.01 s.
_JITTER = 0.05
#: How much longer a node of one core waits, in seconds; one of two cores waits half as
#: long. What runs a share has its trainers' events to read, and after a loss of all
#: machines it should be back first: a start takes 0.33 s of 2.15 cores.
_CORE_DELAY = 0.1
#: How much longer a node waits for each share that it holds already, in seconds.
_HELD_DELAY = 0.05


class WorkShares:
    """
    Takes shares that nobody holds, keeps them, and tells which ones this node runs.

    A share only says who works, not whose word counts: that the log's order decides. So
    it stays while the store is away, and a holder that was replaced can do no harm.
    It moves only if its holder leaves, dies or is cut off. Shares that the store dealt
    out moved at most changes of its members, and the items that a step waited for lost
    0.4 s a step to it (mean of 9 plays on days with trouble).

    :param wanted: Names the shares that must have a holder.
    :param taken: Awaited before a share that was taken counts as held.
    :param changed: Awaited after the shares have changed.
    :param cores: Processor time that this node has, as a share of one core's.
    """

    @property
    def any_held(self) -> bool:
        """
        Whether this node runs any share.
        """
        return bool(self._held)

    def __init__(
        self,
        leases: LeaseLog,
        wanted: Callable[[], Iterable[str]],
        taken: Callable[[], Awaitable[None]],
        changed: Callable[[], Awaitable[None]],
        cores: float,
    ) -> None:
        self._leases = leases
        self._wanted = wanted
        self._taken = taken
        self._changed = changed
        self._delay = _CORE_DELAY / cores
        self._held: set[str] = set()
        self._taking: dict[str, asyncio.Task] = {}
        self._renewed_at = float("-inf")
        self._claims_due: dict[tuple[str, int], float] = {}
        self._stopped = False

    def owns(self, share: str) -> bool:
        """
        Tell whether this node runs a share.
        """
        return share in self._held

    async def run(self) -> None:
        """
        Look after the shares until cancelled.
        """
        try:
            while True:
                await self._leases.wait(self._until_next_look())
                if self._leases.caught_up and not self._stopped:
                    await self._look()
        finally:
            for task in self._taking.values():
                task.cancel()

    async def release(self) -> None:
        """
        Give all shares up for good, so that others take them at once.
        """
        self._stopped = True
        self._held = set()
        names = [name for name in self._leases.mine() if name.startswith(_PREFIX)]
        if names:
            _log.info("shares_released", shares=names)
            await self._leases.release(names)

    async def _look(self) -> None:
        held = {share for share in self._held if self._leases.is_mine(_PREFIX + share)}
        if held != self._held:
            _log.info("shares_lost", shares=sorted(self._held - held))
            self._held = held
            await self._changed()
        await self._renew()
        for share in self._wanted():
            if self._leases.is_mine(_PREFIX + share):
                self._take_up(share)
            elif self._may_claim(share):
                self._claims_due.clear()
                await self._leases.claim(_PREFIX + share)

    async def _renew(self) -> None:
        now = boot_time()
        if now - self._renewed_at < _TERM / _RENEWALS:
            return
        names = [name for name in self._leases.mine() if name.startswith(_PREFIX)]
        if names:
            self._renewed_at = now
            await self._leases.renew(names)

    def _may_claim(self, share: str) -> bool:
        name = _PREFIX + share
        # A holder could not renew while the store was away, and it needs a moment to
        # notice that it is back.
        regained_at = self._leases.regained_at
        if not self._leases.is_store_reachable or boot_time() - regained_at < _TERM:
            return False
        if not self._leases.may_claim(name, _TERM):
            return False
        lease = self._leases.get(name)
        key = (name, lease.last_offset if lease else -1)
        delay = self._delay + _HELD_DELAY * len(self._held)
        due = boot_time() + delay + random.uniform(0, _JITTER)
        return boot_time() >= self._claims_due.setdefault(key, due)

    def _until_next_look(self) -> float:
        now = boot_time()
        return min(
            [_LOOK, *(due - now for due in self._claims_due.values() if due > now)]
        )

    def _take_up(self, share: str) -> None:
        """
        Have a share count as held once the node knows what it has to know.

        Beside the looks: the lease must be renewed meanwhile.
        """
        if share in self._held or share in self._taking:
            return
        task = asyncio.create_task(self._taken_up(share))
        self._taking[share] = task
        task.add_done_callback(lambda task: self._taking.pop(share))

    async def _taken_up(self, share: str) -> None:
        await self._taken()
        if self._stopped or not self._leases.is_mine(_PREFIX + share):
            return
        self._held.add(share)
        _log.info("share_taken", share=share)
        await self._changed()
