# SPDX-License-Identifier: MIT

"""
Which requests end the engines that run them, and which were only there.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ._incarnation import Incarnation
from ._records import EngineCrashed, RequestsCleared


__all__ = ["EngineCrashFold", "PoisonStatus", "request_key"]

#: Ends under which a request was that make it one that ends engines, a count: an engine
#: may end by itself, and twice by chance.
_ENOUGH = 3
#: Longest time for which an end is remembered after somebody told of it, in seconds:
#: well below the 300 s for which the log keeps records.
_REMEMBER = 240.0
#: Age from which what speaks against a request that is still asked for is told again.
_TELL_AGAIN = 60.0
#: Ends that are remembered, a count; the oldest go first. A site of 1,200 engines that
#: all end within 4 minutes forgets some of them, and learns of their cause again.
_MOST_ENDS = 256
#: Requests of one end, a count: an engine has 12 slots, and some wait.
_MOST_REQUESTS = 64


def request_key(host: str, method: str, target: str, body: bytes, name: str) -> str:
    """
    Return what tells a request from others when it comes again, at any VM.

    Callers of one data centre share a few addresses, so these tell nobody apart.

    :param name: Of a request that keeps its name when it is sent again; else empty.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (host.encode(), method.encode(), target.encode(), name.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class PoisonStatus(Enum):
    """
    What the ends of engines say of a request.
    """

    #: Nothing.
    CLEAN = "free"
    #: It was there, as others may have been; it runs, best without another suspect.
    SUSPECT = "suspect"
    #: It was there as often as one that ends engines, but never as the only suspect: it
    #: runs only where no other suspect does.
    AMBIGUOUS = "unclear"
    #: It ends engines, and no engine gets it.
    QUARANTINED = "barred"


@dataclass
class _End:
    """
    The end of an engine's life.

    :param requests: That it had begun to run just before.
    :param told_at: When anybody told of it last, monotonic, in seconds.
    """

    told_at: float
    requests: set[str] = field(default_factory=set)


class EngineCrashFold:
    """
    The ends of engines that anybody saw, folded from the log.

    A request is barred after three ends if at one of them no other request was there
    that any other end speaks against. An end that a barred request explains speaks
    against nobody else, and an answer takes back all that speaks against a request.
    So what is barred follows from what is known now, and is corrected by what comes
    late. In a play with 13 VMs a request that nobody remembered ended 10 instances of
    four; the requests beside it were at one or two of those ends.
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[Incarnation, _End] = OrderedDict()
        self._barred: set[str] = set()
        # How many ends speak against a request that is not barred.
        self._blame: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._ends)

    def apply(self, record: object, now: float) -> None:
        """
        Fold one record; others than of ends and answers change nothing.

        :param now: Monotonic, in seconds.
        """
        match record:
            case EngineCrashed():
                self._end(record, now)
            case RequestsCleared():
                for end in self._ends.values():
                    end.requests.difference_update(record.requests)
            case _:
                return
        self._forget(now)
        self._judge()

    def poison_status(self, key: str, now: float) -> PoisonStatus:
        """
        Return what is known of a request.
        """
        if self._forget(now):
            self._judge()
        if key in self._barred:
            return PoisonStatus.QUARANTINED
        blame = self._blame[key]
        if not blame:
            return PoisonStatus.CLEAN
        return PoisonStatus.SUSPECT if blame < _ENOUGH else PoisonStatus.AMBIGUOUS

    def is_implicated(self, key: str) -> bool:
        """
        Whether a request was at any end that is remembered.
        """
        return any(key in end.requests for end in self._ends.values())

    def crashes_to_republish(self, key: str, now: float) -> list[EngineCrashed]:
        """
        Return what bars a request if the log may forget it before the request does.
        """
        ends = [(i, end) for i, end in self._ends.items() if key in end.requests]
        old = [(i, end) for i, end in ends if now - end.told_at > _TELL_AGAIN]
        if not old or len(ends) - len(old) >= _ENOUGH:
            return []
        for incarnation, end in old:
            end.told_at = now
            self._ends.move_to_end(incarnation)
        return [
            EngineCrashed(i.engine_id, i.started_at, tuple(sorted(end.requests)))
            for i, end in old
        ]

    def _end(self, record: EngineCrashed, now: float) -> None:
        incarnation = Incarnation(record.engine, record.started_at)
        end = self._ends.setdefault(incarnation, _End(now))
        end.told_at = now
        self._ends.move_to_end(incarnation)
        room = max(0, _MOST_REQUESTS - len(end.requests))
        end.requests.update(record.requests[:room])

    def _forget(self, now: float) -> bool:
        """
        Drop what is too old or too much; return whether there was any.
        """
        before = len(self._ends)
        while self._ends:
            oldest = next(iter(self._ends.values()))
            too_many = len(self._ends) > _MOST_ENDS
            if not too_many and now - oldest.told_at <= _REMEMBER:
                break
            self._ends.popitem(last=False)
        return len(self._ends) < before

    def _judge(self) -> None:
        """
        Work out anew which requests are barred, the one with the most ends first.
        """
        self._barred = set()
        while True:
            unexplained = self._unexplained()
            counts = Counter(key for end in unexplained for key in end.requests)
            self._blame = counts
            often = {key for key, count in counts.items() if count >= _ENOUGH}
            found = [
                (counts[key], key)
                for end in unexplained
                for key in end.requests & often
                if all(counts[other] == 1 for other in end.requests - {key})
            ]
            if not found:
                return
            self._barred.add(max(found)[1])

    def _unexplained(self) -> list[_End]:
        """
        Return the ends at which no barred request was.
        """
        ends = self._ends.values()
        return [end for end in ends if end.requests.isdisjoint(self._barred)]
