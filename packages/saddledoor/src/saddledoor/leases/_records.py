# SPDX-License-Identifier: MIT

"""
Records of leases, and the state of a lease, which a snapshot holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


__all__ = [
    "Lease",
    "LeaseClaim",
    "LeaseRelease",
    "LeaseRenewal",
    "LeaseSnapshot",
    "LeaseSnapshotRequest",
]


@dataclass(frozen=True)
class Lease:
    """
    State of a lease according to the log.

    :param fence: Offset of the holder's claim.
    :param last_offset: Offset of the newest effective claim or renewal.
    :param claim_id: Identifier of the holder's claim.
    """

    name: str
    holder: str
    fence: int
    last_offset: int
    released: bool = False
    claim_id: str = ""


@dataclass(frozen=True)
class LeaseClaim:
    """
    An attempt to acquire a lease.

    :param record_id: Identifier of the claim, the same in a repeated append.
    :param seen: Offset of the newest claim or renewal that the claimant had read; -1
        for none.
    """

    record_id: str
    name: str
    holder: str
    seen: int
    kind: Literal["lease_claim"] = "lease_claim"


@dataclass(frozen=True)
class LeaseRenewal:
    """
    Extends the lease for the holder with this fencing number.
    """

    name: str
    fence: int
    kind: Literal["lease_renewal"] = "lease_renewal"


@dataclass(frozen=True)
class LeaseRelease:
    """
    Ends the lease of the holder with this fencing number.
    """

    name: str
    fence: int
    kind: Literal["lease_release"] = "lease_release"


@dataclass(frozen=True)
class LeaseSnapshot:
    """
    State of all leases, for readers of a log that dropped old records.

    It is appended on the condition that the stream ends at ``folded_to``. A snapshot at
    another offset does not include all records before it, and has no effect.

    :param folded_to: Offset of the first record that the state does not include.
    """

    folded_to: int
    leases: tuple[Lease, ...]
    kind: Literal["lease_snapshot"] = "lease_snapshot"


@dataclass(frozen=True)
class LeaseSnapshotRequest:
    """
    Asks the nodes that know all leases for a snapshot.

    :param node: Name of the node that asks.
    """

    node: str
    kind: Literal["lease_snapshot_request"] = "lease_snapshot_request"
