# SPDX-License-Identifier: MIT

"""
Choice of engine: compares routing policies with simple baselines.

Engines are simulated in this process by slots with a queue. Nodes know their own
requests in flight and receive delayed load reports. Arrivals and lengths are drawn from
the same seed for every policy.
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
_MEAN_SECONDS = 0.08
#: Time during which requests arrive, in seconds.
_ARRIVAL_SECONDS = 6.0

#: The first three are the baselines, the last is the daemon's policy.
POLICIES: dict[str, Callable[[random.Random], RoutingPolicy]] = {
    "random": lambda rng: uniform(rng.random),
    "round robin": lambda rng: round_robin(),
    "least reported": lambda rng: least_reported(),
    "two choices": lambda rng: two_choices(rng.random, _MEAN_SECONDS),
    "least outstanding": lambda rng: least_outstanding(rng.random),
}


@dataclass(frozen=True)
class Case:
    """
    Parameters of a run.

    :param policy: Name of the policy.
    :param load: Arriving work as a share of the engines' capacity.
    :param lag: Interval and delay of the load reports that nodes receive, in seconds.
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
    A router that knows its own requests in flight and delayed load reports.
    """

    def __init__(self, engines: list[_Engine], case: Case, number: int) -> None:
        self._engines = engines
        self._case = case
        self._choose = POLICIES[case.policy](random.Random(case.seed * 100 + number))
        self._in_flight = [0] * len(engines)
        self.reports = [0] * len(engines)

    async def serve(self, seconds: float) -> None:
        candidates = [
            Candidate(
                str(i), _SLOTS, self._in_flight[i], self.reports[i], self._case.lag / 2
            )
            for i in range(len(self._engines))
        ]
        index = int(self._choose(candidates).name)
        self._in_flight[index] += 1
        await self._engines[index].work(seconds)
        self._in_flight[index] -= 1


async def _run(case: Case) -> list[float]:
    rng = random.Random(case.seed)
    engines = [_Engine(case.slow if i == 0 else 1.0) for i in range(_ENGINES)]
    nodes = [_Node(engines, case, number) for number in range(_NODES)]
    loop = asyncio.get_running_loop()
    latencies: list[float] = []

    async def report() -> None:
        while True:
            seen = [engine.load for engine in engines]
            await asyncio.sleep(case.lag)
            for node in nodes:
                node.reports = seen

    async def serve_one(node: _Node, seconds: float) -> None:
        began = loop.time()
        await node.serve(seconds)
        latencies.append(loop.time() - began)

    reporter = asyncio.create_task(report())
    rate = case.load * _ENGINES * _SLOTS / _MEAN_SECONDS
    end = loop.time() + _ARRIVAL_SECONDS
    at = loop.time()
    tasks = []
    while at < end:
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, at - loop.time()))
        node = nodes[rng.randrange(_NODES)]
        tasks.append(
            asyncio.create_task(serve_one(node, rng.expovariate(1 / _MEAN_SECONDS)))
        )
    await asyncio.wait(tasks, timeout=4.0)
    reporter.cancel()
    # Unfinished requests are counted with the time limit above.
    latencies += [4.0] * sum(1 for task in tasks if not task.done())
    return latencies


def run_case(case: Case) -> tuple[float, float]:
    """
    Run a case.

    :returns: Median and 99th percentile of the latency, in seconds.
    """
    latencies = sorted(asyncio.run(_run(case)))
    return statistics.median(latencies), latencies[int(len(latencies) * 0.99)]


def routing(workers: int = 4) -> dict[Case, tuple[float, float]]:
    """
    Run every policy at several loads and lags and with a slow engine; print a table.
    """
    cases = [
        Case(policy, load, lag)
        for load in (0.5, 0.8, 0.95)
        for lag in (0.1, 1.0, 5.0)
        for policy in POLICIES
    ]
    cases += [Case(policy, 0.8, 1.0, slow=4.0) for policy in POLICIES]
    # Other seeds of one case, to show the variation.
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
        percentiles = [results[Case(p, load, lag, slow, seed)][1] for p in POLICIES]
        best_baseline = min(percentiles[:3])
        engine = "one 4x slower" if slow > 1 else "all alike"
        ratio = percentiles[-1] / best_baseline
        rows.append((load, lag, engine, seed, *(p * 1000 for p in percentiles), ratio))
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
