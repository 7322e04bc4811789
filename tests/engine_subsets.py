# SPDX-License-Identifier: MIT

"""
Measures the connections and the skew of ways to choose engines, by the pure functions.

Usage: ``python tests/engine_subsets.py``; prints the tables of
docs/design/connections.md.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from statistics import fmean

from saddledoor import (
    Candidate,
    RoutingPolicy,
    least_outstanding,
    least_outstanding_rendezvous,
    rendezvous_order,
)


__all__ = ["POLICIES", "Result", "moved_pairs", "simulate"]

#: Slots of an engine; mean time of a request and length of a play, in seconds; share of
#: the requests that are hedged, and the time after which, in seconds.
_SLOTS, _MEAN, _LENGTH = 6, 0.08, 90.0
_HEDGED, _HEDGE_AFTER = 0.05, 0.1
#: Size of the subsets of deterministic subsetting.
_SUBSET = 3

#: Returns the policy of the VM with a number among a number of VMs and of engines.
_Maker = Callable[[int, int, Mapping[str, str]], RoutingPolicy]


@dataclass(frozen=True)
class Result:
    """
    Outcome of one play.

    :param per_request: New connections per request.
    :param skew: Requests of the busiest engine over the mean.
    :param other_centre: Share of the hedges that went to another data centre than the
        first attempt.
    """

    per_request: float
    skew: float
    other_centre: float


def subset_of(vm: int, engines: list[str], size: int = _SUBSET) -> list[str]:
    """
    Return a VM's engines by deterministic subsetting.

    Source: Beyer et al., "Site Reliability Engineering", chapter 20. Needs the VM's
    number among all VMs, which all VMs must agree on.
    """
    count = max(1, len(engines) // size)
    shuffled = sorted(engines)
    Random(vm // count).shuffle(shuffled)
    start = vm % count * size
    return shuffled[start : start + size]


def _deterministic(vm: int, _: int, engines: Mapping[str, str]) -> RoutingPolicy:
    subset = subset_of(vm, list(engines))
    spread = least_outstanding(Random(vm).random)

    def choose(candidates):
        own = [c for c in candidates if c.name in subset]
        return spread(own or candidates)

    return choose


def _deterministic_in_order(
    vm: int, _: int, engines: Mapping[str, str]
) -> RoutingPolicy:
    subset = subset_of(vm, list(engines))
    rank = {name: place for place, name in enumerate(subset)}

    def choose(candidates):
        return min(
            candidates, key=lambda c: (c.own / c.slots, rank.get(c.name, len(rank)))
        )

    return choose


POLICIES: dict[str, _Maker] = {
    "ties at random": lambda vm, _, __: least_outstanding(Random(vm).random),
    "rendezvous": lambda vm, _, __: least_outstanding_rendezvous(f"vm-{vm}"),
    "deterministic, random in it": _deterministic,
    "deterministic, in order": _deterministic_in_order,
}


def make_engines(count: int) -> dict[str, str]:
    """
    Return the data centres of engines in four data centres.
    """
    return {f"e-{n}": f"dc-{n % 4}" for n in range(count)}


class _Connections:
    """
    The connections of one VM to one engine.
    """

    def __init__(self, keep_alive: float) -> None:
        self._keep_alive = keep_alive
        self._idle: list[float] = []

    def take(self, now: float) -> bool:
        """
        Use the connection that is idle for longest; return whether a new one is needed.
        """
        self._idle = [at for at in self._idle if now - at <= self._keep_alive]
        if not self._idle:
            return True
        self._idle.pop(0)
        return False

    def give_back(self, now: float) -> None:
        self._idle.append(now)


def simulate(
    make: _Maker,
    vms: int,
    engine_count: int,
    rate: float,
    keep_alive: float = 15.0,
    keeps_losers: bool = False,
    spreads: bool = True,
    seed: int = 7,
) -> Result:
    """
    Play requests that arrive at random at each VM.

    :param rate: Requests per second of each VM.
    :param keep_alive: Time after which an idle connection is closed, in seconds.
    :param keeps_losers: Whether the connection of a hedge's loser is kept.
    :param spreads: Whether the policy is told which data centres were tried.
    """
    rng = Random(seed)
    engines = make_engines(engine_count)
    served: Counter[str] = Counter()
    opened = requests = hedges = crossed = 0
    for vm in range(vms):
        choose = make(vm, vms, engines)
        own: Counter[str] = Counter()
        links = defaultdict(lambda: _Connections(keep_alive))
        ends: list[tuple[float, str, bool]] = []

        def advance(now: float, ends=ends, own=own, links=links) -> None:
            while ends and ends[0][0] <= now:
                at, name, is_kept = heapq.heappop(ends)
                own[name] -= 1
                if is_kept:
                    links[name].give_back(at)

        def start(now: float, tried: set[str], choose=choose, own=own, links=links):
            name = choose(
                [
                    Candidate(
                        name,
                        _SLOTS,
                        own[name],
                        is_centre_tried=spreads
                        and centre in {engines[e] for e in tried},
                    )
                    for name, centre in engines.items()
                    if name not in tried
                ]
            ).name
            own[name] += 1
            served[name] += 1
            return name, links[name].take(now)

        now = rng.expovariate(rate)
        while now < _LENGTH:
            advance(now)
            requests += 1
            first, is_new = start(now, set())
            opened += is_new
            duration = rng.expovariate(1 / _MEAN)
            if rng.random() < _HEDGED:
                hedges += 1
                second, is_new = start(now, {first})
                opened += is_new
                crossed += engines[second] != engines[first]
                end = now + _HEDGE_AFTER + duration
                heapq.heappush(ends, (end, second, True))
                heapq.heappush(ends, (end, first, keeps_losers))
            else:
                heapq.heappush(ends, (now + duration, first, True))
            now += rng.expovariate(rate)
    mean = sum(served.values()) / engine_count
    return Result(
        opened / requests, max(served.values()) / mean, crossed / max(1, hedges)
    )


def moved_pairs(vms: int, engine_count: int) -> dict[str, tuple[float, float]]:
    """
    Return the share of VMs whose first three engines change when an engine leaves, and
    when a VM leaves, by way of choosing.
    """
    engines = make_engines(engine_count)
    fewer = {name: dc for name, dc in engines.items() if name != "e-0"}

    def by_rendezvous(vm: int, known: Mapping[str, str]) -> set[str]:
        return set(rendezvous_order(f"vm-{vm}", known)[:_SUBSET])

    def by_number(vm: int, known: Mapping[str, str]) -> set[str]:
        return set(subset_of(vm, list(known)))

    def moved(choose, shift: int, known: Mapping[str, str]) -> float:
        return fmean(
            choose(vm, engines) != choose(vm - shift, known) for vm in range(1, vms)
        )

    return {
        "rendezvous": (moved(by_rendezvous, 0, fewer), 0.0),
        "deterministic": (moved(by_number, 0, fewer), moved(by_number, 1, engines)),
    }


def main() -> None:
    """
    Print the tables.
    """
    print("| VMs, engines, rate | way | connections a request | skew | other centre |")
    print("|---|---|---|---|---|")
    for vms, count in ((80, 9), (80, 27), (200, 14), (200, 40)):
        for rate in (0.1, 1.0):
            for name, make in POLICIES.items():
                results = [simulate(make, vms, count, rate, seed=s) for s in (7, 8)]
                print(
                    f"| {vms}, {count}, {rate} | {name} "
                    f"| {fmean(r.per_request for r in results):.3f} "
                    f"| {fmean(r.skew for r in results):.2f} "
                    f"| {fmean(r.other_centre for r in results):.2f} |",
                    flush=True,
                )
    make = POLICIES["rendezvous"]
    print("\n| idle timeout s, loser kept | rate | connections a request |")
    print("|---|---|---|")
    for rate in (0.1, 1.0):
        for keep_alive in (5.0, 15.0, 30.0, 60.0):
            for keeps in (False, True):
                result = simulate(make, 80, 9, rate, keep_alive, keeps)
                told = f"| {keep_alive:.0f}, {keeps} | {rate} "
                print(f"{told}| {result.per_request:.3f} |", flush=True)
    print("\n| VMs, engines, rate | hedge told of data centres | other centre |")
    print("|---|---|---|")
    for spreads in (False, True):
        result = simulate(make, 80, 9, 1.0, spreads=spreads)
        print(f"| 80, 9, 1.0 | {spreads} | {result.other_centre:.2f} |")
    print("\n| VMs, engines | way | moved by an engine | moved by a VM |")
    print("|---|---|---|---|")
    for vms, count in ((80, 9), (200, 14)):
        for name, (engine, vm) in moved_pairs(vms, count).items():
            print(f"| {vms}, {count} | {name} | {engine:.2f} | {vm:.2f} |")


if __name__ == "__main__":
    main()
