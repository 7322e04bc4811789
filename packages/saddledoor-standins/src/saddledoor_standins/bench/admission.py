# SPDX-License-Identifier: MIT

"""
Admission and fairness: the daemon's queue against plain first come, first served.

Both queues stand in front of the same slots in this process, with the same arrivals.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from saddledoor import FairQueue, WorkClass

from ._table import PLOTS, print_table
from .plots import plot_bars


__all__ = ["fairness", "overload"]

_SLOTS = 16
#: Mean work of a request, in seconds and in tokens.
_WORK = 0.04
_TOKENS = 20.0
#: How long requests arrive, in seconds.
_SECONDS = 4.0
#: When a guest gives up, in seconds.
_DEADLINE = 0.5
_PARTNERS = ("a", "b", "c", "d")
#: Requests that may wait in the daemon's queue, a count.
_CAPACITY = 64
#: Names of the baseline and of the daemon's queue.
_NAMES = ("first come", "fair, bounded")
#: Runs at the same time; each is mostly asleep.
_WORKERS = 4


@dataclass
class _Waiter:
    partner: str
    deadline: float
    granted: asyncio.Future = field(repr=False)


class _Fifo:
    """
    The baseline: one line without bound, served in order, whoever still waits.
    """

    def __init__(self) -> None:
        self._line: deque[_Waiter] = deque()

    def push(self, waiter: _Waiter, work: WorkClass, cost: float) -> bool:
        self._line.append(waiter)
        return True

    def pop(self) -> _Waiter | None:
        return self._line.popleft() if self._line else None


class _Fair:
    """
    The daemon's queue: fair by cost, bounded, and passing over who gave up.
    """

    def __init__(self, capacity: int) -> None:
        self._queue: FairQueue[_Waiter] = FairQueue(capacity)

    def push(self, waiter: _Waiter, work: WorkClass, cost: float) -> bool:
        pushed = self._queue.push(work, waiter.partner, cost, 1.0, waiter)
        if pushed.displaced is not None and not pushed.displaced.granted.done():
            pushed.displaced.granted.set_exception(_DisplacedError())
        return pushed.queued

    def pop(self) -> _Waiter | None:
        while (waiter := self._queue.pop()) is not None:
            if not waiter.granted.done():
                return waiter
        return None


class _DisplacedError(Exception):
    """
    Another partner's request took the place of this one.
    """


@dataclass
class _Seen:
    asked: int = 0
    good: int = 0
    refused_after: list[float] = field(default_factory=list)
    waited: list[float] = field(default_factory=list)


class _Gate:
    """
    Slots with a queue in front.
    """

    def __init__(self, queue: _Fifo | _Fair) -> None:
        self._queue = queue
        self._free = _SLOTS

    async def serve(
        self, partner: str, work: WorkClass, seconds: float, seen: _Seen
    ) -> None:
        """
        Pass one request through; it gives up at its deadline.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        seen.asked += 1
        waiter = _Waiter(partner, began + _DEADLINE, loop.create_future())
        cost = seconds / _WORK * _TOKENS
        if not self._queue.push(waiter, work, cost):
            seen.refused_after.append(loop.time() - began)
            return
        self._grant()
        try:
            # A baseline without deadlines works on what nobody waits for any more.
            await asyncio.wait_for(asyncio.shield(waiter.granted), _DEADLINE)
        except _DisplacedError:
            seen.refused_after.append(loop.time() - began)
            return
        except TimeoutError:
            seen.refused_after.append(loop.time() - began)
            if isinstance(self._queue, _Fair):
                waiter.granted.cancel()
                return
            await waiter.granted
        await asyncio.sleep(seconds)
        self._free += 1
        self._grant()
        took = loop.time() - began
        seen.waited.append(took)
        seen.good += took <= _DEADLINE

    def _grant(self) -> None:
        while self._free > 0:
            waiter = self._queue.pop()
            if waiter is None:
                return
            if waiter.granted.done():
                continue
            self._free -= 1
            waiter.granted.set_result(None)


async def _run(
    queue: _Fifo | _Fair, rates: dict[str, float], work: WorkClass, seed: int
) -> dict[str, _Seen]:
    gate = _Gate(queue)
    seen = {partner: _Seen() for partner in rates}
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task] = []

    async def send(partner: str, rate: float) -> None:
        chance = random.Random(f"{seed}/{partner}")
        at = loop.time()
        end = at + _SECONDS
        while at < end:
            at += chance.expovariate(rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            seconds = chance.expovariate(1 / _WORK)
            one = gate.serve(partner, work, seconds, seen[partner])
            tasks.append(asyncio.create_task(one))

    await asyncio.gather(*(send(p, rate) for p, rate in rates.items()))
    _, late = await asyncio.wait(tasks, timeout=2.0)
    for task in late:
        task.cancel()
    return seen


@dataclass(frozen=True)
class _Case:
    """
    One run of one queue.

    :param rates: Requests a second, by partner.
    """

    fair: bool
    rates: tuple[tuple[str, float], ...]
    seed: int


def _run_case(case: _Case) -> dict[str, _Seen]:
    queue = _Fair(_CAPACITY) if case.fair else _Fifo()
    rates = dict(case.rates)
    return asyncio.run(_run(queue, rates, WorkClass.INTERACTIVE, case.seed))


def _run_all(cases: list[_Case]) -> dict[_Case, dict[str, _Seen]]:
    with ProcessPoolExecutor(_WORKERS) as pool:
        return dict(zip(cases, pool.map(_run_case, cases), strict=True))


def _rates(each: float, flooding: float = 1.0) -> tuple[tuple[str, float], ...]:
    first, *others = _PARTNERS
    return ((first, each * flooding), *((partner, each) for partner in others))


def overload(seed: int = 1) -> list[tuple]:
    """
    Measure goodput within the deadline at 1, 2 and 5 times what can be served.

    :returns: Rows of factor, queue, share of capacity that was useful, and the 99th
        percentile of the time to a refusal in ms.
    """
    capacity = _SLOTS / _WORK
    cases = [
        _Case(fair, _rates(capacity * factor / len(_PARTNERS)), seed)
        for factor in (1.0, 2.0, 5.0)
        for fair in (False, True)
    ]
    rows = []
    for case, seen in _run_all(cases).items():
        good = sum(s.good for s in seen.values()) / (capacity * _SECONDS)
        refused = sorted(t for s in seen.values() for t in s.refused_after)
        slowest = refused[int(len(refused) * 0.99)] * 1000 if refused else 0.0
        factor = sum(rate for _, rate in case.rates) / capacity
        rows.append((factor, _NAMES[case.fair], good, slowest))
    head = ("load", "queue", "goodput / capacity", "refusal p99 ms")
    print_table("overload: answered within 0.5 s", head, rows)
    plot_bars(
        PLOTS / "overload.svg",
        "Answered within the deadline, as a share of capacity",
        "share",
        [f"{row[0]:.0f}x load" for row in rows[::2]],
        {name: [r[2] for r in rows if r[1] == name] for name in _NAMES},
    )
    return rows


def fairness(seeds: tuple[int, ...] = (1, 2, 3)) -> list[tuple]:
    """
    Measure what a partner that floods at ten times its share costs the others.

    :returns: Rows of seed, queue, the others' answered share before and during, and
        the share that they lost.
    """
    share = 0.8 * _SLOTS / _WORK / len(_PARTNERS)
    calm, flood = _rates(share), _rates(share, 10.0)
    cases = [
        _Case(fair, rates, seed)
        for seed in seeds
        for fair in (False, True)
        for rates in (calm, flood)
    ]
    results = _run_all(cases)
    rows = []
    for seed in seeds:
        for fair in (False, True):
            before = _others_answered(results[_Case(fair, calm, seed)])
            during = _others_answered(results[_Case(fair, flood, seed)])
            lost = 1 - during / before
            rows.append((seed, _NAMES[fair], before, during, lost))
    head = ("seed", "queue", "others before", "others during", "lost")
    print_table("one partner floods at ten times its share", head, rows)
    return rows


def _others_answered(seen: dict[str, _Seen]) -> float:
    others = [s for partner, s in seen.items() if partner != _PARTNERS[0]]
    return sum(s.good for s in others) / sum(s.asked for s in others)
