# SPDX-License-Identifier: MIT

"""
The comparison of two checkouts: its statistics and its table.
"""

from __future__ import annotations

import math

import pytest
from pairs import DayResult, Pair, render, summarise


def _pair(before: float, after: float, **changes: object) -> Pair:
    fields = {"site": "a", "day": "quiet-1", "seed": 1}
    return Pair(
        **{**fields, **changes}, before=DayResult(before), after=DayResult(after)
    )


def test_pairs_are_summarised_by_their_mean_gain_and_its_interval():
    """
    The confidence interval of two pairs is wide.
    """
    summary = summarise([_pair(0.8, 0.9), _pair(0.6, 0.68)])
    assert summary.gain == pytest.approx(0.09)
    assert (summary.up, summary.pairs) == (2, 2)
    assert summary.interval == pytest.approx(12.71 * 0.01, rel=1e-3)


def test_one_pair_has_an_infinite_interval():
    """
    One value has no standard deviation.
    """
    assert summarise([_pair(0.8, 0.9)]).interval == math.inf


def test_a_summary_without_pairs_is_refused():
    """
    It raises an error instead of reporting a gain of 0.
    """
    with pytest.raises(ValueError, match="no pair"):
        summarise([])


def test_the_table_has_a_row_for_each_pair_and_each_deployment():
    """
    The number of broken rules is shown beside the score that they invalidate.
    """
    broken = Pair("b", "trouble-1", 2, DayResult(0.5), DayResult(0.7, 3))
    lines = render([_pair(0.8, 0.9), _pair(0.8, 0.7, seed=2), broken]).splitlines()
    assert "| a | quiet-1, 2 | 0.800 | 0.700 | -0.100 |" in lines
    assert "| b | trouble-1, 2 | 0.500 | 0.700, 3 broken | +0.200 |" in lines
    assert lines[-2].startswith("| a | mean, 1 of 2 up | 0.800 | 0.800 | -0.000 ±")
