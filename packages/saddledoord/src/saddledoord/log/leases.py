# SPDX-License-Identifier: MIT

"""
Claims, renews and releases this VM's leases in the log.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

import structlog

from saddledoor import HeldLease, LeaseClaim, LeaseRelease, LeaseRenewal

from .._clock import boot_time
from .._state import NodeState
from ..duties.in_flight import ActionsInFlight
from .client import LogClient, LogUnavailableError
from .follower import new_record_id
from .lease_stream import CONTROL_STREAM, LeaseStream


__all__ = ["LeaseKeeper"]

_log = structlog.get_logger()

#: Renewals per term.
_RENEWALS = 3
#: Interval of reading the log while a released lease has no new holder, in seconds.
_TAKEOVER_POLL = 0.05
#: Time beyond the timeout of an order until it has ended for certain, in seconds.
_ACTION_MARGIN = 0.2


class LeaseKeeper:
    """
    Manages the leases that this process holds.
    """

    def __init__(self, log: LogClient, state: NodeState, stream: LeaseStream) -> None:
        self._log = log
        self._state = state
        self._stream = stream
        self._held: dict[str, HeldLease] = {}
        self._claim_locks: dict[str, asyncio.Lock] = {}
        self._actions: defaultdict[str, ActionsInFlight] = defaultdict(ActionsInFlight)

    def names(self) -> tuple[str, ...]:
        """
        Return the names of the leases that this process holds.
        """
        return tuple(sorted(self._held))

    def held(self, name: str) -> HeldLease | None:
        """
        Return a lease if this process holds it, as far as the log has been read.

        `HeldLease.may_act` tells whether the process may act on it. While the state of
        the leases is unknown, it may until its term ends, as others wait for that.
        """
        held = self._held.get(name)
        if held is None or not self._stream.is_complete:
            return held
        lease = self._state.lease_fold.get(name)
        if lease is None or lease.fence != held.fence:
            del self._held[name]
            _log.warning("lease_lost", lease=name, fence=held.fence)
            return None
        return held

    @contextmanager
    def acting(self, name: str, margin: float) -> Iterator[HeldLease | None]:
        """
        Provide a lease for an action, or None if the action may not begin; the lease is
        not released before the end of the context.

        :param margin: Upper bound of the action's duration, in seconds.
        """
        held = self.held(name)
        if held is None or not held.may_act(boot_time(), margin):
            yield None
            return
        with self._actions[name].track():
            yield held

    def holder_address(self, name: str) -> str | None:
        """
        Return the peer address of a lease's holder, or None if the lease is free.
        """
        lease = self._state.lease_fold.get(name)
        if lease is None or lease.released:
            return None
        return lease.holder.partition("@")[2]

    def may_claim(self, name: str) -> bool:
        """
        Return whether a lease is known to be free or to have expired.
        """
        if not self._stream.is_complete:
            return False
        lease = self._state.lease_fold.get(name)
        return self._state.watch(name).may_claim(lease, boot_time())

    async def try_claim(self, name: str) -> HeldLease | None:
        """
        Try to claim a lease; return it if this process holds it.
        """
        lock = self._claim_locks.setdefault(name, asyncio.Lock())
        async with lock:
            held = self.held(name)
            if held is not None or not self.may_claim(name):
                return held
            return await self._claim(name)

    async def refresh(self) -> None:
        """
        Read the log now, since the follower lags by its pause.
        """
        try:
            await self._stream.catch_up()
        except LogUnavailableError:
            pass

    async def until_taken(self, names: list[str], timeout: float) -> bool:
        """
        Wait until other processes hold leases that this one released.

        :param timeout: Longest wait, in seconds.
        :returns: Whether all of them are held.
        """
        deadline = boot_time() + timeout
        while boot_time() < deadline:
            await self.refresh()
            leases = [self._state.lease_fold.get(name) for name in names]
            if all(lease and not lease.released for lease in leases):
                return True
            await asyncio.sleep(_TAKEOVER_POLL)
        return False

    async def _claim(self, name: str) -> HeldLease | None:
        lease = self._state.lease_fold.get(name)
        seen = lease.last_offset if lease else -1
        claim = LeaseClaim(new_record_id(), name, self._state.owner, seen)
        started_at = boot_time()
        try:
            await self._log.append(CONTROL_STREAM, [claim])
        except LogUnavailableError:
            pass
        try:
            # Also after a failed append, since only the log shows whether it succeeded.
            await self._stream.catch_up()
        except LogUnavailableError:
            return None
        lease = self._state.lease_fold.get(name)
        if lease is None or lease.claim_id != claim.record_id:
            return None
        term = self._state.settings.timings.lease_term
        self._held[name] = HeldLease(name, lease.fence, started_at + term)
        _log.info("lease_taken", lease=name, fence=lease.fence)
        return self._held[name]

    async def run(self) -> None:
        """
        Renew the leases until cancelled.
        """
        term = self._state.settings.timings.lease_term
        while True:
            await asyncio.sleep(term / _RENEWALS)
            await self.renew()

    async def renew(self) -> None:
        """
        Renew all leases in one append.

        Leases are not renewed while their state is unknown: if no other VM knows it,
        the renewals would defer the time from which all leases have expired.
        """
        if not self._stream.is_complete:
            return
        held = [lease for name in self.names() if (lease := self.held(name))]
        if not held:
            return
        started_at = boot_time()
        records = [LeaseRenewal(lease.name, lease.fence) for lease in held]
        try:
            offset = await self._log.append(CONTROL_STREAM, records)
            await self._stream.catch_up()
        except LogUnavailableError:
            return
        term = self._state.settings.timings.lease_term
        for index, lease in enumerate(held):
            current = self._state.lease_fold.get(lease.name)
            # A renewal counts only if the fold accepted it.
            if (
                current
                and current.fence == lease.fence
                and current.last_offset >= offset + index
            ):
                renewed = HeldLease(lease.name, lease.fence, started_at + term)
                self._held[lease.name] = renewed

    async def release(self, name: str) -> None:
        """
        Release a lease when no action under it is in flight; it expires by itself if
        one does not end or if the log is unavailable.
        """
        held = self._held.pop(name, None)
        if held is None:
            return
        timeout = self._state.settings.timings.order_timeout + _ACTION_MARGIN
        if not await self._actions[name].wait_until_idle(timeout):
            _log.warning("lease_not_released", lease=name, fence=held.fence)
            return
        try:
            await self._log.append(CONTROL_STREAM, [LeaseRelease(name, held.fence)])
            _log.info("lease_released", lease=name, fence=held.fence)
        except LogUnavailableError:
            pass
