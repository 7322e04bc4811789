# SPDX-License-Identifier: MIT

"""
Usage by window: what is counted, what is decided, and which time of day counts.
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


#: 5 s each; a report is due 10 s after its window's end.
_WINDOWS = UsageWindows(5.0, 10.0)


def test_a_window_may_be_decided_on_once_all_of_it_is_counted():
    """
    Window 20 ends at 105 s; whatever began in it is counted 2 s later.
    """
    assert _WINDOWS.windows_to_decide(106.9, 20) == []
    assert _WINDOWS.windows_to_decide(107.0, 20) == [20]
    assert _WINDOWS.last_closed(107.0) == 20


def test_those_who_have_not_spoken_are_waited_for_but_not_for_long():
    """
    Until 6 s of the 10 s have passed that a report may take.
    """
    assert _WINDOWS.last_wait_expired(110.9) == 19
    assert _WINDOWS.last_wait_expired(111.0) == 20


def test_a_window_is_whole_when_all_have_counted_it_that_counted_before():
    """
    One that comes later is not waited for; one that falls silent for three windows.
    """
    book = UsageFold()
    assert not book.is_complete(7)
    for source in ("vm-1", "vm-2"):
        book.apply(UsageCounted(source, 7, {}, whole=True))
    book.apply(UsageCounted("vm-1", 8, {"red": 1}, whole=True))
    book.apply(UsageCounted("vm-2", 8, {"red": 1}))
    book.apply(UsageCounted("vm-3", 8, {}, whole=True))
    assert not book.is_complete(8)
    book.apply(UsageCounted("vm-2", 8, {}, whole=True))
    assert book.is_complete(8)
    assert not book.is_complete(9)
    for window in (9, 10, 11, 12):
        for source in ("vm-1", "vm-3"):
            book.apply(UsageCounted(source, window, {}, whole=True))
    assert [book.is_complete(window) for window in (9, 10, 11, 12)] == [False] * 3 + [
        True
    ]


def test_a_meter_says_of_each_window_once_that_it_is_whole():
    """
    Also of those without a request, from the one on that the process began in; what may
    not have reached the log is said again.
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


def test_a_node_that_knows_of_no_decision_begins_with_what_is_not_yet_due():
    """
    At the first start of all, or after the log has dropped what was decided.
    """
    assert _WINDOWS.windows_to_decide(111.0, None) == [20]
    assert _WINDOWS.windows_to_decide(114.9, None) == [20, 21]
    assert _WINDOWS.first_in_time(114.9) == 20


def test_a_new_holder_repeats_late_reports_too_but_not_for_ever():
    """
    Their data is still worth having; what is older than 20 s is left.
    """
    assert _WINDOWS.windows_to_resend(110.0, None) == []
    assert _WINDOWS.windows_to_resend(114.9, 19) == [18, 19]
    assert _WINDOWS.windows_to_resend(300.0, 19) == []


def test_windows_that_nobody_decided_are_made_up_for_but_not_without_end():
    """
    After an outage of the store they are late, and told all the same.
    """
    assert _WINDOWS.windows_to_decide(157.0, 26) == [26, 27, 28, 29, 30]
    assert len(_WINDOWS.windows_to_decide(100_000.0, 26)) == 24


def test_what_is_counted_again_changes_nothing():
    """
    An append whose answer was lost is made again, and records may come in any order.
    """
    book = UsageFold()
    first = UsageCounted("vm-1", 7, {"red": 1})
    second = UsageCounted("vm-1", 7, {"red": 3, "blue": 1})
    other = UsageCounted("vm-2", 7, {"red": 2})
    for record in (second, first, other, second, other):
        book.apply(record)
    assert book.counted(7) == {"red": 5, "blue": 1}
    assert book.counted(8) == {}


def test_the_first_decision_on_a_window_stands():
    """
    Whatever is counted or decided later.
    """
    book = UsageFold()
    book.apply(UsageDecided(7, {"red": 1}))
    book.apply(UsageDecided(7, {"red": 2}))
    book.apply(UsageCounted("vm-1", 7, {"red": 9}))
    assert book.decided(7) == {"red": 1}
    assert (book.decided(8), book.last_decided) == (None, 7)


def test_the_first_window_to_decide_on_follows_from_the_log():
    """
    The one after the last decision; before any, the first one that has counts.
    """
    book = UsageFold()
    assert book.first_undecided is None
    book.apply(UsageCounted("vm-1", 7, {"red": 1}))
    book.apply(UsageCounted("vm-1", 5, {"red": 1}))
    assert book.first_undecided == 5
    book.apply(UsageDecided(6, {}))
    assert book.first_undecided == 7


def test_a_meter_gives_what_has_changed_as_whole_counts():
    """
    What may not have reached the log is given again, with what came since.
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


def test_a_meter_and_a_book_keep_no_more_than_they_need():
    """
    Also if the store is away for long.
    """
    meter, book = UsageMeter("vm-1", 7), UsageFold()
    for window in range(1000):
        meter.count("red", window)
        book.apply(UsageDecided(window, {}))
        book.apply(UsageCounted("vm-1", window, {"red": 1}))
    records = meter.take()
    meter.close(2000)
    assert len(meter.take()) == 24
    assert len(records) == 24
    assert records[-1].window == 999
    assert (book.decided(900), book.decided(999)) == (None, {})
    assert book.counted(900) == {}


@pytest.mark.parametrize(
    "record", [UsageCounted("vm", 3, {"a": 1}), UsageDecided(3, {"a": 1})]
)
def test_records_come_back_as_they_were_written(record):
    """
    Through the form that the log holds.
    """
    assert decode_record(encode_record(record).encode()) == record


def test_a_jump_of_the_clock_that_is_taken_back_moves_nothing():
    """
    Requests are counted by true time, and a VM's clock may be wrong for a while.
    """
    clock = StableClock(1000.0, 0.0)
    for now in range(1, 10):
        clock.observe(1000.0 + now + 2.0, float(now))
    assert clock.at(10.0) == 1010.0
    clock.observe(1011.0, 11.0)
    assert clock.at(12.0) == 1012.0


def test_a_jump_that_lasts_is_believed_and_a_correction_at_once():
    """
    A VM may have started with a wrong time of day.
    """
    clock = StableClock(1000.0, 0.0)
    clock.observe(1010.1, 10.0)
    assert clock.at(10.0) == pytest.approx(1010.1)
    for now in range(11, 50):
        clock.observe(1002.0 + now, float(now))
    assert clock.at(50.0) == 1052.0
