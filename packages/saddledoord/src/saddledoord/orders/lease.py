# SPDX-License-Identifier: MIT

"""
The lease whose holder alone gives orders to engines.
"""

from __future__ import annotations

import structlog

from saddledoor import HeldLease, Lease

from .._clock import boot_time
from ..cluster.leases import LeaseLog


__all__ = ["OrderLease"]

_log = structlog.get_logger()

_LEASE = "orders"
#: Renewals per term, a count.
_RENEWALS = 3
#: How often the lease is looked at, as a share of its term.
_LOOKS = 12


class OrderLease:
    """
    Takes and renews the lease; its fencing number is the offset of the claim.

    :param term: In seconds.
    """

    def __init__(self, leases: LeaseLog, term: float) -> None:
        self._leases = leases
        self._term = term
        self._held: HeldLease | None = None
        self._released = False

    def current(self, margin: float) -> HeldLease | None:
        """
        Return the lease if an action of up to ``margin`` seconds may begin now.
        """
        held = self._held
        return held if held and held.may_act(boot_time(), margin) else None

    def fenced(self, fence: int) -> None:
        """
        Note that an engine has seen a higher fencing number.
        """
        if self._held is not None and self._held.fence == fence:
            _log.warning("order_lease_fenced", fence=fence)
            self._held = None

    async def run(self) -> None:
        """
        Take the lease when it is free, renew it while held, until cancelled.
        """
        while True:
            await self._leases.wait(self._term / _LOOKS)
            if self._leases.caught_up and not self._released:
                await self._look()

    async def release(self) -> None:
        """
        Give the lease up for good, so that another node may take it at once.
        """
        self._released = True
        self._held = None
        lease = self._leases.get(_LEASE)
        if lease is not None and self._leases.is_mine(_LEASE):
            _log.info("order_lease_released", fence=lease.fence)
            await self._leases.release([_LEASE])

    async def _look(self) -> None:
        now = boot_time()
        held = self._held
        if held is not None and not self._still_holds(held, now):
            _log.warning("order_lease_lost", fence=held.fence)
            self._held = held = None
        if held is None:
            if self._leases.may_take(_LEASE, self._term):
                await self._claim()
            elif self._leases.is_mine(_LEASE):
                # It ran out while the store was away; a renewal that counts shows
                # that nobody has taken it since.
                await self._renew()
        elif held.deadline - now < self._term * (1 - 1 / _RENEWALS):
            await self._renew()

    def _still_holds(self, held: HeldLease, now: float) -> bool:
        lease = self._leases.get(_LEASE)
        return held.may_act(now) and lease is not None and lease.fence == held.fence

    async def _claim(self) -> None:
        before = boot_time()
        lease = await self._leases.claim(_LEASE)
        if lease is None:
            return
        if self._released:
            await self._leases.release([_LEASE])
            return
        self._take(lease, before)
        _log.info("order_lease_taken", fence=lease.fence)

    async def _renew(self) -> None:
        before = boot_time()
        lease = self._leases.get(_LEASE)
        if lease is not None and await self._leases.renew([_LEASE]):
            self._take(lease, before)

    def _take(self, lease: Lease, before: float) -> None:
        if not self._released and self._leases.is_mine(_LEASE):
            self._held = HeldLease(_LEASE, lease.fence, before + self._term)
