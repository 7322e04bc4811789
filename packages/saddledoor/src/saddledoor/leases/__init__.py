# SPDX-License-Identifier: MIT

"""
Records of leases, and when snapshots of them are written.
"""

from __future__ import annotations

from ._records import (
    Lease,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseSnapshot,
    LeaseSnapshotRequest,
)
from ._snapshot_schedule import SnapshotSchedule, SnapshotStep


__all__ = [
    "Lease",
    "LeaseClaim",
    "LeaseRelease",
    "LeaseRenewal",
    "LeaseSnapshot",
    "LeaseSnapshotRequest",
    "SnapshotSchedule",
    "SnapshotStep",
]
