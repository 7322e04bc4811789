# SPDX-License-Identifier: MIT

"""
Leases in the log: claim, renewal, release and takeover.

The order of records in the log decides who holds a lease. Clocks only decide when a
node may claim a lease and when a holder must stop acting. The fencing number is the
offset of the claim.
Source: the lease and fencing token of Gray and Cheriton (1989) and of the usual
lock-service literature.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ._records import Record
from .leases import Lease, LeaseClaim, LeaseRelease, LeaseRenewal, LeaseSnapshot


__all__ = ["HeldLease", "Lease", "LeaseFold", "LeaseWatch", "TAKEOVER_FACTOR"]

#: Wait before a takeover, as a multiple of the term; covers clock rate differences.
TAKEOVER_FACTOR = 1.1


@dataclass(frozen=True)
class LeaseFold:
    """
    All leases, folded from the log.

    A fold whose history is incomplete, since the log had dropped the oldest records,
    does not know who holds a lease. It has no leases until it reads a snapshot.

    :param is_complete: Whether the state takes all earlier records into account.
    """

    next_offset: int = 0
    leases: dict[str, Lease] = field(default_factory=dict)
    is_complete: bool = True

    @classmethod
    def starting_at(cls, first: int) -> LeaseFold:
        """
        Return the fold of a reader whose oldest record is at an offset.
        """
        return cls(next_offset=first, is_complete=first == 0)

    def apply(self, offset: int, record: Record) -> LeaseFold:
        """
        Fold one record; one that was folded before has no effect.
        """
        if offset < self.next_offset:
            return self
        advanced = replace(self, next_offset=offset + 1)
        if isinstance(record, LeaseSnapshot):
            return _apply_snapshot(advanced, offset, record)
        if not self.is_complete:
            return advanced
        match record:
            case LeaseClaim():
                return _with_lease(
                    advanced, _apply_claim(self.leases.get(record.name), offset, record)
                )
            case LeaseRenewal():
                return _with_lease(
                    advanced,
                    _apply_renewal(self.leases.get(record.name), offset, record),
                )
            case LeaseRelease():
                return _with_lease(
                    advanced, _apply_release(self.leases.get(record.name), record)
                )
            case _:
                return advanced

    def get(self, name: str) -> Lease | None:
        return self.leases.get(name)

    def snapshot(self, end: int) -> LeaseSnapshot:
        """
        Return a record of the state.

        :param end: Offset of the end of the stream, to which all records are folded.
        """
        return LeaseSnapshot(end, tuple(self.leases.values()))


def _apply_snapshot(state: LeaseFold, offset: int, record: LeaseSnapshot) -> LeaseFold:
    # At any other offset there are records that the snapshot does not include. Complete
    # folds take it too, so that all readers have the same state after it.
    if offset != record.folded_to:
        return state
    leases = {lease.name: lease for lease in record.leases}
    return replace(state, leases=leases, is_complete=True)


def _with_lease(state: LeaseFold, lease: Lease | None) -> LeaseFold:
    if lease is None:
        return state
    return replace(state, leases={**state.leases, lease.name: lease})


def _apply_claim(lease: Lease | None, offset: int, record: LeaseClaim) -> Lease | None:
    claimed = Lease(
        record.name, record.holder, offset, offset, claim_id=record.record_id
    )
    if lease is None or lease.released:
        # A repeated append of the same claim must not acquire the lease again.
        if lease is not None and lease.claim_id == record.record_id:
            return None
        return claimed
    # The claim is void if the claimant had not read the newest renewal.
    return claimed if record.seen == lease.last_offset else None


def _apply_renewal(
    lease: Lease | None, offset: int, record: LeaseRenewal
) -> Lease | None:
    if lease is None or lease.released or lease.fence != record.fence:
        return None
    return replace(lease, last_offset=offset)


def _apply_release(lease: Lease | None, record: LeaseRelease) -> Lease | None:
    if lease is None or lease.fence != record.fence:
        return None
    return replace(lease, released=True)


@dataclass
class LeaseWatch:
    """
    Decides when this node may claim a lease that another node holds.

    :param term: Term of the lease, in seconds.
    """

    term: float
    _seen_offset: int = -1
    _seen_at: float = 0.0

    def observe(self, lease: Lease | None, now: float) -> None:
        """
        Record the newest renewal.

        The wait before a takeover starts when this node has *read* the renewal.

        :param now: Monotonic time that includes suspension of the VM, in seconds.
        """
        last_offset = lease.last_offset if lease else -1
        if last_offset != self._seen_offset:
            self._seen_offset = last_offset
            self._seen_at = now

    def may_claim(self, lease: Lease | None, now: float) -> bool:
        """
        Return whether a claim may be appended now.
        """
        self.observe(lease, now)
        if lease is None or lease.released:
            return True
        return now - self._seen_at >= self.term * TAKEOVER_FACTOR


@dataclass(frozen=True)
class HeldLease:
    """
    A lease from the view of its holder.

    :param deadline: Monotonic time after which the holder must not act, in seconds:
        one term after the *start* of the newest effective append.
    """

    name: str
    fence: int
    deadline: float

    def may_act(self, now: float, margin: float = 0.0) -> bool:
        """
        Return whether an action that takes up to ``margin`` seconds may start now.
        """
        return now + margin < self.deadline
