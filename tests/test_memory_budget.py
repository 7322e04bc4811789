# SPDX-License-Identifier: MIT

"""
Decisions of the bound on the memory that is held for callers.
"""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from saddledoor import MemoryBudget, MemoryLimits, decoded_json_size


_LIMITS = MemoryLimits(shared=8_000_000, alone=12_000_000, jobs=2_000_000)
_LARGE = 3_000_000


def _ignore() -> None:
    pass


def _budget() -> MemoryBudget:
    return MemoryBudget(_LIMITS)


def test_large_requests_leave_room_to_small_ones():
    """
    A small request fits beside as many large ones as there may be.
    """
    budget = _budget()
    while budget.take(budget.open(_ignore, 0.0), _LARGE, 0.0):
        pass
    assert budget.held == 2 * _LARGE
    assert budget.take(budget.open(_ignore, 0.0), 50_000, 0.0)


def test_a_single_large_request_may_exceed_the_limit_of_several():
    """
    The largest legal request is served in calm.
    """
    budget = _budget()
    alone = budget.open(_ignore, 0.0)
    assert budget.take(alone, 12_000_000, 0.0)
    assert not budget.take(budget.open(_ignore, 0.0), _LARGE, 0.0)
    budget.close(alone)
    assert budget.take(budget.open(_ignore, 0.0), _LARGE, 0.0)


def test_the_longest_stalled_request_loses_its_memory():
    """
    One that makes progress, or is at work, keeps it.
    """
    budget = _budget()
    evicted = []
    stalled = budget.open(lambda: evicted.append("stalled"), 0.0)
    moving = budget.open(lambda: evicted.append("moving"), 0.0)
    for holding in (stalled, moving):
        holding.wait_for_client(0.0)
        assert budget.take(holding, _LARGE, 0.0)
    moving.record_transfer(20_000, 4.5)
    stalled.record_transfer(100, 4.5)
    assert budget.take(budget.open(_ignore, 5.0), _LARGE, 5.0)
    assert evicted == ["stalled"]
    assert not budget.take(stalled, 1, 5.0)


def test_nobody_loses_memory_for_a_request_that_does_not_fit_anyway():
    """
    A stalled request keeps its memory if that would not suffice.
    """
    budget = _budget()
    evicted = []
    stalled = budget.open(lambda: evicted.append("stalled"), 0.0)
    stalled.wait_for_client(0.0)
    assert budget.take(stalled, _LARGE, 0.0)
    assert not budget.take(budget.open(_ignore, 5.0), 20_000_000, 5.0)
    assert not evicted


@pytest.mark.parametrize("memory_mb", [88, 128, 160, 170, 200, 350, 552])
def test_the_limits_stay_within_the_machine(memory_mb):
    """
    What all requests may hold leaves the process its own memory.
    """
    memory, process = memory_mb << 20, 68 << 20
    limits = MemoryLimits.from_machine(memory, process)
    assert limits.shared <= limits.alone == memory - process
    assert limits.small < limits.shared


def test_without_limits_everything_fits():
    """
    Settings without the machine's memory limit nothing.
    """
    budget = MemoryBudget(MemoryLimits())
    for _ in range(10):
        assert budget.take(budget.open(_ignore, 0.0), 1 << 30, 0.0)


def test_many_small_values_count_more_than_their_text():
    """
    An empty object takes 64 bytes for 3 of text.
    """
    text = b"[" + b"{}," * 1000 + b"0]"
    assert decoded_json_size(text) >= 1000 * 64


class BudgetMachine(RuleBasedStateMachine):
    """
    Requests that come, grow, stall and go.
    """

    holdings = Bundle("holdings")

    def __init__(self) -> None:
        super().__init__()
        self.budget = _budget()
        self.now = 0.0
        self.open = []

    @rule(target=holdings, waits=st.booleans())
    def begin(self, waits):
        holding = self.budget.open(_ignore, self.now)
        if waits:
            holding.wait_for_client(self.now)
        self.open.append(holding)
        return holding

    @rule(holding=holdings, size=st.integers(1, 5_000_000))
    def take(self, holding, size):
        before = {h: h.size for h in self.open}
        if not self.budget.take(holding, size, self.now):
            assert {h: h.size for h in self.open} == before

    @rule(holding=consumes(holdings))
    def end(self, holding):
        self.budget.close(holding)
        self.open.remove(holding)

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def is_within_the_limits(self):
        held = [holding.size for holding in self.open]
        assert self.budget.held == sum(held)
        large = [size for size in held if size > 65_536]
        if len(large) > 1:
            assert sum(large) <= _LIMITS.shared - _LIMITS.small
        assert sum(held) <= _LIMITS.alone + _LIMITS.small


TestBudget = BudgetMachine.TestCase
