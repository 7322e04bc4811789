# SPDX-License-Identifier: MIT

"""
Admission and fairness: compares the daemon's queue with a FIFO queue.

Both queues run in this process with the same number of slots and the same arrivals.
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


__all__ = ["measure_fairness", "measure_overload"]

_SLOTS = 16
#: Mean work of a request, in seconds and in tokens.
_MEAN_SECONDS = 0.04
_MEAN_TOKENS = 20.0
#: Time during which requests arrive, in seconds.
_ARRIVAL_SECONDS = 4.0
#: Time limit of a request, in seconds.
_DEADLINE = 0.5
_PARTNERS = ("a", "b", "c", "d")
#: Capacity of the daemon's queue, in requests.
_CAPACITY = 64
#: Names of the baseline and of the daemon's queue, indexed by `_Case.fair`.
_QUEUE_NAMES = ("first come", "fair, bounded")
#: Number of parallel runs.
_WORKERS = 4


@dataclass
class _Waiter:
    partner: str
    deadline: float
    granted: asyncio.Future = field(repr=False)


class _FifoQueue:
    """
    The baseline: an unbounded FIFO queue that ignores deadlines.
    """

    def __init__(self) -> None:
        self._waiting: deque[_Waiter] = deque()

    def push(self, waiter: _Waiter, work: WorkClass, cost: float) -> bool:
        self._waiting.append(waiter)
        return True

    def pop(self) -> _Waiter | None:
        return self._waiting.popleft() if self._waiting else None


class _BoundedFairQueue:
    """
    The daemon's queue: bounded, fair by cost, skipping requests that timed out.
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
    The request was displaced from the queue by another partner's request.
    """


@dataclass
class _Outcomes:
    requests: int = 0
    in_time: int = 0
    refusal_times: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)


class _Server:
    """
    A server with a fixed number of slots and a queue.
    """

    def __init__(self, queue: _FifoQueue | _BoundedFairQueue) -> None:
        self._queue = queue
        self._free = _SLOTS

    async def serve(
        self, partner: str, work: WorkClass, seconds: float, outcomes: _Outcomes
    ) -> None:
        """
        Serve one request with its time limit.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcomes.requests += 1
        waiter = _Waiter(partner, began + _DEADLINE, loop.create_future())
        cost = seconds / _MEAN_SECONDS * _MEAN_TOKENS
        if not self._queue.push(waiter, work, cost):
            outcomes.refusal_times.append(loop.time() - began)
            return
        self._grant()
        try:
            # Shielded, as the baseline also serves requests that timed out.
            await asyncio.wait_for(asyncio.shield(waiter.granted), _DEADLINE)
        except _DisplacedError:
            outcomes.refusal_times.append(loop.time() - began)
            return
        except TimeoutError:
            outcomes.refusal_times.append(loop.time() - began)
            if isinstance(self._queue, _BoundedFairQueue):
                waiter.granted.cancel()
                return
            await waiter.granted
        await asyncio.sleep(seconds)
        self._free += 1
        self._grant()
        latency = loop.time() - began
        outcomes.latencies.append(latency)
        outcomes.in_time += latency <= _DEADLINE

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
    queue: _FifoQueue | _BoundedFairQueue,
    rates: dict[str, float],
    work: WorkClass,
    seed: int,
) -> dict[str, _Outcomes]:
    server = _Server(queue)
    outcomes = {partner: _Outcomes() for partner in rates}
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task] = []

    async def send(partner: str, rate: float) -> None:
        rng = random.Random(f"{seed}/{partner}")
        at = loop.time()
        end = at + _ARRIVAL_SECONDS
        while at < end:
            at += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            seconds = rng.expovariate(1 / _MEAN_SECONDS)
            one = server.serve(partner, work, seconds, outcomes[partner])
            tasks.append(asyncio.create_task(one))

    await asyncio.gather(*(send(p, rate) for p, rate in rates.items()))
    _, unfinished = await asyncio.wait(tasks, timeout=2.0)
    for task in unfinished:
        task.cancel()
    return outcomes


@dataclass(frozen=True)
class _Case:
    """
    Parameters of a run.

    :param fair: Whether to use the daemon's queue.
    :param rates: Requests per second by partner.
    """

    fair: bool
    rates: tuple[tuple[str, float], ...]
    seed: int


def _run_case(case: _Case) -> dict[str, _Outcomes]:
    queue = _BoundedFairQueue(_CAPACITY) if case.fair else _FifoQueue()
    rates = dict(case.rates)
    return asyncio.run(_run(queue, rates, WorkClass.INTERACTIVE, case.seed))


def _run_all(cases: list[_Case]) -> dict[_Case, dict[str, _Outcomes]]:
    with ProcessPoolExecutor(_WORKERS) as pool:
        return dict(zip(cases, pool.map(_run_case, cases), strict=True))


def _rates(each: float, flood_factor: float = 1.0) -> tuple[tuple[str, float], ...]:
    first, *others = _PARTNERS
    return ((first, each * flood_factor), *((partner, each) for partner in others))


def measure_overload(seed: int = 1) -> list[tuple]:
    """
    Measure goodput at a load of 1, 2 and 5 times the capacity.

    :returns: Rows of load factor, queue, goodput as a share of capacity, and the 99th
        percentile of the time to a refusal in ms.
    """
    capacity = _SLOTS / _MEAN_SECONDS
    cases = [
        _Case(fair, _rates(capacity * factor / len(_PARTNERS)), seed)
        for factor in (1.0, 2.0, 5.0)
        for fair in (False, True)
    ]
    rows = []
    for case, outcomes in _run_all(cases).items():
        in_time = sum(o.in_time for o in outcomes.values()) / (
            capacity * _ARRIVAL_SECONDS
        )
        refused = sorted(t for o in outcomes.values() for t in o.refusal_times)
        slowest = refused[int(len(refused) * 0.99)] * 1000 if refused else 0.0
        factor = sum(rate for _, rate in case.rates) / capacity
        rows.append((factor, _QUEUE_NAMES[case.fair], in_time, slowest))
    head = ("load", "queue", "goodput / capacity", "refusal p99 ms")
    print_table("overload: answered within 0.5 s", head, rows)
    plot_bars(
        PLOTS / "overload.svg",
        "Answered within the deadline, as a share of capacity",
        "share",
        [f"{row[0]:.0f}x load" for row in rows[::2]],
        {name: [r[2] for r in rows if r[1] == name] for name in _QUEUE_NAMES},
    )
    return rows


def measure_fairness(seeds: tuple[int, ...] = (1, 2, 3)) -> list[tuple]:
    """
    Measure the effect of a partner at ten times its share on the others.

    :returns: Rows of seed, queue, the others' share of requests answered in time
        without and with the overload, and the relative loss.
    """
    share = 0.8 * _SLOTS / _MEAN_SECONDS / len(_PARTNERS)
    normal, flooded = _rates(share), _rates(share, 10.0)
    cases = [
        _Case(fair, rates, seed)
        for seed in seeds
        for fair in (False, True)
        for rates in (normal, flooded)
    ]
    results = _run_all(cases)
    rows = []
    for seed in seeds:
        for fair in (False, True):
            before = _others_answered(results[_Case(fair, normal, seed)])
            during = _others_answered(results[_Case(fair, flooded, seed)])
            lost = 1 - during / before
            rows.append((seed, _QUEUE_NAMES[fair], before, during, lost))
    head = ("seed", "queue", "others before", "others during", "lost")
    print_table("one partner floods at ten times its share", head, rows)
    return rows


def _others_answered(outcomes: dict[str, _Outcomes]) -> float:
    others = [o for partner, o in outcomes.items() if partner != _PARTNERS[0]]
    return sum(o.in_time for o in others) / sum(o.requests for o in others)
