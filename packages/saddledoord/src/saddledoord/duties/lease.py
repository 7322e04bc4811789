# SPDX-License-Identifier: MIT

"""
The lease of a duty, which one node has at a time.
"""

from __future__ import annotations

import structlog

from saddledoor import HeldLease, Lease

from .._clock import boot_time
from ..cluster.leases import LeaseLog


__all__ = ["DutyLease"]

_log = structlog.get_logger()

#: Renewals per term, a count.
_RENEWALS = 3
#: How often the lease is looked at, as a share of its term.
_LOOKS = 12
#: How long a node stays aside, in terms: nodes must not take turns in one.
_ASIDE = 3


class DutyLease:
    """
    Takes and renews the lease; its fencing number is the offset of the claim.

    :param duty: Names it.
    :param term: In seconds.
    """

    def __init__(self, leases: LeaseLog, duty: str, term: float) -> None:
        self._leases = leases
        self._duty = duty
        self._term = term
        self._held: HeldLease | None = None
        self._released = False
        self._aside_until = float("-inf")

    def current(self, margin: float) -> HeldLease | None:
        """
        Return the lease if an action of up to ``margin`` seconds may begin now.
        """
        held = self._held
        return held if held and held.may_act(boot_time(), margin) else None

    def fenced(self, fence: int) -> None:
        """
        Note that whoever is acted upon has seen a higher fencing number.
        """
        if self._held is not None and self._held.fence == fence:
            _log.warning("duty_fenced", duty=self._duty, fence=fence)
            self._held = None

    async def run(self) -> None:
        """
        Take the lease when it is free, renew it while held, until cancelled.
        """
        while True:
            await self._leases.wait(self._term / _LOOKS)
            if self._leases.caught_up and self._may_hold():
                await self._look()

    async def release(self) -> None:
        """
        Give the lease up for good, so that another node may take it at once.
        """
        self._released = True
        await self._give_up()

    async def step_aside(self) -> None:
        """
        Leave the duty to other nodes for a while: this one cannot do it.
        """
        self._aside_until = boot_time() + _ASIDE * self._term
        await self._give_up()

    async def _give_up(self) -> None:
        self._held = None
        lease = self._leases.get(self._duty)
        if lease is not None and self._leases.is_mine(self._duty):
            _log.info("duty_released", duty=self._duty, fence=lease.fence)
            await self._leases.release([self._duty])

    def _may_hold(self) -> bool:
        return not self._released and boot_time() >= self._aside_until

    async def _look(self) -> None:
        now = boot_time()
        held = self._held
        if held is not None and not self._still_holds(held, now):
            _log.warning("duty_lost", duty=self._duty, fence=held.fence)
            self._held = held = None
        if held is None:
            if self._leases.may_claim(self._duty, self._term):
                await self._claim()
            elif self._leases.is_mine(self._duty):
                # It ran out while the store was away; a renewal that counts shows
                # that nobody has taken it since.
                await self._renew()
        elif held.deadline - now < self._term * (1 - 1 / _RENEWALS):
            await self._renew()

    def _still_holds(self, held: HeldLease, now: float) -> bool:
        lease = self._leases.get(self._duty)
        return held.may_act(now) and lease is not None and lease.fence == held.fence

    async def _claim(self) -> None:
        before = boot_time()
        lease = await self._leases.claim(self._duty)
        if lease is None:
            return
        if not self._may_hold():
            await self._leases.release([self._duty])
            return
        self._take(lease, before)
        _log.info("duty_taken", duty=self._duty, fence=lease.fence)

    async def _renew(self) -> None:
        before = boot_time()
        lease = self._leases.get(self._duty)
        if lease is not None and await self._leases.renew([self._duty]):
            self._take(lease, before)

    def _take(self, lease: Lease, before: float) -> None:
        if self._may_hold() and self._leases.is_mine(self._duty):
            self._held = HeldLease(self._duty, lease.fence, before + self._term)
