# SPDX-License-Identifier: MIT

"""
Distributes the engines of a service over data centres.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ._limits import ScalingLimits


__all__ = [
    "EngineGroup",
    "GroupBounds",
    "group_price",
    "spread_engines",
    "spread_quality",
    "total_price",
]


class EngineGroup(NamedTuple):
    """
    The engines of one kind in one data centre, which are ordered together.
    """

    data_centre: str
    is_spot: bool = False


@dataclass(frozen=True)
class GroupBounds:
    """
    What a distribution must respect besides the limits of the configuration.

    :param lowest: Least number of engines by group.
    :param highest: Largest number of engines of the groups that cannot grow.
    :param evacuated: Data centres whose engines get no work.
    """

    lowest: Mapping[EngineGroup, int] = field(default_factory=dict)
    highest: Mapping[EngineGroup, int] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()


def group_price(group: EngineGroup, limits: ScalingLimits) -> float:
    """
    Return the price of one engine of a group.
    """
    price = limits.prices.get(group.data_centre, 1.0)
    return price * limits.spot_price if group.is_spot else price


def total_price(counts: Mapping[EngineGroup, int], limits: ScalingLimits) -> float:
    """
    Return the price of all engines.
    """
    return sum(n * group_price(group, limits) for group, n in counts.items())


def spread_quality(
    counts: Mapping[EngineGroup, int], need: int, evacuated: frozenset[str]
) -> tuple[int, int, int]:
    """
    Return how much of a need a distribution covers: with all its engines, after the
    loss of any one data centre, and without spot engines; each at most the need.
    """
    totals = _usable_totals(counts, evacuated)
    total = sum(totals.values())
    on_demand = sum(
        n
        for group, n in counts.items()
        if not group.is_spot and group.data_centre not in evacuated
    )
    left = total - max(totals.values(), default=0)
    return min(need, total), min(need, left), min(need, on_demand)


def spread_engines(
    need: int, limits: ScalingLimits, bounds: GroupBounds
) -> dict[EngineGroup, int]:
    """
    Return the cheapest distribution that covers a need as well as possible.

    The need is covered if that many engines are left after the loss of any one data
    centre, and that many are no spot engines. Engines in evacuated data centres do not
    count and are not added.

    Each largest number of engines in a data centre is tried in turn: where a data
    centre has at most ``cap`` engines, ``need + cap`` are enough, and the cheapest
    choice takes the cheapest data centres first.
    """
    base = _raise_to_minimum(limits, bounds)
    totals = _usable_totals(base, bounds.evacuated)
    smallest = max(totals.values(), default=0)
    largest = max(smallest, min(need, limits.maximum))
    candidates = [
        _fill(base, need, cap, limits, bounds) for cap in range(smallest, largest + 1)
    ]

    def rank(counts: dict[EngineGroup, int]) -> tuple:
        quality = spread_quality(counts, need, bounds.evacuated)
        return (*quality, -total_price(counts, limits))

    return max(candidates, key=rank)


def _usable_totals(
    counts: Mapping[EngineGroup, int], evacuated: frozenset[str]
) -> dict[str, int]:
    totals: dict[str, int] = {}
    for group, n in counts.items():
        if group.data_centre not in evacuated:
            totals[group.data_centre] = totals.get(group.data_centre, 0) + n
    return totals


def _raise_to_minimum(
    limits: ScalingLimits, bounds: GroupBounds
) -> dict[EngineGroup, int]:
    counts = dict(bounds.lowest)
    for name in sorted(limits.prices):
        if name in bounds.evacuated:
            continue
        group = EngineGroup(name)
        spot = counts.get(EngineGroup(name, is_spot=True), 0)
        wanted = max(counts.get(group, 0), limits.minimum - spot)
        wanted = min(wanted, bounds.highest.get(group, wanted))
        counts[group] = max(counts.get(group, 0), wanted)
    return counts


def _fill(
    base: Mapping[EngineGroup, int],
    need: int,
    cap: int,
    limits: ScalingLimits,
    bounds: GroupBounds,
) -> dict[EngineGroup, int]:
    """
    Add engines, cheapest first, with at most ``cap`` in a data centre.
    """
    counts = dict(base)
    totals = _usable_totals(base, bounds.evacuated)
    on_demand = spread_quality(base, need, bounds.evacuated)[2]
    groups = [
        EngineGroup(name, is_spot)
        for name in sorted(limits.prices)
        if name not in bounds.evacuated
        for is_spot in ((False, True) if limits.spot_price < 1.0 else (False,))
    ]
    groups.sort(key=lambda group: group_price(group, limits))

    def add(group: EngineGroup, missing: int) -> int:
        name = group.data_centre
        room = min(cap, limits.maximum) - totals.get(name, 0)
        if group in bounds.highest:
            room = min(room, bounds.highest[group] - counts.get(group, 0))
        added = max(0, min(room, missing))
        if added:
            counts[group] = counts.get(group, 0) + added
            totals[name] = totals.get(name, 0) + added
        return added

    missing = need - on_demand
    for group in groups:
        if not group.is_spot:
            missing -= add(group, missing)
    missing = need + cap - sum(totals.values())
    for group in groups:
        missing -= add(group, missing)
    return counts
