# SPDX-License-Identifier: MIT

"""
The burn report: error budgets, windows, gaps.
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
    Only events of an objective's kind and subject are counted.
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
    Two bad events of ten at a target of 0.9 spend twice the budget.
    """
    row = burn_rows([_LATENCY], [(100.0, _totals(8, 10))], 60.0, 110.0)[0]
    assert round(row.rate, 6) == 2.0
    assert round(row.left, 6) == -1.0
    assert row.by_data_centre == {"dc-a": 2}


def test_a_window_counts_only_what_was_added_in_it():
    """
    Totals are cumulative, so those of a record before the window are subtracted.
    """
    records = [(10.0, _totals(0, 50)), (100.0, _totals(10, 60))]
    row = burn_rows([_LATENCY], records, 60.0, 110.0)[0]
    assert (row.good, row.total) == (10, 10)


def test_a_lost_record_is_covered_by_the_next():
    """
    If records were not written, the next one includes their events, once.
    """
    records = [(70.0, _totals(5, 5)), (100.0, _totals(20, 20))]
    assert burn_rows([_LATENCY], records, 60.0, 110.0)[0].total == 20


def test_two_processes_add_up():
    """
    Totals of different processes are added, since each process starts at zero.
    """
    records = [(70.0, _totals(5, 5)), (100.0, _totals(3, 4, "b", data_centre="dc-b"))]
    row = burn_rows([_LATENCY], records, 60.0, 110.0)[0]
    assert (row.good, row.total) == (8, 9)
    assert row.by_data_centre == {"dc-b": 1}


def test_a_process_that_stops_writing_is_a_gap():
    """
    A killed process is reported as a gap; one that stopped as planned is not.
    """
    records = [
        (10.0, _totals(1, 1, "killed")),
        (10.0, _totals(1, 1, "stopped", final=True)),
        (95.0, _totals(1, 1, "alive")),
    ]
    gaps = find_counting_gaps(records, 100.0)
    assert [gap.incarnation for gap in gaps] == ["killed"]


def test_no_events_make_no_row():
    """
    A window without events has no row, and so does not count as good.
    """
    assert burn_rows([_LATENCY], [], 60.0, 100.0) == []
