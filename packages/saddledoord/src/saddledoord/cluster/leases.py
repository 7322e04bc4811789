# SPDX-License-Identifier: MIT

"""
Claims, renews and releases the gateway's leases in the log.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Sequence

import structlog

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
from saddledoor.leases import LeaseSnapshot, LeaseSnapshotRequest

from .._clock import boot_time
from ..ports import Appended, AppendOutcomeUnknown, NotAppended, SharedLog
from .change_notifier import ChangeNotifier
from .follow import LogFollower


__all__ = ["LeaseLog"]

_log = structlog.get_logger()

_LeaseRecord = (
    LeaseClaim | LeaseRenewal | LeaseRelease | LeaseSnapshot | LeaseSnapshotRequest
)

#: The log stream of leases and of engine crashes.
CONTROL_STREAM = "control"
#: Separates the node's name from the process's token in a holder's name.
_PROCESS_SEPARATOR = "#"
#: How long a read of the stream waits for new records, in seconds. An available store
#: answers at least this often, so that an outage is noticed soon.
_READ_WAIT = 0.2
#: Longest wait for an answer of the store, in seconds; for a read, beyond its own wait.
#: A store that is slowed down 60 times takes 0.24 s, and after a lost answer only the
#: log shows what became of an append.
_ANSWER_TIMEOUT = 0.5


class LeaseLog:
    """
    Follows all leases and manages those of this process.

    :param node: Unique name of this VM.
    """

    def __init__(self, log: SharedLog, node: str) -> None:
        self._log = log
        self._node = node
        # Each process of a VM is a different holder.
        self._holder = f"{node}{_PROCESS_SEPARATOR}{secrets.token_hex(4)}"
        self._fold = LeaseFold()
        self._watches: dict[str, LeaseWatch] = {}
        self._regained_at = float("-inf")
        self._changes = ChangeNotifier()
        self._observers: list[Callable[[object], None]] = []
        self._follower = LogFollower(
            log,
            CONTROL_STREAM,
            self._apply,
            self._on_store_reachable,
            _READ_WAIT,
            _ANSWER_TIMEOUT,
            on_truncated=self._restart,
        )

    @property
    def is_complete(self) -> bool:
        """
        Whether the state of all leases is known: the log has been read, and if it had
        dropped records that were not read, a snapshot was read since. Until then no
        lease is held, and none may be claimed.
        """
        return self.caught_up and self._fold.is_complete

    @property
    def next_offset(self) -> int:
        """
        Offset after the newest record that was read.
        """
        return self._follower.next_offset

    @property
    def caught_up(self) -> bool:
        """
        Whether all records that were in the log at the start have been read.
        """
        return self._follower.caught_up

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read of the stream.
        """
        return self._follower.is_store_reachable

    @property
    def skipped(self) -> int:
        """
        Number of records that could not be decoded.
        """
        return self._follower.skipped

    @property
    def regained_at(self) -> float:
        """
        When the last outage of the store ended, monotonic, in seconds.
        """
        return self._regained_at

    @property
    def last_read_at(self) -> float:
        """
        Start of the newest read that has ended, answered or not, monotonic, in
        seconds.
        """
        return self._follower.last_read_at

    def on_record(self, apply: Callable[[object], None]) -> None:
        """
        Add a function that is called with each record of the stream.
        """
        self._observers.append(apply)

    async def sync(self) -> bool:
        """
        Apply all records of the log; return False if the store did not answer.
        """
        return await self._follower.sync()

    async def run(self) -> None:
        """
        Follow the log until cancelled.
        """
        await self._follower.run()

    async def wait(self, timeout: float) -> None:
        """
        Wait for a change of any lease.

        :param timeout: Longest wait, in seconds.
        """
        await self._changes.wait(CONTROL_STREAM, timeout)

    def get(self, name: str) -> Lease | None:
        """
        Return a lease, or None if it was never claimed.
        """
        return self._fold.get(name)

    def is_mine(self, name: str) -> bool:
        """
        Whether this process holds a lease, as far as the log has been read.
        """
        lease = self.get(name)
        return lease is not None and not lease.released and lease.holder == self._holder

    def held_lease_names(self) -> list[str]:
        """
        Return the names of the leases that this process holds, as far as the log has
        been read.
        """
        return sorted(name for name in self._fold.leases if self.is_mine(name))

    def may_claim(self, name: str, term: float) -> bool:
        """
        Whether a claim may be appended now.

        A lease of an earlier process of this VM may be claimed before its term has
        passed, since that process has ended.

        :param term: Term of the lease, in seconds.
        """
        if not self.is_complete:
            return False
        lease = self.get(name)
        if lease is None or lease.released:
            return True
        node = lease.holder.rpartition(_PROCESS_SEPARATOR)[0]
        if node == self._node:
            return lease.holder != self._holder
        watch = self._watches.setdefault(name, LeaseWatch(term))
        return watch.may_claim(lease, boot_time())

    async def claim(self, name: str) -> Lease | None:
        """
        Try to claim a lease; return it if the claim succeeded.
        """
        if not self.caught_up:
            await self._follower.sync()
        if not self.is_complete:
            return None
        seen = self.get(name)
        claim = LeaseClaim(
            secrets.token_hex(8), name, self._holder, seen.last_offset if seen else -1
        )
        await self._append([claim])
        # Only the log shows whether the claim succeeded, whatever the append returned.
        if not await self._follower.sync():
            return None
        lease = self.get(name)
        if lease is None or lease.claim_id != claim.record_id:
            return None
        return lease

    async def renew(self, names: Iterable[str]) -> bool:
        """
        Renew leases of this process; return whether all renewals took effect.
        """
        held = [self._fold.leases[name] for name in names]
        renewals = [LeaseRenewal(lease.name, lease.fence) for lease in held]
        outcome = await self._append(renewals)
        if not isinstance(outcome, Appended) or not await self._follower.sync():
            return False
        renewed = [self.get(lease.name) for lease in held]
        return all(
            lease is not None
            and lease.fence == before.fence
            and lease.last_offset >= outcome.offset
            for before, lease in zip(held, renewed, strict=True)
        )

    async def release(self, names: Iterable[str]) -> None:
        """
        Release leases of this process, so that other nodes may claim them at once.
        """
        held = [self._fold.leases[name] for name in names]
        await self._append([LeaseRelease(lease.name, lease.fence) for lease in held])

    async def request_snapshot(self) -> None:
        """
        Ask the nodes that know all leases for a snapshot.
        """
        await self._append([LeaseSnapshotRequest(self._node)])

    async def append_snapshot(self) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        Append the state of all leases, unless there are records that were not read; if
        the state is not known, a snapshot without leases.
        """
        end = self.next_offset
        return await self._append([self._fold.snapshot(end)], expected_end=end)

    async def _append(
        self, records: Sequence[_LeaseRecord], expected_end: int | None = None
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        data = [encode_record(record).encode() for record in records]
        return await self._log.append(
            CONTROL_STREAM, data, _ANSWER_TIMEOUT, expected_end
        )

    def _restart(self, first: int) -> None:
        """
        Forget the leases: the log has dropped records that were not read.
        """
        self._fold = LeaseFold.starting_at(first)
        _log.warning("lease_history_incomplete", first=first)
        self._observe_watches()
        self._changes.notify(CONTROL_STREAM)

    def _apply(self, offset: int, data: bytes) -> None:
        record = decode_record(data)
        was_complete = self._fold.is_complete
        self._fold = self._fold.apply(offset, record)
        if self._fold.is_complete and not was_complete:
            _log.info("lease_snapshot_read", offset=offset, leases=len(record.leases))
        for observer in self._observers:
            observer(record)
        # The term starts when the newest renewal has been read.
        self._observe_watches()
        self._changes.notify(CONTROL_STREAM)

    def _observe_watches(self) -> None:
        for name, watch in self._watches.items():
            watch.observe(self.get(name), boot_time())

    def _on_store_reachable(self, is_store_reachable: bool) -> None:
        if is_store_reachable:
            self._regained_at = boot_time()
