# SPDX-License-Identifier: MIT

"""
Who goes next when back ends are full: fair queueing between partners.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar


__all__ = ["FairQueue", "PushResult", "Ticket", "WorkClass"]

_T = TypeVar("_T")

#: Of this many grants, training gets at least one while it waits.
_TRAINING_TURN = 4


class WorkClass(IntEnum):
    """
    Interactive work goes before training work, but never starves it.
    """

    INTERACTIVE = 0
    TRAINING = 1


@dataclass(frozen=True, order=True)
class Ticket(Generic[_T]):
    """
    A place in the queue.

    :param start: Virtual start time; smaller goes first. The request's own cost does
        not count, so that long ones are not put back.
    """

    start: float
    order: int
    partner: str = field(compare=False)
    item: _T = field(compare=False)


@dataclass(frozen=True)
class PushResult(Generic[_T]):
    """
    What became of a request at the queue's door.

    :param queued: Whether it waits now; if not, it has to be refused.
    :param displaced: A request that lost its place to it, and has to be refused.
    """

    queued: bool
    displaced: _T | None = None


class FairQueue(Generic[_T]):
    """
    Start-time fair queueing by cost, within two classes of work.

    A partner that floods only lengthens its own line, and gives way first when the
    queue is full: each request's virtual start
    is the later of the queue's virtual time and the partner's last finish.
    Source: Goyal, Vin and Cheng, "Start-time fair queuing".

    :param capacity: Requests that may wait in a class, a count.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._lines: dict[WorkClass, list[Ticket[_T]]] = {c: [] for c in WorkClass}
        self._finish: dict[tuple[WorkClass, str], float] = {}
        self._virtual: dict[WorkClass, float] = dict.fromkeys(WorkClass, 0.0)
        self._count = 0
        self._grants = 0

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def waiting(self, work: WorkClass) -> int:
        """
        Return how many requests of a class wait.
        """
        return len(self._lines[work])

    def push(
        self, work: WorkClass, partner: str, cost: float, weight: float, item: _T
    ) -> PushResult[_T]:
        """
        Queue a request.

        In a full class, the request that would be served last gives way: otherwise a
        partner that floods would fill the queue, and the others be refused at its
        door.

        :param cost: Expected work, in tokens.
        :param weight: The partner's share relative to others.
        """
        line = self._lines[work]
        start = max(self._virtual[work], self._finish.get((work, partner), 0.0))
        self._count += 1
        ticket = Ticket(start, self._count, partner, item)
        displaced = None
        if len(line) >= self._capacity:
            last = max(line)
            if last <= ticket:
                return PushResult(queued=False)
            displaced = self._remove(work, last)
        self._finish[(work, partner)] = start + cost / weight
        heapq.heappush(line, ticket)
        return PushResult(True, displaced)

    def _remove(self, work: WorkClass, ticket: Ticket[_T]) -> _T:
        line = self._lines[work]
        line.remove(ticket)
        heapq.heapify(line)
        # It was its partner's last: the partner has not had that work.
        self._finish[(work, ticket.partner)] = ticket.start
        return ticket.item

    def push_front(self, work: WorkClass, item: _T) -> None:
        """
        Put back a request that was taken but could not be served; it goes next.
        """
        self._count += 1
        ticket = Ticket(float("-inf"), self._count, "", item)
        heapq.heappush(self._lines[work], ticket)

    def pop(self, skip: frozenset[WorkClass] = frozenset()) -> _T | None:
        """
        Take the next request, or none if nothing waits.

        :param skip: Classes whose next request cannot be served now.
        """
        work = self._next_class(skip)
        if work is None:
            return None
        ticket = heapq.heappop(self._lines[work])
        self._virtual[work] = max(self._virtual[work], ticket.start)
        if not self._lines[work]:
            self._forget_idle(work)
        return ticket.item

    def _next_class(self, skip: frozenset[WorkClass]) -> WorkClass | None:
        waiting = [c for c in WorkClass if self._lines[c] and c not in skip]
        if len(waiting) < len(WorkClass):
            return waiting[0] if waiting else None
        self._grants += 1
        turn = self._grants % _TRAINING_TURN == 0
        return WorkClass.TRAINING if turn else WorkClass.INTERACTIVE

    def _forget_idle(self, work: WorkClass) -> None:
        # With nothing waiting, no partner is ahead of another any more.
        self._finish = {k: v for k, v in self._finish.items() if k[0] is not work}
        self._virtual[work] = 0.0
