# SPDX-License-Identifier: MIT

"""
Quarantine of poison requests, and that requests in flight beside them stay eligible.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saddledoor import (
    EngineCrashed,
    EngineCrashFold,
    PoisonStatus,
    RequestsCleared,
    decode_record,
    encode_record,
    request_key,
)


def _fold_of_crashes(*crashes: str, now: float = 0.0) -> EngineCrashFold:
    """
    Return the fold of crashes, each given by the letters of the requests in flight.
    """
    fold = EngineCrashFold()
    for number, requests in enumerate(crashes):
        fold.apply(_crash(number, requests), now)
    return fold


def _crash(number: int, requests: str) -> EngineCrashed:
    return EngineCrashed(f"engine-{number}", 1000 + number, tuple(requests))


def _statuses(fold: EngineCrashFold, keys: str, now: float = 0.0) -> list[PoisonStatus]:
    return [fold.poison_status(key, now) for key in keys]


def test_a_request_is_quarantined_after_three_crashes():
    """
    After one or two crashes it is only suspect.
    """
    assert _fold_of_crashes("a").poison_status("a", 0.0) is PoisonStatus.SUSPECT
    assert _fold_of_crashes("a", "a").poison_status("a", 0.0) is PoisonStatus.SUSPECT
    assert (
        _fold_of_crashes("a", "a", "a").poison_status("a", 0.0)
        is PoisonStatus.QUARANTINED
    )


def test_a_crash_reported_by_many_vms_counts_once():
    """
    Every VM with a request in flight there reports the crash.
    """
    fold = _fold_of_crashes("a", "a")
    for _ in range(5):
        fold.apply(_crash(1, "a"), 0.0)
    assert fold.poison_status("a", 0.0) is PoisonStatus.SUSPECT


def test_those_that_were_only_there_are_free_once_the_cause_is_known():
    """
    Other requests become clean, even one that was in flight at three crashes.
    """
    fold = _fold_of_crashes("abc", "ab", "abd", "a")
    assert _statuses(fold, "abcd") == [
        PoisonStatus.QUARANTINED,
        *[PoisonStatus.CLEAN] * 3,
    ]


def test_of_two_that_were_always_together_neither_is_barred():
    """
    The poison request is known only after one of them ran without the other.
    """
    fold = _fold_of_crashes("ab", "ab", "ab")
    assert _statuses(fold, "ab") == [PoisonStatus.AMBIGUOUS] * 2
    fold.apply(RequestsCleared(("b",)), 0.0)
    assert _statuses(fold, "ab") == [PoisonStatus.QUARANTINED, PoisonStatus.CLEAN]


def test_a_request_in_flight_beside_three_poison_requests_is_cleared():
    """
    Later crashes of the poison requests lift a wrong quarantine.
    """
    fold = _fold_of_crashes("xa", "xb", "xc")
    for number, requests in enumerate(["a", "a", "b", "b", "c", "c"], start=3):
        fold.apply(_crash(number, requests), 0.0)
    assert _statuses(fold, "abcx") == [
        *[PoisonStatus.QUARANTINED] * 3,
        PoisonStatus.CLEAN,
    ]


def test_an_answer_clears_a_request():
    """
    A successful run resets the count, so three further crashes are needed.
    """
    fold = _fold_of_crashes("a", "a", "a")
    fold.apply(RequestsCleared(("a",)), 0.0)
    assert fold.poison_status("a", 0.0) is PoisonStatus.CLEAN
    fold.apply(_crash(7, "a"), 0.0)
    assert fold.poison_status("a", 0.0) is PoisonStatus.SUSPECT


def test_what_is_remembered_is_bounded_in_time():
    """
    A crash is remembered for 240 s after its last report.
    """
    fold = _fold_of_crashes("a", "a", "a")
    assert fold.poison_status("a", 240.0) is PoisonStatus.QUARANTINED
    assert fold.poison_status("a", 240.1) is PoisonStatus.CLEAN
    assert len(fold) == 0


def test_crashes_of_a_quarantined_request_are_republished():
    """
    They are published again once their last report is over a minute old, so that VMs
    that start later learn of them.
    """
    fold = _fold_of_crashes("ab", "a", "a")
    assert fold.crashes_to_republish("a", 60.0) == []
    again = fold.crashes_to_republish("a", 61.0)
    assert {record.engine for record in again} == {f"engine-{i}" for i in range(3)}
    assert fold.crashes_to_republish("a", 62.0) == []
    assert fold.poison_status("a", 300.0) is PoisonStatus.QUARANTINED
    later = EngineCrashFold()
    for record in again:
        later.apply(record, 0.0)
    assert later.poison_status("a", 0.0) is PoisonStatus.QUARANTINED


def test_what_is_remembered_is_bounded_in_count():
    """
    At most 256 crashes with 64 requests each.
    """
    fold = EngineCrashFold()
    for number in range(400):
        many = tuple(f"{number}-{index}" for index in range(100))
        fold.apply(EngineCrashed(f"engine-{number}", 1, many), 0.0)
    assert len(fold) == 256
    assert fold.poison_status("0-0", 0.0) is PoisonStatus.CLEAN
    assert fold.poison_status("399-63", 0.0) is PoisonStatus.SUSPECT
    assert fold.poison_status("399-64", 0.0) is PoisonStatus.CLEAN


def test_records_survive_encoding():
    """
    With and without the start time of the engine.
    """
    for record in (
        EngineCrashed("e", 12, ("a", "b")),
        EngineCrashed("e", None, ()),
        RequestsCleared(("a",)),
    ):
        assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize("part", range(5))
def test_a_request_key_depends_on_each_part(part):
    """
    Moving a character from one part to the next also changes the key.
    """
    parts = ["host", "POST", "/path", b"body", "name"]
    changed = list(parts)
    changed[part] = parts[part][:-1]
    assert request_key(*parts) != request_key(*changed)
    assert request_key("ab", "c", "", b"", "") != request_key("a", "bc", "", b"", "")
    assert request_key(*parts) == request_key(*parts)


@given(
    st.lists(st.sets(st.sampled_from("bcdefgh"), max_size=4), min_size=4, max_size=12)
)
def test_one_poison_request_is_quarantined_and_no_other_request(others):
    """
    Whichever requests were in flight beside it, provided that it also was the only
    request in flight at three crashes.
    """
    fold = EngineCrashFold()
    for number, requests in enumerate(others):
        fold.apply(_crash(number, "a" + "".join(sorted(requests))), 0.0)
    for number in range(3):
        fold.apply(_crash(100 + number, "a"), 0.0)
    assert fold.poison_status("a", 0.0) is PoisonStatus.QUARANTINED
    assert set(_statuses(fold, "bcdefgh")) == {PoisonStatus.CLEAN}
