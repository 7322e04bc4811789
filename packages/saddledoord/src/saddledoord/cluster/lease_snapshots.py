# SPDX-License-Identifier: MIT

"""
Writes snapshots of the leases, and asks for them, so that nodes know the leases whose
claims the log has dropped.
"""

from __future__ import annotations

import random

import structlog

from saddledoor.leases import LeaseSnapshot, SnapshotSchedule, SnapshotStep

from .._clock import boot_time
from ..ports import Appended, AppendOutcomeUnknown, NotAppended
from .leases import LeaseLog


__all__ = ["LeaseSnapshotWriter"]

_log = structlog.get_logger()

#: How often the schedule is checked without a change of the leases, in seconds.
_CHECK_INTERVAL = 0.1


class LeaseSnapshotWriter:
    """
    Follows a `SnapshotSchedule`.

    :param retention: Age up to which the log keeps records, in seconds.
    :param longest_term: Longest term of a lease, in seconds.
    """

    def __init__(self, leases: LeaseLog, retention: float, longest_term: float) -> None:
        self._leases = leases
        self._schedule = SnapshotSchedule(
            retention, longest_term, boot_time(), random.uniform
        )
        leases.on_record(self._observe)

    def set_retention(self, retention: float) -> None:
        """
        Change the age up to which the log keeps records, in seconds.
        """
        self._schedule.set_retention(retention)

    async def run(self) -> None:
        """
        Write snapshots and requests until cancelled.
        """
        while True:
            await self._leases.wait(_CHECK_INTERVAL)
            if self._leases.caught_up and self._leases.is_store_reachable:
                await self._check()
            else:
                self._schedule.record_outage(boot_time())

    async def _check(self) -> None:
        leases = self._leases
        step = self._schedule.next_step(
            leases.is_complete, bool(leases.held_lease_names()), boot_time()
        )
        match step:
            case SnapshotStep.REQUEST:
                _log.info("lease_snapshot_requested", offset=leases.next_offset)
                await leases.request_snapshot()
            case SnapshotStep.SNAPSHOT | SnapshotStep.EMPTY_SNAPSHOT:
                self._log_outcome(step, await leases.append_snapshot())
                self._schedule.record_attempt(boot_time())
                # Reads the snapshot, or the records that came between.
                await leases.sync()

    def _observe(self, record: object) -> None:
        is_effective = (
            isinstance(record, LeaseSnapshot)
            and record.folded_to == self._leases.next_offset - 1
        )
        self._schedule.observe(record, is_effective, boot_time())

    def _log_outcome(
        self,
        step: SnapshotStep,
        outcome: Appended | NotAppended | AppendOutcomeUnknown,
    ) -> None:
        is_appended = isinstance(outcome, Appended)
        _log.info(
            "lease_snapshot_written" if is_appended else "lease_snapshot_not_written",
            step=step.value,
            offset=outcome.offset if is_appended else None,
            reason=None if is_appended else outcome.reason,
        )
