# SPDX-License-Identifier: MIT

"""
Routing policies: functions that choose one of several candidate back ends.
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

    :param slots: Number of requests that the back end runs concurrently.
    :param own: Number of requests that this node has in flight there.
    :param reported: Number of requests that the back end reported.
    :param age: Age of that report, in seconds.
    :param is_centre_tried: Whether another back end of its data centre has received the
        request.
    """

    name: str
    slots: int
    own: int
    reported: float = 0.0
    age: float = float("inf")
    is_centre_tried: bool = False


RoutingPolicy = Callable[[Sequence[Candidate]], Candidate]


def uniform(random: Callable[[], float]) -> RoutingPolicy:
    """
    Return a policy that chooses a candidate at random; a baseline.

    :param random: Returns numbers in [0, 1).
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        return candidates[int(random() * len(candidates))]

    return choose


def round_robin() -> RoutingPolicy:
    """
    Return a policy that chooses candidates in turn; a baseline.
    """
    turn = 0

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return choose


def least_reported() -> RoutingPolicy:
    """
    Return a policy that uses reported load only; a baseline.

    All nodes choose the same candidate while reports are old.
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        return min(candidates, key=lambda c: c.reported / c.slots)

    return choose


def least_outstanding(random: Callable[[], float]) -> RoutingPolicy:
    """
    Return a policy that chooses the candidate with the fewest requests of this node in
    flight, relative to its slots.

    A node's own count is exact and up to date, so nodes do not all choose the same
    candidate. Ties, which are common at low load, are broken at random.
    Source: the least-outstanding-requests policy of load balancers; the reasons for it
    are in docs/design/choice-of-engine.md.

    :param random: Returns numbers in [0, 1).
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        least = min(candidate.own / candidate.slots for candidate in candidates)
        ties = [c for c in candidates if c.own / c.slots <= least]
        return ties[int(random() * len(ties))]

    return choose


def least_outstanding_rendezvous(node: str) -> RoutingPolicy:
    """
    Return the policy `least_outstanding` with ties broken by rendezvous order.

    Most nodes of a large deployment have at most one request in flight. With random
    ties, each node would open connections to all engines; with a fixed order it uses
    few of them. The orders of the nodes differ, so the load is spread evenly.

    A hedge or a retry goes to the first engine of the order that is in another data
    centre than those tried, so a node's subset has engines of two data centres.
    Measured in docs/design/connections.md.

    :param node: Name of this node; it stays the same across restarts.
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate:
        least = min(candidate.own / candidate.slots for candidate in candidates)
        ties = {c.name: c for c in candidates if c.own / c.slots <= least}
        order = rendezvous_order(node, ties)
        return ties[min(order, key=lambda name: ties[name].is_centre_tried)]

    return choose


def two_choices(random: Callable[[], float], half_life: float = 1.0) -> RoutingPolicy:
    """
    Return a policy that compares two random candidates; a baseline.

    A candidate's load is the number of this node's requests in flight there plus the
    reported load of others, discounted by the report's age.
    Source: Mitzenmacher, "The power of two choices in randomized load balancing".

    :param random: Returns numbers in [0, 1).
    :param half_life: Age at which a report's weight is one half, in seconds.
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
    Return the nodes by descending random weight; the order is the same on every node.

    Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous".
    """

    def weight(node: str) -> bytes:
        return hashlib.blake2b(f"{key}\x00{node}".encode(), digest_size=8).digest()

    return sorted(nodes, key=weight, reverse=True)


def rendezvous(key: str, nodes: Iterable[str]) -> str | None:
    """
    Return the node that is responsible for a key, or none without nodes.
    """
    order = rendezvous_order(key, nodes)
    return order[0] if order else None
