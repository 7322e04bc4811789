# SPDX-License-Identifier: MIT

"""
Decisions on the number of engines of a service.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import replace

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from builders import make_engine_entry
from saddledoor.scaling import (
    Census,
    Demand,
    DemandMeter,
    EngineCensus,
    EngineGroup,
    GroupBounds,
    LeavingText,
    OrderRefusals,
    ScalingInputs,
    ScalingLimits,
    ScalingState,
    decide_scaling,
    orders_due,
    spread_engines,
    spread_quality,
    texts_to_move,
)


_PRICES = {"dc-a": 1.0, "dc-b": 0.8, "dc-c": 1.25, "dc-d": 0.9}
_LIMITS = ScalingLimits(1, 24, 4.0, 0.18, _PRICES)
#: Shrinking a history takes minutes and shows no more than the history does.
_PHASES = (Phase.explicit, Phase.reuse, Phase.generate)
_COUNTS = st.dictionaries(
    st.builds(EngineGroup, st.sampled_from(sorted(_PRICES)), st.booleans()),
    st.integers(0, 12),
)


def _group(name: str, is_spot: bool = False) -> EngineGroup:
    return EngineGroup(f"dc-{name}", is_spot)


def _census(counts, disturbed_at: float = float("-inf")) -> Census:
    slots = 4 * sum(counts.values())
    return Census(counts, counts, {}, frozenset(), slots, 4, disturbed_at)


def _inputs(counts, now: float = 0.0, used: float | None = None, **changes):
    demand = Demand(used, used is not None)
    fields = {"census": _census(counts), "demand": demand, **changes}
    return ScalingInputs(now, _LIMITS, **fields)


def _settle(counts, seconds: float = 240.0, **changes) -> list[ScalingState]:
    """
    Decide every 2 s while each order is carried out at once; return all states.
    """
    state = ScalingState.from_census(_census(counts))
    states = [state]
    now = 0.0
    while now < seconds:
        now += 2.0
        inputs = _inputs(dict(states[-1].wanted), now, **changes)
        states.append(decide_scaling(states[-1], inputs))
    return states


def _totals(counts) -> dict[str, int]:
    totals = dict.fromkeys(_PRICES, 0)
    for group, n in counts.items():
        totals[group.data_centre] += n
    return totals


@given(need=st.integers(0, 60))
def test_the_need_is_left_after_the_loss_of_any_data_centre(need):
    """
    Guards against engines concentrated where they are cheapest, and against spot
    engines among those that the work needs.
    """
    counts = spread_engines(need, _LIMITS, GroupBounds())
    totals = _totals(counts)
    assert sum(totals.values()) - max(totals.values()) >= need
    assert sum(n for group, n in counts.items() if not group.is_spot) >= need
    assert all(1 <= n <= 24 for n in totals.values())


def test_engines_are_ordered_in_cheap_data_centres_first():
    """
    Guards against an even distribution that ignores prices.
    """
    counts = spread_engines(12, _LIMITS, GroupBounds())
    on_demand = {g.data_centre: n for g, n in counts.items() if not g.is_spot and n}
    assert on_demand["dc-b"] == max(on_demand.values())
    assert on_demand["dc-c"] == 1


@given(need=st.integers(0, 200), lowest=_COUNTS, out=st.sets(st.sampled_from("abcd")))
@settings(deadline=None)
def test_no_distribution_is_below_min_or_above_max(need, lowest, out):
    """
    Guards against an order outside the limits, also if the need cannot be met.
    """
    evacuated = frozenset(f"dc-{name}" for name in out)
    bounds = GroupBounds(lowest, evacuated=evacuated)
    counts = spread_engines(need, _LIMITS, bounds)
    base = _totals(lowest)
    for name, n in _totals(counts).items():
        if name in evacuated:
            assert n == base[name]
        else:
            assert 1 <= n <= max(24, base[name])
    assert all(counts.get(group, 0) >= n for group, n in lowest.items())


@given(counts=_COUNTS, used=st.floats(0, 100))
@settings(deadline=None, max_examples=20, phases=_PHASES)
def test_the_count_settles_under_constant_work(counts, used):
    """
    Guards against oscillation: engines that are ordered and given back again and again.
    """
    states = _settle(counts, used=used)
    assert {str(state.wanted) for state in states[-20:]} == {str(states[-1].wanted)}
    need = math.ceil(used / 2)
    # The first decision only knows slots if there are engines.
    for state in states[2:]:
        assert spread_quality(state.wanted, need, frozenset()) == (need, need, need)


@given(counts=_COUNTS, used=st.floats(0, 100))
@settings(deadline=None, max_examples=20, phases=_PHASES)
def test_a_round_gives_back_at_most_one_engine_of_a_data_centre(counts, used):
    """
    Guards against giving back many engines at once because of a short lull.
    """
    states = _settle(counts, 120.0, used=used)
    for before, after in itertools.pairwise(states[1:]):
        lower = {
            name: n - _totals(after.wanted)[name]
            for name, n in _totals(before.wanted).items()
        }
        assert max(lower.values()) <= 1


def test_nothing_is_given_back_before_less_was_wanted_for_20_s():
    """
    Guards against giving engines back between two jobs of a trainer.
    """
    counts = spread_engines(18, _LIMITS, GroupBounds())
    state = ScalingState.from_census(_census(counts))
    for step in range(60):
        # The work returns once, 10 s after it ended.
        used = 36.0 if step == 20 else 4.0
        state = decide_scaling(state, _inputs(counts, step * 0.5, used=used))
        assert state.wanted == counts
    state = decide_scaling(state, _inputs(counts, 31.0, used=4.0))
    assert sum(state.wanted.values()) < sum(counts.values())


@pytest.mark.parametrize(
    "changes",
    [
        {"demand": Demand()},
        {"demand": Demand(1.0, is_settled=False)},
        {"is_fresh": False},
        {"keeps_present": True},
        {"is_fixed": True},
        {"evacuated": frozenset({"dc-a"})},
        {"disturbed": 1.0},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_an_incomplete_picture_gives_no_engine_back(changes):
    """
    Guards against the loss of engines that work: what is unknown is not absent.
    """
    counts = {_group(name): 6 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    changes = dict(changes)
    disturbed = changes.pop("disturbed", None)
    for step in range(200):
        now = step * 0.5
        inputs = _inputs(counts, now, used=1.0)
        inputs = replace(inputs, **changes)
        if disturbed is not None:
            inputs = replace(inputs, census=_census(counts, now - disturbed))
        state = decide_scaling(state, inputs)
        assert all(state.wanted[group] >= n for group, n in counts.items())
        assert all(n > counts.get(group, 0) for group, n in orders_due(state, inputs))


def test_more_is_ordered_at_once_when_the_work_needs_it():
    """
    Guards against a wait of 20 s before more engines are ordered.
    """
    counts = {_group(name): 2 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    inputs = _inputs(counts, used=40.0)
    state = decide_scaling(state, inputs)
    assert spread_quality(state.wanted, 20, frozenset()) == (20, 20, 20)
    assert all(n > counts.get(group, 0) for group, n in orders_due(state, inputs))


def test_the_open_work_keeps_its_engines():
    """
    Guards against giving back engines whose slots are all in use, because the mean over
    two intervals is low.
    """
    counts = {_group(name): 6 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    totals = []
    for step in range(200):
        demand = Demand(2.0, True, in_use=72)
        inputs = _inputs(dict(state.wanted), step * 0.5, demand=demand)
        state = decide_scaling(state, inputs)
        totals.append(sum(state.wanted.values()))
    assert min(totals) == 18


def test_slots_that_are_full_for_a_moment_need_no_more_engines():
    """
    Guards against a count that rises with each job, up to the largest number.
    """
    counts = {_group(name): 6 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    for step in range(20):
        demand = Demand(16.0, True, in_use=96)
        state = decide_scaling(state, _inputs(counts, step * 0.5, demand=demand))
    assert state.wanted == counts


def test_reclaimed_spot_engines_are_replaced_elsewhere_at_once():
    """
    Guards against an order for spot engines where none can be had.
    """
    counts = {_group(name): 3 for name in "abc"} | {_group("d", True): 3}
    state = ScalingState.from_census(_census(counts))
    assert state.need == 9
    left = {group: n for group, n in counts.items() if not group.is_spot}
    inputs = _inputs(left, 1.0, closed=frozenset({_group("d", True)}))
    state = decide_scaling(state, inputs)
    assert spread_quality(state.wanted, 9, frozenset()) == (9, 9, 9)
    assert _group("d", True) not in dict(orders_due(state, inputs))
    assert orders_due(state, inputs)


def test_the_need_stays_while_all_engines_are_gone():
    """
    Guards against a need of 0 because no slot is in use where there is none.
    """
    counts = {_group(name): 3 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    closed = frozenset(counts)
    state = decide_scaling(state, _inputs({}, 60.0, used=0.0, closed=closed))
    state = decide_scaling(state, _inputs({}, 80.0, used=0.0))
    assert spread_quality(state.wanted, 9, frozenset()) == (9, 9, 9)


def test_an_evacuated_data_centre_is_replaced_and_keeps_its_engines():
    """
    Guards against orders in a data centre that gets no work.
    """
    counts = {_group(name): 3 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    inputs = _inputs(counts, 1.0, evacuated=frozenset({"dc-b"}))
    state = decide_scaling(state, inputs)
    assert state.wanted[_group("b")] == 3
    assert spread_quality(state.wanted, 9, frozenset({"dc-b"})) == (9, 9, 9)
    assert {group.data_centre for group, _ in orders_due(state, inputs)} <= {
        "dc-a",
        "dc-c",
        "dc-d",
    }


def test_engines_that_were_not_expected_stay():
    """
    Guards against giving back engines that a call which was carried out late has added.
    """
    counts = {_group(name): 3 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    more = {**counts, _group("a"): 5}
    state = decide_scaling(state, _inputs(more, 1.0))
    assert orders_due(state, _inputs(more, 1.0)) == []
    assert state.wanted[_group("a")] == 5


def test_a_fixed_count_replaces_engines_but_follows_no_demand():
    """
    Guards against a hold that the demand overrides.
    """
    counts = {_group(name): 3 for name in "abcd"}
    state = ScalingState.from_census(_census(counts))
    fewer = {**counts, _group("a"): 2}
    inputs = _inputs(fewer, 1.0, used=200.0, is_fixed=True)
    state = decide_scaling(state, inputs)
    assert state.wanted == counts
    assert orders_due(state, inputs) == [(_group("a"), 3)]


def _entry(name: str, **changes):
    return replace(make_engine_entry(name), data_centre="dc-a", **changes)


def test_a_crashed_engine_counts_until_it_may_be_back():
    """
    Guards against an extra engine for one that comes back under its id.
    """
    census = EngineCensus()
    both = [_entry("e-1"), _entry("e-2")]
    census.observe(both, True, 0.0)
    during = census.observe(both[:1], True, 1.0)
    assert (during.present, during.seen) == ({_group("a"): 2}, {_group("a"): 1})
    assert census.observe(both[:1], True, 6.5).present == {_group("a"): 2}
    assert census.observe(both[:1], True, 7.5).present == {_group("a"): 1}


def test_an_entry_that_lapsed_during_an_outage_is_no_lost_engine():
    """
    Guards against replacing engines whose entries lapsed while the store was down.
    """
    census = EngineCensus()
    both = [_entry("e-1"), _entry("e-2")]
    census.observe(both, True, 0.0)
    for second in range(1, 30):
        census.observe([], False, float(second))
    assert census.observe([], True, 30.0).present == {_group("a"): 2}
    assert census.observe(both, True, 31.0).disturbed_at == 30.0


def test_an_engine_with_notice_is_not_waited_for():
    """
    Guards against a replacement that is ordered only after the engine is gone.
    """
    census = EngineCensus()
    census.observe([_entry("e-1", is_spot=True)], True, 0.0)
    leaving = _entry("e-1", is_spot=True, draining=True, leaves_in=2.5)
    found = census.observe([leaving], True, 1.0)
    assert (found.present, found.leaving) == ({}, {_group("a", True): 1})
    assert found.reclaimed == {_group("a", True)}


def test_the_pause_after_a_refusal_doubles_from_2_to_16_s():
    """
    Guards against an order repeated without end to a data centre that has no engine.
    """
    refusals = OrderRefusals()
    pauses = [refusals.record_refused(_group("a"), 0.0) for _ in range(5)]
    assert pauses == [2.0, 4.0, 8.0, 16.0, 16.0]
    assert refusals.closed(15.0) == {_group("a")}
    assert refusals.closed(17.0) == frozenset()
    refusals.record_fulfilled(_group("a"))
    assert refusals.record_refused(_group("a"), 20.0) == 2.0


def _observe(meter: DemandMeter, start: int, end: int, interval: int) -> None:
    for second in range(start, end):
        # Each job occupies 8 slots during half of the interval.
        is_busy = second % interval < interval / 2
        jobs = [("trainer", f"job-{second // interval}")] if is_busy else []
        meter.observe(float(second), 8 if is_busy else 0, 40, jobs)


def test_the_demand_is_unknown_before_two_intervals_of_jobs():
    """
    Guards against giving engines back because a process has just started to read.
    """
    meter = DemandMeter()
    _observe(meter, 5, 55, 20)
    assert meter.demand().used is None
    _observe(meter, 55, 100, 20)
    demand = meter.demand()
    assert demand.is_settled
    assert demand.used == pytest.approx(4.0, rel=0.2)


def test_items_that_wait_for_a_slot_are_not_counted():
    """
    Guards against an order of many times the engines that the work needs.
    """
    meter = DemandMeter()
    meter.observe(0.0, 500, 40, [])
    assert meter.demand().in_use == 40


def test_the_demand_is_unknown_after_a_gap():
    """
    Guards against a mean over a time in which the log was not read.
    """
    meter = DemandMeter()
    _observe(meter, 0, 100, 20)
    assert meter.demand().is_settled
    _observe(meter, 110, 111, 20)
    assert meter.demand().used is None


def test_texts_that_end_too_late_move_longest_first():
    """
    Guards against moving a text that is nearly finished.
    """
    texts = [LeavingText("a", 5.0), LeavingText("b", 0.5), LeavingText("c", 9.0)]
    assert texts_to_move(texts, 2.5) == ["c", "a"]
