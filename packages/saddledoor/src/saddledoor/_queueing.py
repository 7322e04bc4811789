# SPDX-License-Identifier: MIT

"""
Who goes next when back ends are full: fair queueing between partners.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar


__all__ = ["FairQueue", "Ticket", "WorkClass"]

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

    :param finish: Virtual finish time; smaller goes first.
    """

    finish: float
    order: int
    item: _T = field(compare=False)


class FairQueue(Generic[_T]):
    """
    Start-time fair queueing by cost, within two classes of work.

    A partner that floods only lengthens its own line: each request's virtual start
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
    ) -> bool:
        """
        Queue a request.

        :param cost: Expected work, in tokens.
        :param weight: The partner's share relative to others.
        :returns: False if the class is full; nothing was queued then.
        """
        if len(self._lines[work]) >= self._capacity:
            return False
        start = max(self._virtual[work], self._finish.get((work, partner), 0.0))
        finish = start + cost / weight
        self._finish[(work, partner)] = finish
        self._count += 1
        heapq.heappush(self._lines[work], Ticket(finish, self._count, item))
        return True

    def push_front(self, work: WorkClass, item: _T) -> None:
        """
        Put back a request that was taken but could not be served; it goes next.
        """
        self._count += 1
        heapq.heappush(self._lines[work], Ticket(float("-inf"), self._count, item))

    def pop(self, skip: frozenset[WorkClass] = frozenset()) -> _T | None:
        """
        Take the next request, or none if nothing waits.

        :param skip: Classes whose next request cannot be served now.
        """
        work = self._next_class(skip)
        if work is None:
            return None
        ticket = heapq.heappop(self._lines[work])
        self._virtual[work] = max(self._virtual[work], ticket.finish)
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
