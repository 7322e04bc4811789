# SPDX-License-Identifier: MIT

"""
The lease whose holder alone gives orders to engines.
"""

from __future__ import annotations

import asyncio
import secrets

import structlog

from saddledoor import (
    HeldLease,
    Lease,
    LeaseClaim,
    LeaseFold,
    LeaseRelease,
    LeaseRenewal,
    LeaseWatch,
    decode_record,
    encode_record,
)
from saddledoor.exceptions import UndecodableRecordError

from .._clock import boot_time
from ..cluster.follow import LogFollower
from ..ports import Appended, SharedLog


__all__ = ["OrderLease"]

_log = structlog.get_logger()

#: The stream that holds the lease's records.
CONTROL_STREAM = "control"
_LEASE = "orders"
#: Between a machine's name and what tells its processes apart.
_INCARNATION = "#"
#: Renewals per term, a count.
_RENEWALS = 3
#: How often the lease is looked at, as a share of its term.
_LOOKS = 12


class OrderLease:
    """
    Takes and renews the lease; its fencing number is the offset of the claim.

    :param machine: Names this machine, so that no other one has the same name.
    :param term: In seconds.
    """

    def __init__(self, log: SharedLog, machine: str, term: float) -> None:
        self._log = log
        self._machine = machine
        # Another incarnation is another holder.
        self._holder = f"{machine}{_INCARNATION}{secrets.token_hex(4)}"
        self._term = term
        self._fold = LeaseFold()
        self._watch = LeaseWatch(term)
        self._held: HeldLease | None = None
        self._released = False
        self._follower = LogFollower(log, CONTROL_STREAM, self._apply)

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
        Follow the lease, take it when it is free, renew it while held.
        """
        following = asyncio.create_task(self._follower.run())
        try:
            while True:
                await asyncio.sleep(self._term / _LOOKS)
                if self._follower.caught_up and not self._released:
                    await self._look()
        finally:
            following.cancel()

    async def release(self) -> None:
        """
        Give the lease up for good, so that another node may take it at once.
        """
        self._released = True
        held, self._held = self._held, None
        if held is not None:
            _log.info("order_lease_released", fence=held.fence)
            release = LeaseRelease(_LEASE, held.fence)
            await self._log.append(CONTROL_STREAM, [_encode(release)])

    async def _look(self) -> None:
        now = boot_time()
        lease = self._fold.get(_LEASE)
        held = self._held
        if held is not None and (not held.may_act(now) or lease.fence != held.fence):
            _log.warning("order_lease_lost", fence=held.fence)
            self._held = held = None
        if held is not None:
            if held.deadline - now < self._term * (1 - 1 / _RENEWALS):
                await self._renew(held)
        elif self._watch.may_take(lease, now) or self._is_of_a_dead_one(lease):
            await self._claim(lease.last if lease else -1)

    def _is_of_a_dead_one(self, lease: Lease | None) -> bool:
        """
        Whether an earlier process of this machine holds the lease.

        It is gone, or this one would not run, and nobody else may have acted since. So
        the term need not pass, which counts after the loss of all machines.
        """
        if lease is None or lease.holder == self._holder:
            return False
        return lease.holder.rpartition(_INCARNATION)[0] == self._machine

    async def _claim(self, seen: int) -> None:
        claim = LeaseClaim(secrets.token_hex(8), _LEASE, self._holder, seen)
        before = boot_time()
        await self._log.append(CONTROL_STREAM, [_encode(claim)])
        # Whatever became of the append, only the log tells whether the claim stands.
        if not await self._follower.sync():
            return
        lease = self._fold.get(_LEASE)
        if lease is not None and lease.claim_id == claim.record_id:
            if self._released:
                release = LeaseRelease(_LEASE, lease.fence)
                await self._log.append(CONTROL_STREAM, [_encode(release)])
                return
            self._held = HeldLease(_LEASE, lease.fence, before + self._term)
            _log.info("order_lease_taken", fence=lease.fence)

    async def _renew(self, held: HeldLease) -> None:
        before = boot_time()
        renewal = LeaseRenewal(_LEASE, held.fence)
        outcome = await self._log.append(CONTROL_STREAM, [_encode(renewal)])
        if not isinstance(outcome, Appended) or not await self._follower.sync():
            return
        lease = self._fold.get(_LEASE)
        counted = lease.fence == held.fence and lease.last >= outcome.offset
        # It may have been fenced while the renewal was under way.
        if counted and self._held is held:
            self._held = HeldLease(_LEASE, held.fence, before + self._term)

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            self._fold = self._fold.apply(offset, decode_record(data))
        except UndecodableRecordError as error:
            _log.error("record_skipped", offset=offset, reason=str(error))
        # The wait for a takeover begins when the newest renewal has been read.
        self._watch.observe(self._fold.get(_LEASE), boot_time())


def _encode(record: LeaseClaim | LeaseRenewal | LeaseRelease) -> bytes:
    return encode_record(record).encode()
