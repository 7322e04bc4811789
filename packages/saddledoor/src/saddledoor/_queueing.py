# SPDX-License-Identifier: MIT

"""
Fair queueing of requests between partners while back ends are full.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar


__all__ = ["FairQueue", "PushResult", "QueueEntry", "WorkClass"]

_T = TypeVar("_T")

#: While both classes wait, every n-th request taken is one of training.
_TRAINING_INTERVAL = 4


class WorkClass(IntEnum):
    """
    Class of work; interactive work has priority but does not starve training work.
    """

    INTERACTIVE = 0
    TRAINING = 1


@dataclass(frozen=True, order=True)
class QueueEntry(Generic[_T]):
    """
    An entry of a queue.

    :param start: Virtual start time; the smallest is served first. It does not depend
        on the request's own cost, so expensive requests are not delayed.
    :param order: Sequence number, which breaks ties.
    """

    start: float
    order: int
    partner: str = field(compare=False)
    item: _T = field(compare=False)


@dataclass(frozen=True)
class PushResult(Generic[_T]):
    """
    Result of queueing a request.

    :param queued: Whether the request was queued; if not, it has to be refused.
    :param displaced: A queued request that was removed in its favour and has to be
        refused; none if there was a free place.
    """

    queued: bool
    displaced: _T | None = None


class FairQueue(Generic[_T]):
    """
    Start-time fair queueing by cost, within two classes of work.

    The virtual start time of a request is the later of the queue's virtual time and the
    finish time of the partner's previous request. A partner that sends too much
    therefore delays only itself, and loses requests first when the queue is full.
    Source: Goyal, Vin and Cheng, "Start-time fair queuing".

    :param capacity: Maximum number of waiting requests per class.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._queues: dict[WorkClass, list[QueueEntry[_T]]] = {c: [] for c in WorkClass}
        self._last_finish: dict[tuple[WorkClass, str], float] = {}
        self._virtual_time: dict[WorkClass, float] = dict.fromkeys(WorkClass, 0.0)
        self._sequence = 0
        self._grants = 0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def waiting(self, work: WorkClass) -> int:
        """
        Return the number of waiting requests of a class.
        """
        return len(self._queues[work])

    def push(
        self, work: WorkClass, partner: str, cost: float, weight: float, item: _T
    ) -> PushResult[_T]:
        """
        Queue a request.

        If the class is full, the request that would be served last is displaced;
        otherwise a single partner could fill the queue and have all others refused.

        :param cost: Expected work, in tokens.
        :param weight: The partner's share relative to the others.
        """
        queue = self._queues[work]
        start = max(
            self._virtual_time[work], self._last_finish.get((work, partner), 0.0)
        )
        self._sequence += 1
        entry = QueueEntry(start, self._sequence, partner, item)
        displaced = None
        if len(queue) >= self._capacity:
            last = max(queue)
            if last <= entry:
                return PushResult(queued=False)
            displaced = self._remove(work, last)
        self._last_finish[(work, partner)] = start + cost / weight
        heapq.heappush(queue, entry)
        return PushResult(True, displaced)

    def _remove(self, work: WorkClass, entry: QueueEntry[_T]) -> _T:
        queue = self._queues[work]
        queue.remove(entry)
        heapq.heapify(queue)
        # The removed request was its partner's last, so its cost is credited back.
        self._last_finish[(work, entry.partner)] = entry.start
        return entry.item

    def push_front(self, work: WorkClass, item: _T) -> None:
        """
        Put back a request that was taken but could not be served; it is served next.
        """
        self._sequence += 1
        entry = QueueEntry(float("-inf"), self._sequence, "", item)
        heapq.heappush(self._queues[work], entry)

    def pop(self, skip: frozenset[WorkClass] = frozenset()) -> _T | None:
        """
        Remove and return the next request; none if nothing waits.

        :param skip: Classes that cannot be served now.
        """
        work = self._next_class(skip)
        if work is None:
            return None
        entry = heapq.heappop(self._queues[work])
        self._virtual_time[work] = max(self._virtual_time[work], entry.start)
        if not self._queues[work]:
            self._reset_idle(work)
        return entry.item

    def _next_class(self, skip: frozenset[WorkClass]) -> WorkClass | None:
        waiting = [c for c in WorkClass if self._queues[c] and c not in skip]
        if len(waiting) < len(WorkClass):
            return waiting[0] if waiting else None
        self._grants += 1
        training_due = self._grants % _TRAINING_INTERVAL == 0
        return WorkClass.TRAINING if training_due else WorkClass.INTERACTIVE

    def _reset_idle(self, work: WorkClass) -> None:
        # Once the queue is empty, earlier use no longer counts against a partner.
        self._last_finish = {
            k: v for k, v in self._last_finish.items() if k[0] is not work
        }
        self._virtual_time[work] = 0.0
