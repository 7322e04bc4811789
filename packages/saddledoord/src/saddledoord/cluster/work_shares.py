# SPDX-License-Identifier: MIT

"""
Which node runs what: a lease for each share of the work.
"""

from __future__ import annotations

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
    """

    def __init__(
        self,
        leases: LeaseLog,
        wanted: Callable[[], Iterable[str]],
        taken: Callable[[], Awaitable[None]],
        changed: Callable[[], Awaitable[None]],
    ) -> None:
        self._leases = leases
        self._wanted = wanted
        self._taken = taken
        self._changed = changed
        self._held: set[str] = set()
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
        while True:
            await self._leases.wait(self._until_next_look())
            if self._leases.caught_up and not self._stopped:
                await self._look()

    async def release(self) -> None:
        """
        Give all shares up for good, so that others take them at once.
        """
        self._stopped = True
        held, self._held = self._held, set()
        leases = [self._leases.get(_PREFIX + share) for share in sorted(held)]
        if held:
            _log.info("shares_released", shares=sorted(held))
            await self._leases.release([lease for lease in leases if lease is not None])

    async def _look(self) -> None:
        held = {share for share in self._held if self._leases.is_mine(_PREFIX + share)}
        if held != self._held:
            _log.info("shares_lost", shares=sorted(self._held - held))
            self._held = held
            await self._changed()
        now = boot_time()
        if self._held and now - self._renewed_at >= _TERM / _RENEWALS:
            self._renewed_at = now
            await self._leases.renew([_PREFIX + share for share in sorted(self._held)])
        for share in self._wanted():
            if share not in self._held and self._may_claim(share):
                await self._claim(share)

    def _may_claim(self, share: str) -> bool:
        name = _PREFIX + share
        if self._leases.is_mine(name):
            return True
        # A holder could not renew while the store was away.
        if boot_time() - self._leases.regained_at < _TERM:
            return False
        if not self._leases.may_take(name, _TERM):
            return False
        lease = self._leases.get(name)
        key = (name, lease.last if lease else -1)
        delay = _HELD_DELAY * len(self._held) + random.uniform(0, _JITTER)
        return boot_time() >= self._claims_due.setdefault(key, boot_time() + delay)

    def _until_next_look(self) -> float:
        now = boot_time()
        return min(
            [_LOOK, *(due - now for due in self._claims_due.values() if due > now)]
        )

    async def _claim(self, share: str) -> None:
        name = _PREFIX + share
        self._claims_due.clear()
        if not self._leases.is_mine(name) and await self._leases.claim(name) is None:
            return
        await self._taken()
        if self._stopped:
            # The planned stop has begun meanwhile.
            lease = self._leases.get(name)
            if lease is not None and self._leases.is_mine(name):
                await self._leases.release([lease])
            return
        self._held.add(share)
        self._renewed_at = boot_time()
        _log.info("share_taken", share=share)
        await self._changed()
