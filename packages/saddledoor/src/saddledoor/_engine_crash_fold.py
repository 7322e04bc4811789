# SPDX-License-Identifier: MIT

"""
Detection of poison requests: requests that crash the engines that run them.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ._incarnation import Incarnation
from ._records import EngineCrashed, RequestsCleared


__all__ = ["EngineCrashFold", "PoisonStatus", "request_key"]

#: Crashes with a request in flight after which it starts only in isolation; one may
#: be a coincidence, and the isolated start may crash a third engine, the last one.
_ISOLATION_THRESHOLD = 2
#: Least time between the newest crash of any request and an isolated start, in seconds.
#: Engines that crash by themselves do so in bursts 0.6 s apart, and an isolated start
#: within a burst would quarantine its request.
_ISOLATION_PAUSE = 1.0
#: Longest time between the newest crash of a request and its isolated start that
#: crashes of other requests cause, in seconds; longer than a series of four bursts.
_MAX_ISOLATION_PAUSE = 2.0
#: Time from the crash of an isolated start to the next one, in seconds. An item may be
#: at no engine for 5 s of steady state, which begins 3 s after a crash, and may wait
#: 1.9 s for its engine.
_RETRY_PAUSE = 4.0
#: The same time after the last retry that always follows, in seconds.
_LATE_RETRY_PAUSE = 6.0
#: Number of retries of each request; only late crashes lead to further ones.
_RETRIES = 3
#: Crashes and prompt proofs of a request after which it is not retried: the three
#: crashes that prove it, and the three retries that callers' rules allow after them.
_MAX_CRASHES_OF_REQUEST = 3 + _RETRIES
_MAX_PROMPT_PROOFS = 3
#: How long a crash is remembered after its first report, and a request is quarantined
#: after its last retry, in seconds; shorter than the log's retention (300 s).
_RETENTION = 240.0
#: How long an expired proof still demands an isolated start, in seconds.
_PROBATION = 240.0
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
    #: The request was in flight at one crash. It still runs, preferably not on an
    #: engine that runs another suspect.
    SUSPECT = "suspect"
    #: The request was in flight at two or more crashes, or its quarantine has expired.
    #: It starts after a pause, at an engine where nothing else has just begun.
    ISOLATED = "isolated"
    #: An engine crashed under an isolated start; the request is sent to no engine until
    #: `EngineCrashFold.isolated_start_at`.
    QUARANTINED = "barred"


@dataclass
class _Crash:
    """
    The crash of an engine.

    :param reported_at: Time of the first report of the crash, monotonic, in seconds.
    :param requests: Keys of the requests that the engine had just begun to run.
    """

    reported_at: float
    requests: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class _Proof:
    """
    The crash of an engine under an isolated start.

    :param proved_at: Time of its first report, monotonic, in seconds.
    :param is_prompt: Whether the engine crashed soon after the start.
    :param is_final: Whether no retry follows.
    """

    engine: Incarnation
    proved_at: float
    is_prompt: bool
    is_final: bool


class EngineCrashFold:
    """
    Engine crashes reported by all VMs, folded from the log.

    A request that was in flight at two crashes starts next in isolation, and only a
    crash under such a start quarantines it. As unrelated crashes may look alike, it is
    retried after a pause, in isolation, at most three times if the engines crash soon
    after the start. A crash with a quarantined request in flight is attributed to that
    request and counts against no other one. A successful run of a request clears it.
    Nothing that callers do renews a quarantine.
    """

    #: See `_RETENTION`.
    retention = _RETENTION

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        self._proofs: OrderedDict[str, list[_Proof]] = OrderedDict()
        # By request: times of its unattributed crashes.
        self._crash_times: dict[str, list[float]] = {}

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
                self._clear(record)
            case _:
                return
        self._evict(now)
        self._attribute()

    def poison_status(self, key: str, now: float, presumed: int = 0) -> PoisonStatus:
        """
        Return the status of a request.

        :param now: Monotonic, in seconds.
        :param presumed: Number of engines under the request that may have crashed and
            are being checked.
        """
        if self._evict(now):
            self._attribute()
        if key in self._proofs:
            if now <= self.isolated_start_at(key):
                return PoisonStatus.QUARANTINED
            return PoisonStatus.ISOLATED
        crash_count = presumed + len(self._crash_times.get(key, ()))
        if not crash_count:
            return PoisonStatus.CLEAN
        if crash_count < _ISOLATION_THRESHOLD:
            return PoisonStatus.SUSPECT
        return PoisonStatus.ISOLATED

    def isolated_start_at(self, key: str) -> float:
        """
        Return the earliest time of an isolated start of a request, monotonic, in
        seconds.
        """
        proofs = self._proofs.get(key)
        if proofs:
            return proofs[-1].proved_at + _pause_after(proofs)
        never = float("-inf")
        own = max(self._crash_times.get(key, ()), default=never)
        newest = max((max(times) for times in self._crash_times.values()), default=own)
        return min(newest + _ISOLATION_PAUSE, own + _MAX_ISOLATION_PAUSE)

    def is_suspected(self, key: str) -> bool:
        """
        Return whether a request is suspected, and neither quarantined nor proved to
        have crashed an engine.
        """
        return key in self._crash_times and key not in self._proofs

    def is_implicated(self, key: str) -> bool:
        """
        Return whether a request was in flight at any remembered crash.
        """
        return key in self._proofs or any(
            key in crash.requests for crash in self._crashes.values()
        )

    def _record_crash(self, record: EngineCrashed, now: float) -> None:
        incarnation = Incarnation(record.engine, record.started_at)
        crash = self._crashes.setdefault(incarnation, _Crash(now))
        room = max(0, _MAX_REQUESTS_PER_CRASH - len(crash.requests))
        crash.requests.update(record.requests[:room])
        key = record.isolated
        if key is None:
            return
        proofs = self._proofs.setdefault(key, [])
        # The same report may come from the log again, which must not renew the proof.
        if any(proof.engine == incarnation for proof in proofs):
            return
        is_prompt = not record.late
        prompt_proofs = is_prompt + sum(proof.is_prompt for proof in proofs)
        is_final = any(proof.is_final for proof in proofs) or (
            prompt_proofs >= _MAX_PROMPT_PROOFS
            and self._count_crashes(key, incarnation) >= _MAX_CRASHES_OF_REQUEST
        )
        proofs.append(_Proof(incarnation, crash.reported_at, is_prompt, is_final))
        self._proofs.move_to_end(key)

    def _count_crashes(self, key: str, newest: Incarnation) -> int:
        """
        Return the number of crashes that prove a request to crash engines, or at which
        it was in flight and no other one that is proved to.

        :param newest: Engine whose crash is its newest proof.
        """
        others = self._proofs.keys() - {key}
        proved_by = {proof.engine for proof in self._proofs[key]} | {newest}
        return sum(
            key in crash.requests
            and (engine in proved_by or crash.requests.isdisjoint(others))
            for engine, crash in self._crashes.items()
        )

    def _clear(self, record: RequestsCleared) -> None:
        for crash in self._crashes.values():
            crash.requests.difference_update(record.requests)
        if record.unproved_only:
            return
        for key in record.requests:
            self._proofs.pop(key, None)

    def _evict(self, now: float) -> bool:
        """
        Drop crashes and proofs that are too old or too many; return whether any was
        dropped.
        """
        before = len(self._crashes) + len(self._proofs)
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            over_limit = len(self._crashes) > _MAX_CRASHES
            if not over_limit and now - oldest.reported_at <= _RETENTION:
                break
            self._crashes.popitem(last=False)
        while self._proofs:
            newest = next(iter(self._proofs.values()))[-1]
            too_many = len(self._proofs) > _MAX_CRASHES
            if not too_many and now - newest.proved_at <= _RETENTION + _PROBATION:
                break
            self._proofs.popitem(last=False)
        return len(self._crashes) + len(self._proofs) < before

    def _attribute(self) -> None:
        """
        Collect the crashes at which no request was in flight that is proved to crash
        engines.
        """
        self._crash_times = {}
        for crash in self._crashes.values():
            if not crash.requests.isdisjoint(self._proofs):
                continue
            for key in crash.requests:
                self._crash_times.setdefault(key, []).append(crash.reported_at)


def _pause_after(proofs: list[_Proof]) -> float:
    """
    Return the time from the newest proof to the next start, in seconds.
    """
    if proofs[-1].is_final:
        return _RETENTION
    return _RETRY_PAUSE if len(proofs) <= _RETRIES else _LATE_RETRY_PAUSE
