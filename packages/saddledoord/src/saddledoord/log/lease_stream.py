# SPDX-License-Identifier: MIT

"""
Follows the lease stream of the log, and appends snapshots of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from saddledoor import LeaseFold, Record
from saddledoor.leases import LeaseSnapshotRequest

from .._state import NodeState
from ..ports import Appended, AppendOutcomeUnknown, NotAppended
from .client import LogClient, LogUnavailableError
from .follower import StreamFollower


__all__ = ["CONTROL_STREAM", "LeaseStream"]

#: The stream of lease records.
CONTROL_STREAM = "control"

_log = structlog.get_logger()


class LeaseStream:
    """
    Folds all leases into the state of this VM.
    """

    @property
    def is_complete(self) -> bool:
        """
        Whether the state of all leases is known: the log has been read, and if it had
        dropped records that were not read, a snapshot was read since. Until then no
        lease may be claimed.
        """
        return self.caught_up and self._state.lease_fold.is_complete

    @property
    def caught_up(self) -> bool:
        """
        Whether all records that were in the stream at the start have been read.
        """
        return self._follower.caught_up

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the log answered the newest read of the stream.
        """
        return self._follower.is_reachable

    @property
    def next_offset(self) -> int:
        """
        Offset after the newest record that was read.
        """
        return self._follower.next_offset

    def __init__(self, log: LogClient, state: NodeState) -> None:
        self._log = log
        self._state = state
        self._observers: list[Callable[[object], None]] = []
        self._changed = asyncio.Event()
        self._follower = StreamFollower(
            log,
            state,
            CONTROL_STREAM,
            self._restart,
            self._apply,
            state.settings.timings.control_pause,
        )

    def on_record(self, apply: Callable[[object], None]) -> None:
        """
        Add a function that is called with each record of the stream.
        """
        self._observers.append(apply)

    def held_lease_names(self) -> list[str]:
        """
        Return the names of the leases that this process holds, as far as the log has
        been read.
        """
        return sorted(
            lease.name
            for lease in self._state.lease_fold.leases.values()
            if lease.holder == self._state.owner and not lease.released
        )

    async def run(self) -> None:
        """
        Follow the stream until cancelled.
        """
        await self._follower.run()

    async def wait(self, timeout: float) -> None:
        """
        Wait for a record, or for the state to become unknown.

        :param timeout: Longest wait, in seconds.
        """
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def catch_up(self) -> None:
        """
        Read all records of the stream.

        :raises LogUnavailableError: If the log gave no answer.
        """
        await self._follower.catch_up()

    async def sync(self) -> bool:
        """
        Read all records of the stream; return False if the log did not answer.
        """
        try:
            await self._follower.catch_up()
        except LogUnavailableError:
            return False
        return True

    async def request_snapshot(self) -> None:
        """
        Ask the VMs that know all leases for a snapshot.
        """
        request = LeaseSnapshotRequest(self._state.settings.vm)
        try:
            await self._log.append(CONTROL_STREAM, [request])
        except LogUnavailableError as error:
            _log.warning("lease_snapshot_not_requested", reason=str(error))

    async def append_snapshot(self) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        Append the state of all leases; if it is not known, a snapshot without leases.

        The log has no append on a condition. A snapshot that follows records which it
        does not include has no effect (`LeaseFold`), and counts as not appended.
        """
        if self.is_complete:
            # The follower lags by its pause.
            if not await self.sync():
                return NotAppended("the log is unavailable")
            if not self.is_complete:
                return NotAppended("the log dropped records meanwhile")
        # A snapshot without leases has no effect if there are unread records, which may
        # be of a holder.
        end = self.next_offset
        snapshot = self._state.lease_fold.snapshot(end)
        try:
            offset = await self._log.append(CONTROL_STREAM, [snapshot])
        except LogUnavailableError as error:
            return AppendOutcomeUnknown(str(error))
        if offset != end:
            return NotAppended("records of other VMs came first")
        return Appended(offset)

    def _restart(self, first: int) -> None:
        """
        Forget the leases: nothing was read yet, or the log has dropped records that
        were not read.
        """
        self._state.lease_fold = LeaseFold.starting_at(first)
        if first > 0:
            _log.warning("lease_history_incomplete", first=first)
        self._changed.set()

    def _apply(self, offset: int, record: Record | None) -> None:
        if record is None:
            return
        was_complete = self._state.lease_fold.is_complete
        self._state.lease_fold = self._state.lease_fold.apply(offset, record)
        if self._state.lease_fold.is_complete and not was_complete:
            leases = len(self._state.lease_fold.leases)
            _log.info("lease_snapshot_read", offset=offset, leases=leases)
        for observer in self._observers:
            observer(record)
        self._state.observe_leases()
        self._changed.set()
