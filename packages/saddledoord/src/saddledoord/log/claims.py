# SPDX-License-Identifier: MIT

"""
Claims keys in the log by group commit, and releases them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from saddledoor import (
    ClaimBatch,
    ClaimFold,
    ClaimRelease,
    KeyClaim,
    encode_record,
)
from saddledoor.tracing import ClaimDecided, RecordFolded

from .._state import NodeState
from ..observability.daemon_metrics import Metrics
from ..observability.tracing import Emit
from .client import LogClient, LogPage, LogUnavailableError


__all__ = ["ClaimLog"]

#: How long claims are collected for one append, in seconds.
_GROUP_WINDOW = 0.002
#: How long a read waits at the log for a record that was appended, in seconds.
_READ_WAIT = 0.5
#: Pause between attempts to append pending releases, in seconds.
_RELEASE_RETRY_PAUSE = 1.0
#: Largest number of releases that wait for the log.
_MAX_PENDING_RELEASES = 10_000


@dataclass
class _PendingClaim:
    claim: KeyClaim
    owner: asyncio.Future


class _Partition:
    """
    One partition of the claim stream, with its fold and its pending claims.
    """

    def __init__(
        self, stream: str, log: LogClient, retention: float, trace: Emit
    ) -> None:
        self._stream = stream
        self._trace = trace
        self._log = log
        self._retention = retention
        self._fold: ClaimFold | None = None
        self._pending: list[_PendingClaim] = []
        self._task: asyncio.Task | None = None

    async def claim(self, claim: KeyClaim) -> KeyClaim | None:
        """
        Return the claim that owns the key, or None if the log did not answer.
        """
        pending = _PendingClaim(claim, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._commit_all())
        return await pending.owner

    async def release(self, record: ClaimRelease) -> None:
        """
        Release a key.

        :raises LogUnavailableError: If the log gave no usable answer; the release may
            still have taken effect.
        """
        await self._log.append(self._stream, [record])

    async def _commit_all(self) -> None:
        while self._pending:
            await asyncio.sleep(_GROUP_WINDOW)
            batch, self._pending = self._pending, []
            await self._commit(batch)

    async def _commit(self, batch: list[_PendingClaim]) -> None:
        claims = tuple(pending.claim for pending in batch)
        try:
            offset = await self._log.append(self._stream, [ClaimBatch(claims)])
        except LogUnavailableError:
            # The append may still have succeeded; only a read of the log shows it.
            offset = -1
        try:
            await self._catch_up(offset)
        except LogUnavailableError:
            for pending in batch:
                _resolve(pending, None)
            return
        for pending in batch:
            owner = self._fold.owner(pending.claim.key)
            if owner is not None:
                self._trace(ClaimDecided(self._stream, owner.key, owner.claim_id))
            _resolve(pending, owner)

    async def _catch_up(self, offset: int) -> None:
        """
        Read up to the record at an offset; if it is -1, to the end of the stream.
        """
        wait = 0.0
        while True:
            start = self._fold.next_offset if self._fold else 0
            page = await self._log.read(self._stream, start, wait)
            self._apply_page(page)
            reached = self._fold.next_offset > offset
            if reached and (offset >= 0 or not page.records):
                return
            # Avoids a busy loop if reads of the log lag behind its appends.
            wait = 0.0 if page.records else _READ_WAIT

    def _apply_page(self, page: LogPage) -> None:
        if self._fold is None or page.first > self._fold.next_offset:
            self._fold = ClaimFold(self._retention, page.first)
        for entry in page.records:
            if entry.record is not None:
                data = encode_record(entry.record)
                self._trace(
                    RecordFolded(self._stream, entry.offset, entry.at, data, page.first)
                )
            self._fold.apply(entry.offset, entry.at, entry.record)


def _resolve(pending: _PendingClaim, owner: KeyClaim | None) -> None:
    if not pending.owner.done():
        pending.owner.set_result(owner)


class ClaimLog:
    """
    Claims keys in all partitions, and retries releases while the log is unavailable.
    """

    def __init__(self, log: LogClient, state: NodeState, metrics: Metrics) -> None:
        self._log = log
        self._state = state
        self._metrics = metrics
        self._partitions: dict[int, _Partition] = {}
        self._pending_releases: dict[str, tuple[int, ClaimRelease]] = {}

    async def claim(self, partition: int, claim: KeyClaim) -> KeyClaim | None:
        """
        Return the claim that owns the key, or None if the log did not answer.

        In that case the claim may still take effect. Only its owner may release it,
        since this VM may have appended it for another VM.
        """
        owner = await self._partition(partition).claim(claim)
        if owner is None:
            verdict = "undecided"
        else:
            verdict = "won" if owner.claim_id == claim.claim_id else "lost"
        self._metrics.claims.add(1, {"verdict": verdict})
        return owner

    def release_later(self, partition: int, record: ClaimRelease) -> None:
        """
        Release a key once the log is available.

        Does nothing if `_MAX_PENDING_RELEASES` releases are pending.
        """
        if len(self._pending_releases) < _MAX_PENDING_RELEASES:
            self._pending_releases[record.claim_id] = (partition, record)

    async def release(self, partition: int, record: ClaimRelease) -> None:
        """
        Release a key now, or later if the log is unavailable.
        """
        try:
            await self._partition(partition).release(record)
        except LogUnavailableError:
            self.release_later(partition, record)

    async def run_releases(self) -> None:
        """
        Append pending releases until cancelled.
        """
        while True:
            await asyncio.sleep(_RELEASE_RETRY_PAUSE)
            for claim_id, (partition, record) in list(self._pending_releases.items()):
                try:
                    await self._partition(partition).release(record)
                except LogUnavailableError:
                    break
                self._pending_releases.pop(claim_id, None)

    def _partition(self, number: int) -> _Partition:
        if number not in self._partitions:
            deployment = self._state.deployment
            retention = deployment.limits.claim_remember_s
            stream = f"claims-{number}"
            self._partitions[number] = _Partition(
                stream, self._log, retention, self._state.trace
            )
        return self._partitions[number]
