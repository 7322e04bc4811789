# SPDX-License-Identifier: MIT

"""
Writes snapshots of the leases, and asks for them, so that nodes know the leases whose
claims the log has dropped.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import structlog

from saddledoor.leases import LeaseSnapshot, SnapshotSchedule, SnapshotStep

from .._clock import boot_time
from ..ports import Appended, AppendOutcomeUnknown, NotAppended


__all__ = ["LeaseHistory", "LeaseSnapshotWriter"]

_log = structlog.get_logger()

#: How often the schedule is checked without a change of the leases, in seconds.
_CHECK_INTERVAL = 0.1


class LeaseHistory(Protocol):
    """
    The stream of lease records, as far as it has been read.
    """

    @property
    def is_complete(self) -> bool:
        """
        Whether the state of all leases is known.
        """

    @property
    def caught_up(self) -> bool:
        """
        Whether all records that were in the log at the start have been read.
        """

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read of the stream.
        """

    @property
    def next_offset(self) -> int:
        """
        Offset after the newest record that was read.
        """

    def on_record(self, apply: Callable[[object], None]) -> None:
        """
        Add a function that is called with each record of the stream.
        """

    def held_lease_names(self) -> list[str]:
        """
        Return the names of the leases that this process holds, as far as the log has
        been read.
        """

    async def wait(self, timeout: float) -> None:
        """
        Wait for a change of any lease.

        :param timeout: Longest wait, in seconds.
        """

    async def sync(self) -> bool:
        """
        Apply all records of the log; return False if the store did not answer.
        """

    async def request_snapshot(self) -> None:
        """
        Ask the nodes that know all leases for a snapshot.
        """

    async def append_snapshot(self) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        Append the state of all leases; if it is not known, a snapshot without leases.
        """


class LeaseSnapshotWriter:
    """
    Follows a `SnapshotSchedule`.

    :param retention: Age up to which the log keeps records, in seconds.
    :param longest_term: Longest term of a lease, in seconds.
    """

    def __init__(
        self, leases: LeaseHistory, retention: float, longest_term: float
    ) -> None:
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
