# SPDX-License-Identifier: MIT

"""
Claims in the log that allow this node to start requests that may crash engines.
"""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass

import structlog

from saddledoor import StartClaimed, StartClaimFold, encode_record

from .._clock import boot_time
from ..cluster.leases import CONTROL_STREAM, LeaseLog
from ..ports import SharedLog


__all__ = ["StartClaims"]

_log = structlog.get_logger()

#: How long claims are collected for one append, in seconds; longer than crash reports,
#: so that those of crashes at the same time are read first.
_BATCH_DELAY = 0.025
#: Largest number of claims in one append.
_MAX_CLAIMS_PER_APPEND = 32
#: Longest wait for the answer to an append, in seconds.
_ANSWER_TIMEOUT = 0.5
#: Time after which a wait that nobody asks about has ended, in seconds.
_FORGET_AFTER = 5.0


@dataclass
class _Wait:
    """
    A request that waits for a claim.

    :param since: When it was asked for first, monotonic, in seconds.
    :param asked_at: When it was asked for last, monotonic, in seconds.
    """

    since: float
    asked_at: float


@dataclass(frozen=True)
class _Own:
    """
    The newest claim of this node for a request.

    :param appended_at: Time before its append, monotonic, in seconds.
    """

    claim_id: str
    appended_at: float


class StartClaims:
    """
    Appends claims, and tells whether this node may start a request.
    """

    def __init__(self, leases: LeaseLog, log: SharedLog) -> None:
        self._leases = leases
        self._log = log
        self._fold = StartClaimFold()
        self._own: dict[str, _Own] = {}
        self._waits: dict[str, _Wait] = {}
        self._pending: set[str] = set()
        self._has_pending = asyncio.Event()

    def apply(self, record: object) -> None:
        """
        Fold one record of the control stream.
        """
        self._fold.apply(record, boot_time())

    def may_start(self, key: str, patience: float | None) -> bool:
        """
        Return whether this node may start a request now; if not, ask for a claim.

        :param patience: Longest wait for a claim while no other node has one, in
            seconds, after which the request starts without; None for no limit. A store
            that does not answer is not waited for, unless there is no limit.
        """
        now = boot_time()
        if self._holds(key, now):
            return True
        if self._is_excluded(key, now):
            return False
        wait = self._wait_of(key, now)
        if patience is not None and (
            not self._leases.is_store_reachable or now - wait.since > patience
        ):
            return True
        if key not in self._pending:
            self._pending.add(key)
            self._has_pending.set()
        return False

    def record_start(self, key: str) -> None:
        """
        Record that this node starts a request; the next start waits anew.
        """
        self._waits.pop(key, None)

    async def run(self) -> None:
        """
        Append the claims that are asked for, until cancelled.
        """
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(_BATCH_DELAY)
            self._has_pending.clear()
            keys = sorted(self._pending)[:_MAX_CLAIMS_PER_APPEND]
            try:
                await self._claim(keys)
            finally:
                self._pending.difference_update(keys)
            if self._pending:
                self._has_pending.set()

    async def _claim(self, keys: list[str]) -> None:
        now = boot_time()
        # A claim of another node may have been read since this one was asked for.
        claims = [
            StartClaimed(key, secrets.token_hex(4), self._fold.newest(key))
            for key in keys
            if not self._is_excluded(key, now)
        ]
        if not claims:
            return
        for claim in claims:
            self._own[claim.request] = _Own(claim.claim_id, now)
        records = [encode_record(claim).encode() for claim in claims]
        outcome = await self._log.append(CONTROL_STREAM, records, _ANSWER_TIMEOUT)
        # Only the log shows which claims count, whatever the append returned.
        is_synced = await self._leases.sync()
        if not is_synced:
            _log.info("start_claims_not_read", requests=keys, append=str(outcome))
            await asyncio.sleep(_ANSWER_TIMEOUT)
        self._forget_old()

    def _holds(self, key: str, now: float) -> bool:
        """
        Whether the newest claim of a request is a recent one of this node.
        """
        own = self._own.get(key)
        return (
            own is not None
            and own.claim_id == self._fold.newest(key)
            and now <= own.appended_at + self._fold.start_within
        )

    def _is_excluded(self, key: str, now: float) -> bool:
        """
        Whether another node may start a request now.
        """
        own = self._own.get(key)
        if own is not None and own.claim_id == self._fold.newest(key):
            return False
        return self._fold.excludes_others(key, now)

    def _wait_of(self, key: str, now: float) -> _Wait:
        wait = self._waits.get(key)
        if wait is None or now - wait.asked_at > _FORGET_AFTER:
            wait = self._waits[key] = _Wait(now, now)
        wait.asked_at = now
        return wait

    def _forget_old(self) -> None:
        """
        Forget the waits that have ended, and the claims that allow nothing any more.
        """
        now = boot_time()
        for key, wait in list(self._waits.items()):
            if now - wait.asked_at > _FORGET_AFTER:
                del self._waits[key]
        for key, own in list(self._own.items()):
            if now - own.appended_at > _FORGET_AFTER:
                del self._own[key]
