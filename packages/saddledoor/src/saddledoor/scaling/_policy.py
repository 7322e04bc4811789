# SPDX-License-Identifier: MIT

"""
Decides the number of engines to order, by data centre and kind.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._census import Census
from ._demand import Demand
from ._limits import ScalingLimits
from ._spread import (
    EngineGroup,
    GroupBounds,
    group_price,
    spread_engines,
    spread_quality,
    total_price,
)


__all__ = ["ScalingInputs", "ScalingState", "decide_scaling", "orders_due"]

#: Share of the slots that should be in use. The other half takes the difference between
#: the mean and the peaks of the trainers' jobs.
_TARGET_USE = 0.5
#: Time throughout which less must be wanted before engines are given back, in seconds.
_LESS_WANTED_TIME = 20.0
#: Time after a loss of engines in which none are given back, in seconds.
_DISTURBANCE_TIME = 10.0
#: Least saving for which engines are given back in one place and ordered in another, as
#: a share of the price: each move costs a boot and texts that move.
_MIN_SAVING = 0.05


#: Times, monotonic, in seconds, and values.
_Peaks = tuple[tuple[float, int], ...]


@dataclass(frozen=True)
class ScalingInputs:
    """
    What a decision is based on.

    :param now: Monotonic, in seconds.
    :param closed: Groups that refused an order or whose engines were taken away.
    :param evacuated: Data centres whose engines get no work.
    :param keeps_present: Whether engines must not be given back, since the service also
        gets plain requests, whose demand is not measured.
    :param is_fixed: Whether the operator holds the count.
    :param is_fresh: Whether the log and the registry have been read without an outage
        for long enough to give engines back.
    """

    now: float
    limits: ScalingLimits
    census: Census
    demand: Demand = field(default_factory=Demand)
    closed: frozenset[EngineGroup] = frozenset()
    evacuated: frozenset[str] = frozenset()
    keeps_present: bool = False
    is_fixed: bool = False
    is_fresh: bool = True


@dataclass(frozen=True)
class ScalingState:
    """
    The count in force and what the next decision needs to know.

    :param wanted: Engines wanted by group.
    :param need: Engines that must be left after the loss of any one data centre.
    :param shrinking: Groups from which an engine is to be given back and still seen.
    :param steady_since: Since when engines could have been given back and no more were
        wanted, monotonic, in seconds.
    :param peaks: Times and needs of the last 20 s, each above all later ones.
    :param busy_peaks: The same for the engines whose slots the open items fill.
    """

    wanted: Mapping[EngineGroup, int]
    need: int
    shrinking: frozenset[EngineGroup] = field(default_factory=frozenset)
    steady_since: float | None = None
    peaks: _Peaks = ()
    busy_peaks: _Peaks = ()

    @classmethod
    def from_census(cls, census: Census) -> ScalingState:
        """
        Return the state of a new holder, which keeps the engines that it sees.
        """
        present = dict(census.present)
        return cls(present, _covered_need(present, frozenset()))


def decide_scaling(state: ScalingState, inputs: ScalingInputs) -> ScalingState:
    """
    Return the next state.
    """
    state = _agree_with_seen(state, inputs)
    if inputs.is_fixed:
        return replace(state, steady_since=None)
    need = _needed(state, inputs)
    busy = math.ceil(inputs.demand.in_use / inputs.census.slots_per_engine)
    state = replace(
        state,
        need=need,
        peaks=_with_peak(state.peaks, need, inputs.now),
        busy_peaks=_with_peak(state.busy_peaks, busy, inputs.now),
    )
    bounds = GroupBounds(
        state.wanted, _ceilings(state.wanted, inputs), inputs.evacuated
    )
    grown = spread_engines(need, inputs.limits, bounds)
    if _counts(grown) != _counts(state.wanted):
        return replace(state, wanted=grown, steady_since=None)
    return _shrink(state, inputs)


def _counts(counts: Mapping[EngineGroup, int]) -> dict[EngineGroup, int]:
    return {group: n for group, n in counts.items() if n}


def _agree_with_seen(state: ScalingState, inputs: ScalingInputs) -> ScalingState:
    """
    Keep engines that were not expected, and give up those that cannot be had.
    """
    present = inputs.census.present
    may_shrink = _may_shrink(inputs)
    shrinking = {
        group
        for group in state.shrinking
        if may_shrink and present.get(group, 0) > state.wanted.get(group, 0)
    }
    wanted = dict(state.wanted)
    for group in wanted.keys() | present.keys():
        n = present.get(group, 0)
        is_excess = n > wanted.get(group, 0) and group not in shrinking
        # The need is met in other groups until the pause is over.
        is_refused = n < wanted.get(group, 0) and group in inputs.closed
        if is_excess or (is_refused and not inputs.is_fixed):
            wanted[group] = n
    _drop_above_maximum(wanted, inputs)
    return replace(state, wanted=wanted, shrinking=frozenset(shrinking))


def _drop_above_maximum(wanted: dict[EngineGroup, int], inputs: ScalingInputs) -> None:
    """
    Replace no lost engine where more than the largest number were wanted.
    """
    for name in {group.data_centre for group in wanted}:
        groups = [EngineGroup(name), EngineGroup(name, is_spot=True)]
        excess = sum(wanted.get(g, 0) for g in groups) - inputs.limits.maximum
        for group in groups:
            missing = wanted.get(group, 0) - inputs.census.present.get(group, 0)
            if excess > 0 and missing > 0:
                wanted[group] -= min(excess, missing)
                excess -= min(excess, missing)


def _needed(state: ScalingState, inputs: ScalingInputs) -> int:
    """
    Return the number of engines that the work needs.

    While the use of slots is unknown, it is the last number known, or what the engines
    at the start cover.
    """
    used = inputs.demand.used
    if used is None or not inputs.census.slots:
        # Without slots, none are used, whatever the work.
        return state.need
    need = math.ceil(used / (_TARGET_USE * inputs.census.slots_per_engine))
    if inputs.keeps_present or not (inputs.demand.is_settled and _may_shrink(inputs)):
        return max(need, state.need)
    return need


def _with_peak(peaks: _Peaks, value: int, now: float) -> _Peaks:
    """
    Return the peaks of the last 20 s; the first is the largest.
    """
    higher = [
        (at, peak)
        for at, peak in peaks
        if peak > value and now - at < _LESS_WANTED_TIME
    ]
    return (*higher, (now, value))


def _ceilings(
    wanted: Mapping[EngineGroup, int], inputs: ScalingInputs
) -> dict[EngineGroup, int]:
    return {group: wanted.get(group, 0) for group in inputs.closed}


def _may_shrink(inputs: ScalingInputs) -> bool:
    is_quiet = inputs.now - inputs.census.disturbed_at > _DISTURBANCE_TIME
    return (
        inputs.is_fresh
        and is_quiet
        and inputs.demand.is_settled
        and not inputs.evacuated
        and not inputs.keeps_present
        and not inputs.is_fixed
    )


def _shrink(state: ScalingState, inputs: ScalingInputs) -> ScalingState:
    """
    Move towards the cheapest distribution, one engine for each data centre in a round.
    """
    if not _may_shrink(inputs):
        return replace(state, steady_since=None)
    wanted, limits = state.wanted, inputs.limits
    ceilings = _ceilings(wanted, inputs)
    # A data centre without a price cannot be ordered in; its engines stay.
    fixed = {g: n for g, n in wanted.items() if g.data_centre not in limits.prices}
    need = state.peaks[0][1]
    ideal = spread_engines(need, limits, GroupBounds(fixed, ceilings))
    saving = total_price(wanted, limits) - total_price(ideal, limits)
    since = inputs.now if state.steady_since is None else state.steady_since
    state = replace(state, steady_since=since)
    is_round_over = not state.shrinking and _counts(wanted) == _counts(
        inputs.census.seen
    )
    is_steady = inputs.now - since >= _LESS_WANTED_TIME
    if saving <= 0.0 or not is_steady or not is_round_over:
        return state
    return _next_round(state, ideal, limits)


def _next_round(
    state: ScalingState, ideal: Mapping[EngineGroup, int], limits: ScalingLimits
) -> ScalingState:
    """
    Return the state with the orders of the next round.

    :param ideal: The cheapest distribution for the largest need of the last 20 s.
    """
    need, busy = state.peaks[0][1], state.busy_peaks[0][1]
    wanted = dict(state.wanted)
    goal = spread_quality(ideal, need, frozenset())
    reduced: set[EngineGroup] = set()
    # The most expensive engines go first.
    excess = [g for g in wanted if wanted[g] > ideal.get(g, 0)]
    excess.sort(key=lambda g: (-total_price({g: 1}, limits), g))
    for group in excess:
        if any(group.data_centre == other.data_centre for other in reduced):
            continue
        fewer = {**wanted, group: wanted[group] - 1}
        in_place = sum(n for g, n in fewer.items() if g[0] == group.data_centre)
        quality = spread_quality(fewer, need, frozenset())
        is_enough = sum(fewer.values()) >= busy and all(
            ours >= theirs for ours, theirs in zip(quality, goal, strict=True)
        )
        if in_place >= limits.minimum and is_enough:
            wanted = fewer
            reduced.add(group)
    if reduced:
        return replace(state, wanted=wanted, shrinking=frozenset(reduced))
    price = total_price(wanted, limits)
    if price - total_price(ideal, limits) < _MIN_SAVING * price:
        return state
    # Replacements come before the engines that they replace are given back.
    for name in sorted(limits.prices):
        in_place = sum(n for g, n in wanted.items() if g.data_centre == name)
        for group in (EngineGroup(name), EngineGroup(name, is_spot=True)):
            missing = ideal.get(group, 0) - wanted.get(group, 0)
            if missing > 0 and in_place < limits.maximum:
                wanted[group] = wanted.get(group, 0) + 1
                break
    return replace(state, wanted=wanted)


def orders_due(
    state: ScalingState, inputs: ScalingInputs
) -> list[tuple[EngineGroup, int]]:
    """
    Return the groups whose engines differ from the count, and the number to order.

    No order names fewer engines than are present, except the one that gives an engine
    back.
    """
    present = inputs.census.present
    due = []
    for group, n in sorted(state.wanted.items()):
        is_less = group in state.shrinking and n < present.get(group, 0)
        is_more = n > present.get(group, 0)
        if group in inputs.closed or group.data_centre in inputs.evacuated:
            continue
        if group.data_centre in inputs.limits.prices and (is_less or is_more):
            due.append((group, n))
    # Missing engines come first, then the cheapest.
    due.sort(
        key=lambda order: (
            order[0] in state.shrinking,
            group_price(order[0], inputs.limits),
        )
    )
    return due


def _covered_need(counts: Mapping[EngineGroup, int], evacuated: frozenset[str]) -> int:
    """
    Return the largest need that a distribution covers.
    """
    return min(spread_quality(counts, sum(counts.values()), evacuated)[1:], default=0)
