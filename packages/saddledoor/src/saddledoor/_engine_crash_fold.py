# SPDX-License-Identifier: MIT

"""
Detection of poison requests: requests that crash the engines that run them.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ._incarnation import Incarnation
from ._records import EngineCrashed, RequestsCleared


__all__ = ["EngineCrashFold", "PoisonStatus", "request_key"]

#: Crashes with a request in flight after which it may be quarantined; fewer may be
#: coincidence.
_QUARANTINE_THRESHOLD = 3
#: How long a crash is remembered after its last report, in seconds; shorter than the
#: log's retention of records.
_RETENTION = 240.0
#: Age of a crash report, in seconds, after which it is published again while callers
#: keep sending a quarantined request that was in flight at the crash.
_REPUBLISH_AFTER = 60.0
#: Maximum number of crashes that are remembered; the oldest are evicted first.
_MAX_CRASHES = 256
#: Maximum number of requests that are remembered for one crash.
_MAX_REQUESTS_PER_CRASH = 64


def request_key(host: str, method: str, target: str, body: bytes, name: str) -> str:
    """
    Return a digest that identifies a request when it is sent again, to any VM.

    The caller's address is not part of it, since many callers share one address.

    :param name: Identifier that the caller keeps across retries; empty if it sends
        none.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (host.encode(), method.encode(), target.encode(), name.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class PoisonStatus(Enum):
    """
    Whether a request is suspected of crashing engines.
    """

    #: No unattributed crash happened while the request was in flight.
    CLEAN = "free"
    #: The request was in flight at too few crashes for a quarantine. It still runs,
    #: preferably not on an engine that runs another suspect.
    SUSPECT = "suspect"
    #: The request was in flight at enough crashes, but never as the only suspect. It
    #: runs only on an engine that runs no other suspect.
    AMBIGUOUS = "unclear"
    #: A poison request; it is sent to no engine.
    QUARANTINED = "barred"


@dataclass
class _Crash:
    """
    The crash of an engine.

    :param reported_at: Time of the last report of the crash, monotonic, in seconds.
    :param requests: Keys of the requests that the engine had just begun to run.
    """

    reported_at: float
    requests: set[str] = field(default_factory=set)


class EngineCrashFold:
    """
    Engine crashes reported by all VMs, folded from the log.

    A crash with a quarantined request in flight is attributed to that request and
    counts against no other one. A request is quarantined once it was in flight at three
    unattributed crashes, if at one of them it was the only request that was also in
    flight at another unattributed crash. A successful run of a request clears it. The
    quarantine is computed anew from all remembered crashes, so late records correct it.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        self._quarantined: set[str] = set()
        # By request: unattributed crashes with the request in flight.
        self._crash_counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._crashes)

    def apply(self, record: object, now: float) -> None:
        """
        Fold one record; record types other than crashes and clearances are ignored.

        :param now: Monotonic, in seconds.
        """
        match record:
            case EngineCrashed():
                self._record_crash(record, now)
            case RequestsCleared():
                for crash in self._crashes.values():
                    crash.requests.difference_update(record.requests)
            case _:
                return
        self._evict(now)
        self._classify()

    def poison_status(self, key: str, now: float) -> PoisonStatus:
        """
        Return the status of a request.

        :param now: Monotonic, in seconds.
        """
        if self._evict(now):
            self._classify()
        if key in self._quarantined:
            return PoisonStatus.QUARANTINED
        crash_count = self._crash_counts[key]
        if not crash_count:
            return PoisonStatus.CLEAN
        return (
            PoisonStatus.SUSPECT
            if crash_count < _QUARANTINE_THRESHOLD
            else PoisonStatus.AMBIGUOUS
        )

    def is_implicated(self, key: str) -> bool:
        """
        Return whether a request was in flight at any remembered crash.
        """
        return any(key in crash.requests for crash in self._crashes.values())

    def crashes_to_republish(self, key: str, now: float) -> list[EngineCrashed]:
        """
        Return the crashes to publish again so that a quarantine outlives the log's
        retention of the first reports.

        :param now: Monotonic, in seconds.
        """
        crashes = [
            (i, crash) for i, crash in self._crashes.items() if key in crash.requests
        ]
        old = [
            (i, crash)
            for i, crash in crashes
            if now - crash.reported_at > _REPUBLISH_AFTER
        ]
        if not old or len(crashes) - len(old) >= _QUARANTINE_THRESHOLD:
            return []
        for incarnation, crash in old:
            crash.reported_at = now
            self._crashes.move_to_end(incarnation)
        return [
            EngineCrashed(i.engine_id, i.started_at, tuple(sorted(crash.requests)))
            for i, crash in old
        ]

    def _record_crash(self, record: EngineCrashed, now: float) -> None:
        incarnation = Incarnation(record.engine, record.started_at)
        crash = self._crashes.setdefault(incarnation, _Crash(now))
        crash.reported_at = now
        self._crashes.move_to_end(incarnation)
        room = max(0, _MAX_REQUESTS_PER_CRASH - len(crash.requests))
        crash.requests.update(record.requests[:room])

    def _evict(self, now: float) -> bool:
        """
        Drop crashes that are too old or too many; return whether any was dropped.
        """
        before = len(self._crashes)
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            over_limit = len(self._crashes) > _MAX_CRASHES
            if not over_limit and now - oldest.reported_at <= _RETENTION:
                break
            self._crashes.popitem(last=False)
        return len(self._crashes) < before

    def _classify(self) -> None:
        """
        Compute the quarantined requests anew, those with the most crashes first.
        """
        self._quarantined = set()
        while True:
            unattributed = self._unattributed()
            crash_counts = Counter(
                key for crash in unattributed for key in crash.requests
            )
            self._crash_counts = crash_counts
            frequent = {
                key
                for key, count in crash_counts.items()
                if count >= _QUARANTINE_THRESHOLD
            }
            candidates = [
                (crash_counts[key], key)
                for crash in unattributed
                for key in crash.requests & frequent
                if all(crash_counts[other] == 1 for other in crash.requests - {key})
            ]
            if not candidates:
                return
            self._quarantined.add(max(candidates)[1])

    def _unattributed(self) -> list[_Crash]:
        """
        Return the crashes at which no quarantined request was in flight.
        """
        crashes = self._crashes.values()
        return [
            crash for crash in crashes if crash.requests.isdisjoint(self._quarantined)
        ]
