# SPDX-License-Identifier: MIT

"""
All leases of the gateway, as the log has them.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Sequence

from saddledoor import (
    Lease,
    LeaseClaim,
    LeaseFold,
    LeaseRelease,
    LeaseRenewal,
    LeaseWatch,
    decode_record,
    encode_record,
)

from .._clock import boot_time
from ..ports import Appended, AppendOutcomeUnknown, NotAppended, SharedLog
from .change_notifier import ChangeNotifier
from .follow import LogFollower


__all__ = ["LeaseLog"]

#: The stream that holds the leases' records.
CONTROL_STREAM = "control"
#: Between a machine's name and what tells its processes apart.
_INCARNATION = "#"
#: How long a read of the stream waits for news, in seconds. It is also how often this
#: node hears of the store at least, so that it notices the store's silence.
_WAIT = 0.2


#: Longest wait for an answer, in seconds: a store that is slowed down 60 times takes
#: 0.24 s, and only reading the log shows what became of an append anyway.
_PATIENCE = 0.5


class LeaseLog:
    """
    Follows the leases, and appends what this process does about them.

    :param machine: Names this machine, so that no other one has the same name.
    """

    def __init__(self, log: SharedLog, machine: str) -> None:
        self._log = log
        self._machine = machine
        # Another incarnation is another holder.
        self._holder = f"{machine}{_INCARNATION}{secrets.token_hex(4)}"
        self._fold = LeaseFold()
        self._watches: dict[str, LeaseWatch] = {}
        self._regained_at = float("-inf")
        self._changes = ChangeNotifier()
        self._other: Callable[[object], None] = lambda record: None
        self._follower = LogFollower(
            log, CONTROL_STREAM, self._apply, self._store_reached, _WAIT, _PATIENCE
        )

    @property
    def caught_up(self) -> bool:
        """
        Whether the leases taken before this process began are known.
        """
        return self._follower.caught_up

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read of the leases.
        """
        return self._follower.is_store_reachable

    @property
    def skipped(self) -> int:
        """
        Records of leases that could not be read, a count.
        """
        return self._follower.skipped

    @property
    def regained_at(self) -> float:
        """
        When the store answered again after it had not, monotonic, in seconds.
        """
        return self._regained_at

    @property
    def asked_at(self) -> float:
        """
        When the newest read of the leases began that has ended, whether it was answered
        or not, monotonic, in seconds.
        """
        return self._follower.asked_at

    def on_other(self, fold: Callable[[object], None]) -> None:
        """
        Have the stream's other records folded by a function.
        """
        self._other = fold

    async def sync(self) -> bool:
        """
        Learn all records there are by now; false if the store did not answer.
        """
        return await self._follower.sync()

    async def run(self) -> None:
        """
        Follow the log until cancelled.
        """
        await self._follower.run()

    async def wait(self, timeout: float) -> None:
        """
        Wait for news of any lease, or until the time is up, in seconds.
        """
        await self._changes.wait(CONTROL_STREAM, timeout)

    def get(self, name: str) -> Lease | None:
        """
        Return a lease, or none if nobody ever held it.
        """
        return self._fold.get(name)

    def is_mine(self, name: str) -> bool:
        """
        Whether this process holds a lease, as far as it has read the log.
        """
        lease = self.get(name)
        return lease is not None and not lease.released and lease.holder == self._holder

    def mine(self) -> list[str]:
        """
        Return the leases that this process holds, as far as it has read the log.
        """
        return sorted(name for name in self._fold.leases if self.is_mine(name))

    def may_claim(self, name: str, term: float) -> bool:
        """
        Whether a claim may be appended now.

        At once if an earlier process of this machine holds it: that one is gone, or
        this one would not run, and nobody else may have acted since. So the term need
        not pass, which counts after the loss of all machines.

        :param term: Of the lease, in seconds.
        """
        lease = self.get(name)
        if lease is None or lease.released:
            return True
        machine = lease.holder.rpartition(_INCARNATION)[0]
        if machine == self._machine:
            return lease.holder != self._holder
        watch = self._watches.setdefault(name, LeaseWatch(term))
        return watch.may_claim(lease, boot_time())

    async def claim(self, name: str) -> Lease | None:
        """
        Try to take a lease; return it if the claim stands.
        """
        seen = self.get(name)
        claim = LeaseClaim(
            secrets.token_hex(8), name, self._holder, seen.last_offset if seen else -1
        )
        await self._append([claim])
        # Whatever became of the append, only the log tells whether the claim stands.
        if not await self._follower.sync():
            return None
        lease = self.get(name)
        if lease is None or lease.claim_id != claim.record_id:
            return None
        return lease

    async def renew(self, names: Iterable[str]) -> bool:
        """
        Go on with leases of this process; return whether all renewals count.
        """
        held = [self._fold.leases[name] for name in names]
        renewals = [LeaseRenewal(lease.name, lease.fence) for lease in held]
        outcome = await self._append(renewals)
        if not isinstance(outcome, Appended) or not await self._follower.sync():
            return False
        now = [self._fold.leases[lease.name] for lease in held]
        return all(
            lease.fence == before.fence and lease.last_offset >= outcome.offset
            for before, lease in zip(held, now, strict=True)
        )

    async def release(self, names: Iterable[str]) -> None:
        """
        Give leases of this process up, so that other nodes may take them at once.
        """
        held = [self._fold.leases[name] for name in names]
        await self._append([LeaseRelease(lease.name, lease.fence) for lease in held])

    async def _append(
        self, records: Sequence[LeaseClaim | LeaseRenewal | LeaseRelease]
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        data = [encode_record(record).encode() for record in records]
        return await self._log.append(CONTROL_STREAM, data, _PATIENCE)

    def _apply(self, offset: int, data: bytes) -> None:
        record = decode_record(data)
        self._fold = self._fold.apply(offset, record)
        self._other(record)
        # The wait for a takeover begins when the newest renewal has been read.
        for name, watch in self._watches.items():
            watch.observe(self.get(name), boot_time())
        self._changes.notify(CONTROL_STREAM)

    def _store_reached(self, reached: bool) -> None:
        if reached:
            self._regained_at = boot_time()
