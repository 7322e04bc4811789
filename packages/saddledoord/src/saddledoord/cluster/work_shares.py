# SPDX-License-Identifier: MIT

"""
Distributes work among the nodes by a lease for each work share.
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

#: Prefix of the names of the leases.
_PREFIX = "share/"
#: Term of a lease, in seconds: three renewals, and four times what an append and its
#: reading take at a store that is slowed down 60 times.
_TERM = 1.0
_RENEWALS_PER_TERM = 3
#: Interval between attempts to release a share that this node no longer may hold, in
#: seconds.
_RELEASE_INTERVAL = 0.3
#: How often the leases are checked without a change, in seconds.
_CHECK_INTERVAL = 0.1
#: Longest random delay of a claim, in seconds, so that nodes do not claim all at once;
#: others can read an append after 0.01 s.
_JITTER = 0.05
#: Delay of a claim by a node of one core, in seconds; divided by the number of cores,
#: so that nodes with more cores claim first: the holder reads the events of all the
#: share's texts.
_CORE_DELAY = 0.1
#: Additional delay of a claim for each share that the node holds, in seconds.
_HELD_DELAY = 0.05


def _always_true(_: str) -> bool:
    return True


class WorkShares:
    """
    Claims shares that no node holds, and renews those of this node.

    A work share is a set of jobs that one node runs. Two nodes that run it at the same
    time do no harm, since the order of the log decides which results count. So a node
    keeps its shares during an outage of the store. A share moves only if its holder
    stops, crashes or is cut off from the store.

    :param wanted: Returns the shares that must have a holder.
    :param on_acquired: Awaited before a share that was claimed counts as held.
    :param on_change: Awaited after the shares that this node holds have changed.
    :param cores: Processor time of this node, in cores.
    :param may_hold: Tells whether this node may hold a share; one that it no longer may
        hold is released.
    """

    @property
    def any_held(self) -> bool:
        """
        Whether this node holds any share.
        """
        return bool(self._held)

    def __init__(
        self,
        leases: LeaseLog,
        wanted: Callable[[], Iterable[str]],
        on_acquired: Callable[[], Awaitable[None]],
        on_change: Callable[[], Awaitable[None]],
        cores: float,
        may_hold: Callable[[str], bool] = _always_true,
    ) -> None:
        self._leases = leases
        self._wanted = wanted
        self._on_acquired = on_acquired
        self._on_change = on_change
        self._may_hold = may_hold
        self._delay = _CORE_DELAY / cores
        self._held: set[str] = set()
        self._acquiring: dict[str, asyncio.Task] = {}
        self._renewed_at = float("-inf")
        #: Shares that this node no longer may hold, but whose leases it has.
        self._forbidden: set[str] = set()
        self._forbidden_released_at = float("-inf")
        #: Start of the newest append that is known to have claimed or renewed a share.
        self._confirmed_at: dict[str, float] = {}
        self._claims_due: dict[tuple[str, int], float] = {}
        self._stopped = False

    def holds(self, share: str) -> bool:
        """
        Return whether this node holds a share.
        """
        return share in self._held

    def holds_alone(self, share: str) -> bool:
        """
        Return whether this node holds a share and no other node can have claimed its
        lease yet.

        Other nodes count the term from when they have read the newest renewal, which is
        later than the start of its append.
        """
        confirmed_at = self._confirmed_at.get(share, float("-inf"))
        return share in self._held and boot_time() - confirmed_at < _TERM

    async def run(self) -> None:
        """
        Claim and renew shares until cancelled.
        """
        try:
            while True:
                await self._leases.wait(self._until_next_check())
                if self._leases.caught_up and not self._stopped:
                    await self._check()
        finally:
            for task in self._acquiring.values():
                task.cancel()

    async def release(self) -> None:
        """
        Release all shares, so that others may claim them at once, and claim no more.
        """
        self._stopped = True
        self._held = set()
        names = [
            name for name in self._leases.held_lease_names() if name.startswith(_PREFIX)
        ]
        if names:
            _log.info("shares_released", shares=names)
            await self._leases.release(names)

    async def _check(self) -> None:
        held = {share for share in self._held if self._leases.is_mine(_PREFIX + share)}
        if held != self._held:
            _log.info("shares_lost", shares=sorted(self._held - held))
            for share in self._held - held:
                self._confirmed_at.pop(share, None)
            self._held = held
            await self._on_change()
        await self._release_forbidden()
        await self._renew()
        for share in self._wanted():
            if not self._may_hold(share):
                continue
            if self._leases.is_mine(_PREFIX + share):
                self._acquire(share)
            elif self._may_claim(share):
                self._claims_due.clear()
                claimed_at = boot_time()
                if await self._leases.claim(_PREFIX + share) is not None:
                    self._confirmed_at[share] = claimed_at

    async def _release_forbidden(self) -> None:
        """
        Release the shares that this node no longer may hold.

        Its items stop first, so that the next holder resumes after their last event.
        """
        shares = [
            name.removeprefix(_PREFIX)
            for name in self._leases.held_lease_names()
            if name.startswith(_PREFIX)
        ]
        forbidden = {share for share in shares if not self._may_hold(share)}
        if forbidden - self._forbidden:
            _log.info("shares_forbidden", shares=sorted(forbidden))
            self._forbidden_released_at = float("-inf")
        self._forbidden = forbidden
        now = boot_time()
        if not forbidden or now - self._forbidden_released_at < _RELEASE_INTERVAL:
            return
        self._forbidden_released_at = now
        for share in forbidden:
            self._confirmed_at.pop(share, None)
        if self._held & forbidden:
            self._held -= forbidden
            await self._on_change()
        await self._leases.release([_PREFIX + share for share in forbidden])

    async def _renew(self) -> None:
        now = boot_time()
        if now - self._renewed_at < _TERM / _RENEWALS_PER_TERM:
            return
        names = [
            name for name in self._leases.held_lease_names() if name.startswith(_PREFIX)
        ]
        names = [
            name for name in names if name.removeprefix(_PREFIX) not in self._forbidden
        ]
        if names:
            self._renewed_at = now
            if await self._leases.renew(names):
                for name in names:
                    self._confirmed_at[name.removeprefix(_PREFIX)] = now

    def _may_claim(self, share: str) -> bool:
        name = _PREFIX + share
        # Right after an outage of the store no share is claimed: its holder could not
        # renew the lease during the outage and needs time to do so.
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

    def _until_next_check(self) -> float:
        now = boot_time()
        return min(
            [
                _CHECK_INTERVAL,
                *(due - now for due in self._claims_due.values() if due > now),
            ]
        )

    def _acquire(self, share: str) -> None:
        """
        Start a task that prepares for a share and then counts it as held.

        It is a task because the lease must be renewed meanwhile.
        """
        if share in self._held or share in self._acquiring:
            return
        task = asyncio.create_task(self._finish_acquiring(share))
        self._acquiring[share] = task
        task.add_done_callback(lambda task: self._acquiring.pop(share))

    async def _finish_acquiring(self, share: str) -> None:
        await self._on_acquired()
        if self._stopped or not self._leases.is_mine(_PREFIX + share):
            return
        if not self._may_hold(share):
            return
        self._held.add(share)
        _log.info("share_taken", share=share)
        await self._on_change()
