# SPDX-License-Identifier: MIT

"""
The lease of a duty, which one node holds at a time.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import structlog

from saddledoor import HeldLease, Lease

from .._clock import boot_time
from ..cluster.leases import LeaseLog
from .in_flight import ActionsInFlight


__all__ = ["DutyLease"]

_log = structlog.get_logger()

_RENEWALS_PER_TERM = 3
_CHECKS_PER_TERM = 12
#: Time for which a node does not claim the lease after `back_off`, in terms; two nodes
#: must not take turns within one term.
_BACKOFF_TERMS = 3
#: Longest wait for the actions in flight before a release, in seconds. Calls under a
#: lease end within 0.6 s.
_ACTION_TIMEOUT = 0.7


class DutyLease:
    """
    Claims and renews the lease; its fencing number is the offset of the claim.

    :param duty: Name of the lease.
    :param term: Time for which a claim or a renewal is valid, in seconds.
    """

    def __init__(self, leases: LeaseLog, duty: str, term: float) -> None:
        self._leases = leases
        self._duty = duty
        self._term = term
        self._held: HeldLease | None = None
        self._released = False
        self._backoff_until = float("-inf")
        self._actions = ActionsInFlight()

    def current(self, margin: float) -> HeldLease | None:
        """
        Return the lease if an action of up to ``margin`` seconds may begin now.
        """
        held = self._held
        return held if held and held.may_act(boot_time(), margin) else None

    @contextmanager
    def acting(self, margin: float) -> Iterator[HeldLease | None]:
        """
        Provide the lease for an action, such as a call that carries its fencing number,
        or None if the action may not begin. The lease is not released before the end of
        the context.

        :param margin: Upper bound of the action's duration, in seconds.
        """
        held = self.current(margin)
        if held is None:
            yield None
            return
        with self._actions.track():
            yield held

    def record_fenced(self, fence: int) -> None:
        """
        Drop the lease, because a receiver has seen a higher fencing number.

        :param fence: The fencing number that was refused.
        """
        if self._held is not None and self._held.fence == fence:
            _log.warning("duty_fenced", duty=self._duty, fence=fence)
            self._held = None

    async def confirm(self, fence: int) -> bool | None:
        """
        Read the log, and return whether this node still holds the lease.

        :param fence: The fencing number of the lease.
        :returns: None if the store does not answer.
        """
        if not await self._leases.sync():
            return None
        lease = self._leases.get(self._duty)
        return (
            lease is not None
            and lease.fence == fence
            and self._leases.is_mine(self._duty)
        )

    async def run(self) -> None:
        """
        Claim the lease when it is free, and renew it while held, until cancelled.
        """
        while True:
            await self._leases.wait(self._term / _CHECKS_PER_TERM)
            if self._leases.caught_up and self._may_hold():
                await self._check()

    async def release(self) -> None:
        """
        Release the lease for good, so that another node can claim it at once; while an
        action is in flight, after its end.
        """
        self._released = True
        await self._release_held()

    async def back_off(self) -> None:
        """
        Release the lease, and do not claim it for a while.
        """
        self._backoff_until = boot_time() + _BACKOFF_TERMS * self._term
        await self._release_held()

    async def _release_held(self) -> None:
        self._held = None
        lease = self._leases.get(self._duty)
        if lease is not None and self._leases.is_mine(self._duty):
            # An action of this node that arrives after one of the next holder would
            # carry a lower fencing number, which not every receiver checks.
            if not await self._actions.wait_until_idle(_ACTION_TIMEOUT):
                _log.warning(
                    "duty_not_released",
                    duty=self._duty,
                    fence=lease.fence,
                    in_flight=self._actions.count,
                )
                return
            _log.info("duty_released", duty=self._duty, fence=lease.fence)
            await self._leases.release([self._duty])

    def _may_hold(self) -> bool:
        return not self._released and boot_time() >= self._backoff_until

    async def _check(self) -> None:
        now = boot_time()
        held = self._held
        if held is not None and not self._still_holds(held, now):
            _log.warning("duty_lost", duty=self._duty, fence=held.fence)
            self._held = held = None
        if held is None:
            if self._leases.may_claim(self._duty, self._term):
                await self._claim()
            elif self._leases.is_mine(self._duty):
                # It expired while the store was unreachable; a successful renewal shows
                # that no other node has claimed it since.
                await self._renew()
        elif held.deadline - now < self._term * (1 - 1 / _RENEWALS_PER_TERM):
            await self._renew()

    def _still_holds(self, held: HeldLease, now: float) -> bool:
        lease = self._leases.get(self._duty)
        return held.may_act(now) and lease is not None and lease.fence == held.fence

    async def _claim(self) -> None:
        sent_at = boot_time()
        lease = await self._leases.claim(self._duty)
        if lease is None:
            return
        if not self._may_hold():
            await self._leases.release([self._duty])
            return
        self._set_held(lease, sent_at)
        _log.info("duty_taken", duty=self._duty, fence=lease.fence)

    async def _renew(self) -> None:
        sent_at = boot_time()
        lease = self._leases.get(self._duty)
        if lease is not None and await self._leases.renew([self._duty]):
            self._set_held(lease, sent_at)

    def _set_held(self, lease: Lease, sent_at: float) -> None:
        if self._may_hold() and self._leases.is_mine(self._duty):
            self._held = HeldLease(self._duty, lease.fence, sent_at + self._term)
