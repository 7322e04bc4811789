# SPDX-License-Identifier: MIT

"""
Usage by window: counts, decisions and the clock that assigns requests to windows.
"""

from __future__ import annotations

import pytest

from saddledoor import (
    StableClock,
    UsageCounted,
    UsageDecided,
    UsageFold,
    UsageMeter,
    UsageWindows,
    decode_record,
    encode_record,
)


#: Windows of 5 s; a report is due 10 s after its window's end.
_WINDOWS = UsageWindows(5.0, 10.0)


def test_a_window_may_be_decided_once_it_is_closed():
    """
    Window 20 ends at 105 s and is closed to new counts 2 s later.
    """
    assert _WINDOWS.windows_to_decide(106.9, 20) == []
    assert _WINDOWS.windows_to_decide(107.0, 20) == [20]
    assert _WINDOWS.last_closed(107.0) == 20


def test_missing_counts_are_awaited_for_a_limited_time():
    """
    Missing counts are awaited for 6 s of the 10 s until the report is due.
    """
    assert _WINDOWS.last_wait_expired(110.9) == 19
    assert _WINDOWS.last_wait_expired(111.0) == 20


def test_a_window_is_complete_when_all_earlier_sources_closed_it():
    """
    A new source is not awaited; one that stops reporting is awaited for three windows.
    """
    fold = UsageFold()
    assert not fold.is_complete(7)
    for source in ("vm-1", "vm-2"):
        fold.apply(UsageCounted(source, 7, {}, whole=True))
    fold.apply(UsageCounted("vm-1", 8, {"red": 1}, whole=True))
    fold.apply(UsageCounted("vm-2", 8, {"red": 1}))
    fold.apply(UsageCounted("vm-3", 8, {}, whole=True))
    assert not fold.is_complete(8)
    fold.apply(UsageCounted("vm-2", 8, {}, whole=True))
    assert fold.is_complete(8)
    assert not fold.is_complete(9)
    for window in (9, 10, 11, 12):
        for source in ("vm-1", "vm-3"):
            fold.apply(UsageCounted(source, window, {}, whole=True))
    assert [fold.is_complete(window) for window in (9, 10, 11, 12)] == [False] * 3 + [
        True
    ]


def test_a_meter_reports_each_closed_window_once():
    """
    Also for windows without requests, from the process's first window on; records that
    may not have reached the log are returned again.
    """
    meter = UsageMeter("vm-1", 7)
    meter.count("red", 8)
    meter.close(6)
    meter.close(8)
    lost = meter.take()
    assert lost == [
        UsageCounted("vm-1", 7, {}, whole=True),
        UsageCounted("vm-1", 8, {"red": 1}, whole=True),
    ]
    meter.close(8)
    assert meter.take() == []
    meter.requeue(lost)
    assert meter.take() == lost


def test_without_decisions_the_first_window_is_one_not_yet_due():
    """
    At the very first start, or after the log has dropped all decisions.
    """
    assert _WINDOWS.windows_to_decide(111.0, None) == [20]
    assert _WINDOWS.windows_to_decide(114.9, None) == [20, 21]
    assert _WINDOWS.first_not_due(114.9) == 20


def test_a_new_holder_resends_late_reports_for_a_limited_time():
    """
    Reports are sent again until 20 s after their window's end.
    """
    assert _WINDOWS.windows_to_resend(110.0, None) == []
    assert _WINDOWS.windows_to_resend(114.9, 19) == [18, 19]
    assert _WINDOWS.windows_to_resend(300.0, 19) == []


def test_late_windows_are_decided_up_to_a_limit():
    """
    After an outage of the store, late windows are still decided, up to a limit.
    """
    assert _WINDOWS.windows_to_decide(157.0, 26) == [26, 27, 28, 29, 30]
    assert len(_WINDOWS.windows_to_decide(100_000.0, 26)) == 24


def test_repeated_counts_change_nothing():
    """
    Records may be repeated and may come in any order.
    """
    fold = UsageFold()
    first = UsageCounted("vm-1", 7, {"red": 1})
    second = UsageCounted("vm-1", 7, {"red": 3, "blue": 1})
    other = UsageCounted("vm-2", 7, {"red": 2})
    for record in (second, first, other, second, other):
        fold.apply(record)
    assert fold.counted(7) == {"red": 5, "blue": 1}
    assert fold.counted(8) == {}


def test_the_first_decision_on_a_window_stands():
    """
    Later counts and decisions do not change it.
    """
    fold = UsageFold()
    fold.apply(UsageDecided(7, {"red": 1}))
    fold.apply(UsageDecided(7, {"red": 2}))
    fold.apply(UsageCounted("vm-1", 7, {"red": 9}))
    assert fold.decided(7) == {"red": 1}
    assert (fold.decided(8), fold.last_decided) == (None, 7)


def test_the_first_window_to_decide_on_follows_from_the_log():
    """
    It is the one after the last decision; without decisions, the first with counts.
    """
    fold = UsageFold()
    assert fold.first_undecided is None
    fold.apply(UsageCounted("vm-1", 7, {"red": 1}))
    fold.apply(UsageCounted("vm-1", 5, {"red": 1}))
    assert fold.first_undecided == 5
    fold.apply(UsageDecided(6, {}))
    assert fold.first_undecided == 7


def test_a_meter_returns_changed_counts_as_totals():
    """
    Counts that may not have reached the log are returned again with later ones.
    """
    meter = UsageMeter("vm-1", 7)
    meter.count("red", 7)
    meter.count("blue", 7)
    lost = meter.take()
    assert lost == [UsageCounted("vm-1", 7, {"blue": 1, "red": 1})]
    assert meter.take() == []
    meter.count("red", 7)
    meter.count("red", 8)
    meter.requeue(lost)
    assert meter.take() == [
        UsageCounted("vm-1", 7, {"blue": 1, "red": 2}),
        UsageCounted("vm-1", 8, {"red": 1}),
    ]


def test_a_meter_and_a_fold_keep_a_limited_number_of_windows():
    """
    Memory is bounded also during a long outage of the store.
    """
    meter, fold = UsageMeter("vm-1", 7), UsageFold()
    for window in range(1000):
        meter.count("red", window)
        fold.apply(UsageDecided(window, {}))
        fold.apply(UsageCounted("vm-1", window, {"red": 1}))
    records = meter.take()
    meter.close(2000)
    assert len(meter.take()) == 24
    assert len(records) == 24
    assert records[-1].window == 999
    assert (fold.decided(900), fold.decided(999)) == (None, {})
    assert fold.counted(900) == {}


@pytest.mark.parametrize(
    "record", [UsageCounted("vm", 3, {"a": 1}), UsageDecided(3, {"a": 1})]
)
def test_usage_records_survive_encoding(record):
    """
    Encoding and decoding preserves them.
    """
    assert decode_record(encode_record(record).encode()) == record


def test_a_jump_of_the_clock_that_is_taken_back_moves_nothing():
    """
    A short jump is ignored: requests must be counted in the right window while a VM's
    clock is wrong.
    """
    clock = StableClock(1000.0, 0.0)
    for now in range(1, 10):
        clock.observe(1000.0 + now + 2.0, float(now))
    assert clock.at(10.0) == 1010.0
    clock.observe(1011.0, 11.0)
    assert clock.at(12.0) == 1012.0


def test_a_lasting_jump_is_accepted_and_a_correction_at_once():
    """
    A VM may have started with a wrong wall clock.
    """
    clock = StableClock(1000.0, 0.0)
    clock.observe(1010.1, 10.0)
    assert clock.at(10.0) == pytest.approx(1010.1)
    for now in range(11, 50):
        clock.observe(1002.0 + now, float(now))
    assert clock.at(50.0) == 1052.0


def test_a_count_that_was_written_late_makes_no_earlier_window_known():
    """
    Guards against a report that lacks counts: the oldest record left was written long
    after its window, since the store was unavailable, and the counts of the windows in
    between were dropped.
    """
    fold = UsageFold.truncated(_WINDOWS)
    late = _WINDOWS.late_windows
    fold.apply(UsageCounted("vm-1", 7, {"red": 1}, written_in=7 + 2 * late))
    assert not fold.knows(7 + 2 * late)
    assert fold.knows(7 + 2 * late + 5)
