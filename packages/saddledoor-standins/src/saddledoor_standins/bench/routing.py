# SPDX-License-Identifier: MIT

"""
Choice of engine: each policy against the plain baselines, on the same small engines.

Engines are queues with slots in this process; nodes see their own work at once and
reports that lag. Arrivals and lengths come from one seed, the same for every policy.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from saddledoor import (
    Candidate,
    RoutingPolicy,
    least_outstanding,
    least_reported,
    round_robin,
    two_choices,
    uniform,
)

from ._table import PLOTS, print_table
from .plots import plot_bars


__all__ = ["Case", "run_case", "routing"]

_ENGINES = 12
_SLOTS = 4
_NODES = 4
#: Mean work of a request, in seconds.
_WORK = 0.08
#: How long requests arrive, in seconds.
_SECONDS = 6.0

POLICIES: dict[str, Callable[[random.Random], RoutingPolicy]] = {
    "random": lambda chance: uniform(chance.random),
    "round robin": lambda chance: round_robin(),
    "least reported": lambda chance: least_reported(),
    "two choices": lambda chance: two_choices(chance.random, _WORK),
    "least outstanding": lambda chance: least_outstanding(chance.random),
}


@dataclass(frozen=True)
class Case:
    """
    One run.

    :param load: Share of the engines' capacity that arrives.
    :param lag: Age of the reports that nodes see, in seconds.
    :param slow: Factor by which one engine is slower.
    """

    policy: str
    load: float
    lag: float
    slow: float = 1.0
    seed: int = 1


class _Engine:
    def __init__(self, slow: float) -> None:
        self.slow = slow
        self.load = 0
        self._slots = asyncio.Semaphore(_SLOTS)

    async def work(self, seconds: float) -> None:
        self.load += 1
        async with self._slots:
            await asyncio.sleep(seconds * self.slow)
        self.load -= 1


class _Node:
    """
    A router's own view: its work in flight, and reports as old as the lag.
    """

    def __init__(self, engines: list[_Engine], case: Case, number: int) -> None:
        self._engines = engines
        self._case = case
        self._choose = POLICIES[case.policy](random.Random(case.seed * 100 + number))
        self._own = [0] * len(engines)
        self.reports = [0] * len(engines)

    async def serve(self, seconds: float) -> None:
        candidates = [
            Candidate(str(i), _SLOTS, self._own[i], self.reports[i], self._case.lag / 2)
            for i in range(len(self._engines))
        ]
        index = int(self._choose(candidates).name)
        self._own[index] += 1
        await self._engines[index].work(seconds)
        self._own[index] -= 1


async def _run(case: Case) -> list[float]:
    chance = random.Random(case.seed)
    engines = [_Engine(case.slow if i == 0 else 1.0) for i in range(_ENGINES)]
    nodes = [_Node(engines, case, number) for number in range(_NODES)]
    loop = asyncio.get_running_loop()
    taken: list[float] = []

    async def report() -> None:
        while True:
            seen = [engine.load for engine in engines]
            await asyncio.sleep(case.lag)
            for node in nodes:
                node.reports = seen

    async def one(node: _Node, seconds: float) -> None:
        began = loop.time()
        await node.serve(seconds)
        taken.append(loop.time() - began)

    reporter = asyncio.create_task(report())
    rate = case.load * _ENGINES * _SLOTS / _WORK
    end = loop.time() + _SECONDS
    at = loop.time()
    begun = []
    while at < end:
        at += chance.expovariate(rate)
        await asyncio.sleep(max(0.0, at - loop.time()))
        node = nodes[chance.randrange(_NODES)]
        begun.append(asyncio.create_task(one(node, chance.expovariate(1 / _WORK))))
    await asyncio.wait(begun, timeout=4.0)
    reporter.cancel()
    # What has not ended counts as long as it has waited.
    taken += [4.0] * sum(1 for task in begun if not task.done())
    return taken


def run_case(case: Case) -> tuple[float, float]:
    """
    Run a case.

    :returns: Median and 99th percentile of the time in the system, in seconds.
    """
    taken = sorted(asyncio.run(_run(case)))
    return statistics.median(taken), taken[int(len(taken) * 0.99)]


def routing(workers: int = 4) -> dict[Case, tuple[float, float]]:
    """
    Run every policy under loads, lags and a slow engine; print ratios to random.
    """
    cases = [
        Case(policy, load, lag)
        for load in (0.5, 0.8, 0.95)
        for lag in (0.1, 1.0, 5.0)
        for policy in POLICIES
    ]
    cases += [Case(policy, 0.8, 1.0, slow=4.0) for policy in POLICIES]
    # The spread: the case that the docs quote, with other seeds.
    cases += [
        Case(policy, 0.95, 1.0, seed=seed) for seed in (2, 3) for policy in POLICIES
    ]
    with ProcessPoolExecutor(workers) as pool:
        results = dict(zip(cases, pool.map(run_case, cases), strict=True))
    _print(results)
    return results


def _print(results: dict[Case, tuple[float, float]]) -> None:
    keys = {(c.load, c.lag, c.slow, c.seed): None for c in results}
    rows = []
    for load, lag, slow, seed in keys:
        own = [results[Case(p, load, lag, slow, seed)][1] for p in POLICIES]
        best_baseline = min(own[:3])
        engine = "one 4x slower" if slow > 1 else "all alike"
        ratio = own[-1] / best_baseline
        rows.append((load, lag, engine, seed, *(p * 1000 for p in own), ratio))
    head = ("load", "lag s", "engines", "seed", *POLICIES, "ratio")
    title = "choice of engine: 99th percentile, ms; ratio to the best baseline"
    print_table(title, head, rows)
    shown = [row for row in rows if row[3] == 1]
    plot_bars(
        PLOTS / "choice-of-engine.svg",
        "Choice of engine: 99th percentile",
        "ms",
        [
            f"{row[0]:.0%}\n{row[1]:g} s" + ("\nslow" if "x" in row[2] else "")
            for row in shown
        ],
        {name: [row[4 + i] for row in shown] for i, name in enumerate(POLICIES)},
    )
