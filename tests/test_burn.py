# SPDX-License-Identifier: MIT

"""
The burn report: budgets, windows, holes.
"""

from __future__ import annotations

from saddledoor import (
    BurnMeter,
    BurnTotals,
    Objective,
    Observation,
    burn_rows,
    find_counting_gaps,
)


_LATENCY = Objective(name="fast", kind="latency", threshold=0.5, target=0.9)


def _totals(good: int, total: int, incarnation: str = "a", **changes: object):
    fields = {"data_centre": "dc-a", "every": 10.0}
    counts = {"fast|partner-a": (good, total)}
    return BurnTotals(incarnation=incarnation, totals=counts, **(fields | changes))


def test_a_meter_counts_what_an_objective_covers():
    """
    Only events of the objective's kind and subject count.
    """
    only_b = Objective(
        name="b", kind="latency", threshold=0.5, target=0.9, subject="partner-b"
    )
    meter = BurnMeter()
    for value in (0.4, 0.5, 0.6):
        event = Observation("latency", "partner-a", value)
        meter.observe([_LATENCY, only_b], event)
    meter.observe([_LATENCY], Observation("idle", "partner-a", 0.1))
    assert meter.totals == {"fast|partner-a": (2, 3)}


def test_the_rate_is_a_multiple_of_the_budget():
    """
    Two bad of ten at a target of 0.9 burn twice the budget.
    """
    row = burn_rows([_LATENCY], [(100.0, _totals(8, 10))], 60.0, 110.0)[0]
    assert round(row.rate, 6) == 2.0
    assert round(row.left, 6) == -1.0
    assert row.by_data_centre == {"dc-a": 2}


def test_a_window_counts_only_what_was_added_in_it():
    """
    Totals run on, so what an older record held is taken off.
    """
    records = [(10.0, _totals(0, 50)), (100.0, _totals(10, 60))]
    row = burn_rows([_LATENCY], records, 60.0, 110.0)[0]
    assert (row.good, row.total) == (10, 10)


def test_a_record_that_was_lost_is_covered_by_the_next():
    """
    With the log away for some records nothing is lost, and nothing counts twice.
    """
    records = [(70.0, _totals(5, 5)), (100.0, _totals(20, 20))]
    assert burn_rows([_LATENCY], records, 60.0, 110.0)[0].total == 20


def test_two_processes_add_up():
    """
    A VM's next process begins at zero.
    """
    records = [(70.0, _totals(5, 5)), (100.0, _totals(3, 4, "b", data_centre="dc-b"))]
    row = burn_rows([_LATENCY], records, 60.0, 110.0)[0]
    assert (row.good, row.total) == (8, 9)
    assert row.by_data_centre == {"dc-b": 1}


def test_a_process_that_fell_silent_is_a_hole():
    """
    A killed VM's last counts are told as not known; a planned stop leaves no hole.
    """
    records = [
        (10.0, _totals(1, 1, "killed")),
        (10.0, _totals(1, 1, "stopped", final=True)),
        (95.0, _totals(1, 1, "alive")),
    ]
    holes = find_counting_gaps(records, 100.0)
    assert [hole.incarnation for hole in holes] == ["killed"]


def test_nothing_counted_is_no_row():
    """
    A hole never shows as good.
    """
    assert burn_rows([_LATENCY], [], 60.0, 100.0) == []
