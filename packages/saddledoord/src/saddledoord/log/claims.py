# SPDX-License-Identifier: MIT

"""
Claims of keys in the log: group commit, verdict by the fold, release.
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

#: How long claims are gathered for one append, in seconds.
_GROUP_WINDOW = 0.002
#: How long the log may wait for a record that it said it took, in seconds.
_READ_WAIT = 0.5
#: Wait between tries to release keys that were given up, in seconds.
_RELEASE_RETRY = 1.0
#: Releases that are kept for later while the log is away, a count.
_MAX_RELEASES = 10_000


@dataclass
class _Waiting:
    claim: KeyClaim
    verdict: asyncio.Future


class _Partition:
    """
    One partition of the claim stream: its fold and the claims that wait for it.
    """

    def __init__(
        self, stream: str, log: LogClient, remember: float, trace: Emit
    ) -> None:
        self._stream = stream
        self._trace = trace
        self._log = log
        self._remember = remember
        self._fold: ClaimFold | None = None
        self._waiting: list[_Waiting] = []
        self._task: asyncio.Task | None = None

    async def claim(self, claim: KeyClaim) -> KeyClaim | None:
        """
        Return the claim that won the key, or none if the log could not be asked.
        """
        waiting = _Waiting(claim, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._commit_all())
        return await waiting.verdict

    async def release(self, record: ClaimRelease) -> None:
        """
        Free a key.

        :raises LogUnavailableError: If it is not known whether the log took it.
        """
        await self._log.append(self._stream, [record])

    async def _commit_all(self) -> None:
        while self._waiting:
            await asyncio.sleep(_GROUP_WINDOW)
            batch, self._waiting = self._waiting, []
            await self._commit(batch)

    async def _commit(self, batch: list[_Waiting]) -> None:
        claims = tuple(waiting.claim for waiting in batch)
        try:
            offset = await self._log.append(self._stream, [ClaimBatch(claims)])
        except LogUnavailableError:
            # It may stand in the log all the same: only reading on tells.
            offset = -1
        try:
            await self._catch_up(offset)
        except LogUnavailableError:
            for waiting in batch:
                _resolve(waiting, None)
            return
        for waiting in batch:
            owner = self._fold.owner(waiting.claim.key)
            if owner is not None:
                self._trace(ClaimDecided(self._stream, owner.key, owner.claim_id))
            _resolve(waiting, owner)

    async def _catch_up(self, offset: int) -> None:
        wait = 0.0
        while True:
            start = self._fold.next_offset if self._fold else 0
            page = await self._log.read(self._stream, start, wait)
            self._take(page)
            reached = self._fold.next_offset > offset
            if reached and (offset >= 0 or not page.records):
                return
            # A log whose reads lag behind its appends is not asked in a tight loop.
            wait = 0.0 if page.records else _READ_WAIT

    def _take(self, page: LogPage) -> None:
        if self._fold is None or page.first > self._fold.next_offset:
            self._fold = ClaimFold(self._remember, page.first)
        for entry in page.records:
            if entry.record is not None:
                data = encode_record(entry.record)
                self._trace(
                    RecordFolded(self._stream, entry.offset, entry.at, data, page.first)
                )
            self._fold.apply(entry.offset, entry.at, entry.record)


def _resolve(waiting: _Waiting, owner: KeyClaim | None) -> None:
    if not waiting.verdict.done():
        waiting.verdict.set_result(owner)


class ClaimLog:
    """
    All partitions, and the releases that wait for the log.
    """

    def __init__(self, log: LogClient, state: NodeState, metrics: Metrics) -> None:
        self._log = log
        self._state = state
        self._metrics = metrics
        self._partitions: dict[int, _Partition] = {}
        self._releases: dict[str, tuple[int, ClaimRelease]] = {}

    async def claim(self, partition: int, claim: KeyClaim) -> KeyClaim | None:
        """
        Return who owns the key now, or none if the log could not be asked.

        An undecided claim may still stand in the log. Only its owner, once it has
        decided not to act on it, may release it: this node may be a mere writer.
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
        Free a key as soon as the log takes it.
        """
        if len(self._releases) < _MAX_RELEASES:
            self._releases[record.claim_id] = (partition, record)

    async def release(self, partition: int, record: ClaimRelease) -> None:
        """
        Free a key now, or later if the log is away.
        """
        try:
            await self._partition(partition).release(record)
        except LogUnavailableError:
            self.release_later(partition, record)

    async def run_releases(self) -> None:
        """
        Free what was given up, until cancelled.
        """
        while True:
            await asyncio.sleep(_RELEASE_RETRY)
            for claim_id, (partition, record) in list(self._releases.items()):
                try:
                    await self._partition(partition).release(record)
                except LogUnavailableError:
                    break
                self._releases.pop(claim_id, None)

    def _partition(self, number: int) -> _Partition:
        if number not in self._partitions:
            deployment = self._state.deployment
            remember = deployment.limits.claim_remember_s
            stream = f"claims-{number}"
            self._partitions[number] = _Partition(
                stream, self._log, remember, self._state.trace
            )
        return self._partitions[number]
