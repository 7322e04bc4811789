# SPDX-License-Identifier: MIT

"""
Leases in the log: claim, renewal, release and takeover.

The log's order decides who holds a lease; clocks only decide when a taker may try
and when a holder must stop acting. The fencing number is the claim's offset.
Source: the lease and fencing token of Gray and Cheriton (1989) and of the usual
lock-service literature.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ._records import LeaseClaim, LeaseRelease, LeaseRenewal, Record


__all__ = ["HeldLease", "Lease", "LeaseFold", "LeaseWatch", "TAKEOVER_FACTOR"]

#: A taker waits this much longer than the term, for clocks that run unevenly.
TAKEOVER_FACTOR = 1.1


@dataclass(frozen=True)
class Lease:
    """
    Who holds a lease, as the log says.

    :param fence: Offset of the holder's claim.
    :param last_offset: Offset of the newest claim or renewal that counted.
    """

    name: str
    holder: str
    fence: int
    last_offset: int
    released: bool = False
    claim_id: str = ""


@dataclass(frozen=True)
class LeaseFold:
    """
    All leases, folded from the log.
    """

    next_offset: int = 0
    leases: dict[str, Lease] = field(default_factory=dict)

    def apply(self, offset: int, record: Record) -> LeaseFold:
        """
        Fold one record; a record that was folded before changes nothing.
        """
        if offset < self.next_offset:
            return self
        moved = replace(self, next_offset=offset + 1)
        match record:
            case LeaseClaim():
                return _with(
                    moved, _claim(self.leases.get(record.name), offset, record)
                )
            case LeaseRenewal():
                return _with(
                    moved, _renew(self.leases.get(record.name), offset, record)
                )
            case LeaseRelease():
                return _with(moved, _release(self.leases.get(record.name), record))
            case _:
                return moved

    def get(self, name: str) -> Lease | None:
        return self.leases.get(name)


def _with(state: LeaseFold, lease: Lease | None) -> LeaseFold:
    if lease is None:
        return state
    return replace(state, leases={**state.leases, lease.name: lease})


def _claim(lease: Lease | None, offset: int, record: LeaseClaim) -> Lease | None:
    taken = Lease(record.name, record.holder, offset, offset, claim_id=record.record_id)
    if lease is None or lease.released:
        # A repeat of a claim whose answer was lost must not take the lease again.
        if lease is not None and lease.claim_id == record.record_id:
            return None
        return taken
    # Void if a renewal stands between what the taker saw and its claim.
    return taken if record.seen == lease.last_offset else None


def _renew(lease: Lease | None, offset: int, record: LeaseRenewal) -> Lease | None:
    if lease is None or lease.released or lease.fence != record.fence:
        return None
    return replace(lease, last_offset=offset)


def _release(lease: Lease | None, record: LeaseRelease) -> Lease | None:
    if lease is None or lease.fence != record.fence:
        return None
    return replace(lease, released=True)


@dataclass
class LeaseWatch:
    """
    When this node may try to take a lease that another one holds.

    :param term: The lease's term, in seconds.
    """

    term: float
    _seen: int = -1
    _since: float = 0.0

    def observe(self, lease: Lease | None, now: float) -> None:
        """
        Note the newest renewal; the wait begins when this node has *read* it.

        :param now: Monotonic time that goes on while the VM is suspended, in seconds.
        """
        last = lease.last_offset if lease else -1
        if last != self._seen:
            self._seen = last
            self._since = now

    def may_claim(self, lease: Lease | None, now: float) -> bool:
        """
        Tell whether a claim may be appended now.
        """
        self.observe(lease, now)
        if lease is None or lease.released:
            return True
        return now - self._since >= self.term * TAKEOVER_FACTOR


@dataclass(frozen=True)
class HeldLease:
    """
    A lease as its holder sees it.

    :param deadline: Time after which the holder must not act, in seconds: the term
        counted from *before* the append that last counted.
    """

    name: str
    fence: int
    deadline: float

    def may_act(self, now: float, margin: float = 0.0) -> bool:
        """
        Tell whether an action that takes up to ``margin`` seconds may begin now.
        """
        return now + margin < self.deadline
