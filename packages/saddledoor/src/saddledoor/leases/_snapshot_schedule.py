# SPDX-License-Identifier: MIT

"""
Decides when a node asks for a snapshot of the leases, and when it writes one.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from ._records import (
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseSnapshot,
    LeaseSnapshotRequest,
)


__all__ = ["SnapshotSchedule", "SnapshotStep"]

#: Shortest time between two requests for a snapshot, of all nodes, in seconds.
_REQUEST_INTERVAL = 2.0
#: Longest additional delay of a request, in seconds, so that of several nodes that
#: start together one asks.
_REQUEST_JITTER = 0.3
#: Longest delay of an answer by a node that holds a lease, in seconds.
_HOLDER_DELAY = 0.05
#: Shortest and longest delay of an answer by any other node, in seconds: the holders'
#: answers come first, and the first of the others is read before most of them write.
_OTHERS_DELAY = (0.2, 1.0)
#: Delay before a snapshot that was not appended is written again, in seconds; records
#: of other nodes came between.
_RETRY_DELAY = (0.02, 0.1)
#: Age of the newest snapshot at which the next one is written, as a share of the log's
#: retention, and the longest additional delay as a share of that age.
_AGE_SHARE, _AGE_JITTER = 0.25, 0.2
#: Time without a record of a lease after which every lease has expired and no process
#: knows them, in seconds, if no term is longer than a third of it: holders renew their
#: leases several times a term, and requests are answered within a second.
_MIN_SILENCE = 10.0
_SILENCE_TERMS = 3
#: Time between two decisions from which on the node counts as having been paused, in
#: seconds: it read nothing meanwhile.
_PAUSE = 1.0


class SnapshotStep(Enum):
    """
    What a node should append to the stream now.
    """

    #: Nothing.
    WAIT = "wait"
    #: A request for a snapshot.
    REQUEST = "request"
    #: A snapshot of this node's state.
    SNAPSHOT = "snapshot"
    #: A snapshot without leases, since no node knows any.
    EMPTY_SNAPSHOT = "empty_snapshot"


class SnapshotSchedule:
    """
    Observes the records of leases and decides what to append.

    All times are monotonic, in seconds.

    :param retention: Age up to which the log keeps records, in seconds.
    :param longest_term: Longest term of a lease, in seconds.
    :param now: Current time.
    :param uniform: Returns a random number between two bounds.
    """

    def __init__(
        self,
        retention: float,
        longest_term: float,
        now: float,
        uniform: Callable[[float, float], float],
    ) -> None:
        self._retention = retention
        self._silence = max(_MIN_SILENCE, _SILENCE_TERMS * longest_term)
        self._uniform = uniform
        self._quiet_since = now
        self._decided_at = now
        self._request_due = now + uniform(0.0, _REQUEST_JITTER)
        self._is_requested = False
        self._answer_due: float | None = None
        self._record_snapshot(now)

    def set_retention(self, retention: float) -> None:
        """
        Change the retention, in seconds.
        """
        self._retention = retention

    def observe(self, record: object, is_effective: bool, now: float) -> None:
        """
        Take a record into account that was read now.

        :param is_effective: Whether a snapshot is at the offset that it names.
        """
        match record:
            case LeaseSnapshotRequest():
                self._request_due = (
                    now + _REQUEST_INTERVAL + self._uniform(0.0, _REQUEST_JITTER)
                )
                self._is_requested = True
            case LeaseSnapshot():
                self._quiet_since = now
                if is_effective:
                    self._record_snapshot(now)
            case LeaseClaim() | LeaseRenewal() | LeaseRelease():
                self._quiet_since = now

    def record_outage(self, now: float) -> None:
        """
        Take into account that nothing could be read up to now.
        """
        self._quiet_since = now

    def record_attempt(self, now: float) -> None:
        """
        Take an append of a snapshot into account; unless that snapshot is read soon,
        it is written again.
        """
        self._answer_due = now + self._uniform(*_RETRY_DELAY)

    def next_step(
        self, is_complete: bool, holds_lease: bool, now: float
    ) -> SnapshotStep:
        """
        Return what to append now.

        :param is_complete: Whether this node knows all leases.
        :param holds_lease: Whether this node holds any.
        """
        if now - self._decided_at > _PAUSE:
            self._quiet_since = now
        self._decided_at = now
        if is_complete:
            return self._next_snapshot(holds_lease, now)
        if now - self._quiet_since >= self._silence:
            is_due = self._answer_due is None or now >= self._answer_due
            return SnapshotStep.EMPTY_SNAPSHOT if is_due else SnapshotStep.WAIT
        if now < self._request_due:
            return SnapshotStep.WAIT
        self._request_due = (
            now + _REQUEST_INTERVAL + self._uniform(0.0, _REQUEST_JITTER)
        )
        return SnapshotStep.REQUEST

    def _next_snapshot(self, holds_lease: bool, now: float) -> SnapshotStep:
        age_due = self._snapshot_at + self._age_factor * self._retention
        if not self._is_requested and now < age_due:
            return SnapshotStep.WAIT
        if self._answer_due is None:
            delay = (0.0, _HOLDER_DELAY) if holds_lease else _OTHERS_DELAY
            self._answer_due = now + self._uniform(*delay)
        return SnapshotStep.SNAPSHOT if now >= self._answer_due else SnapshotStep.WAIT

    def _record_snapshot(self, now: float) -> None:
        self._snapshot_at = now
        self._age_factor = _AGE_SHARE * (1 + self._uniform(0.0, _AGE_JITTER))
        self._is_requested = False
        self._answer_due = None
