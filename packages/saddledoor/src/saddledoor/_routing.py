# SPDX-License-Identifier: MIT

"""
Choice of a back end: policies are closures from candidates to a choice.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass


__all__ = [
    "Candidate",
    "RoutingPolicy",
    "least_outstanding",
    "least_reported",
    "least_outstanding_rendezvous",
    "rendezvous",
    "rendezvous_order",
    "round_robin",
    "two_choices",
    "uniform",
]


@dataclass(frozen=True)
class Candidate:
    """
    A back end that may take the request.

    :param slots: Requests it works on at once, a count.
    :param own: Requests that this node has in flight there, a count.
    :param reported: Load that the back end reported, a count of requests.
    :param age: Age of that report, in seconds.
    """

    name: str
    slots: int
    own: int
    reported: float = 0.0
    age: float = float("inf")


RoutingPolicy = Callable[[Sequence[Candidate]], Candidate]


def uniform(random: Callable[[], float]) -> RoutingPolicy:
    """
    Return a policy that takes any candidate; a baseline.

    :param random: Returns numbers in [0, 1).
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        return candidates[int(random() * len(candidates))]

    return choose


def round_robin() -> RoutingPolicy:
    """
    Return a policy that takes candidates in turn; a baseline.
    """
    turn = 0

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return choose


def least_reported() -> RoutingPolicy:
    """
    Return a policy that trusts reports alone; a baseline that herds when they lag.
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        return min(candidates, key=lambda c: c.reported / c.slots)

    return choose


def least_outstanding(random: Callable[[], float]) -> RoutingPolicy:
    """
    Return a policy that takes the candidate with the least of this node's own work.

    What the node itself has in flight is exact and never lags, so nodes do not herd;
    ties, which are many while little is in flight, are broken at random.
    Source: the least-outstanding-requests policy of load balancers; why it stands
    here is in docs/design/choice-of-engine.md.

    :param random: Returns numbers in [0, 1).
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        least = min(candidate.own / candidate.slots for candidate in candidates)
        ties = [c for c in candidates if c.own / c.slots <= least]
        return ties[int(random() * len(ties))]

    return choose


def least_outstanding_rendezvous(node: str) -> RoutingPolicy:
    """
    Return a policy that takes the candidate with the least of this node's own work, and
    of those alike the one that comes first in an order of the node's own.

    Most nodes of a large deployment have one request in flight at a time, if any. With
    ties broken at random each of them opens connections to all engines: 195 nodes that
    make 30 requests each before 14 engines opened 2,406 of them, and open 383 in their
    own orders. The orders differ, so that every engine is first for about as many
    nodes: the busiest engine has 1.2 times the mean.
    Whoever has more in flight spreads it as `least_outstanding` does.

    :param node: Names this node, also after a restart.
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        least = min(candidate.own / candidate.slots for candidate in candidates)
        ties = {c.name: c for c in candidates if c.own / c.slots <= least}
        return ties[rendezvous_order(node, ties)[0]]

    return choose


def two_choices(random: Callable[[], float], half_life: float = 1.0) -> RoutingPolicy:
    """
    Return a policy that compares two random candidates; a baseline.

    A candidate's load is this node's own work there plus the reported load,
    discounted by the report's age.
    Source: Mitzenmacher, "The power of two choices in randomized load balancing".

    :param random: Returns numbers in [0, 1).
    :param half_life: Age at which a report counts half, in seconds.
    """

    def load(candidate: Candidate) -> float:
        trust = 0.5 ** (candidate.age / half_life)
        others = max(0.0, candidate.reported - candidate.own)
        return (candidate.own + trust * others) / candidate.slots

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first = int(random() * len(candidates))
        second = int(random() * (len(candidates) - 1))
        second += second >= first
        return min(candidates[first], candidates[second], key=load)

    return choose


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """
    Return the nodes by highest random weight, the same order on every node.

    Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous".
    """

    def weight(node: str) -> bytes:
        return hashlib.blake2b(f"{key}\x00{node}".encode(), digest_size=8).digest()

    return sorted(nodes, key=weight, reverse=True)


def rendezvous(key: str, nodes: Iterable[str]) -> str | None:
    """
    Return the node that is responsible for a key, or none.
    """
    order = rendezvous_order(key, nodes)
    return order[0] if order else None
