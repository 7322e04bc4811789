# SPDX-License-Identifier: MIT

"""
Which requests are barred after engines ended, and that those only there never are.
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


def _ends(*ends: str, now: float = 0.0) -> EngineCrashFold:
    """
    Return what is known after ends, each with the letters of the requests there.
    """
    known = EngineCrashFold()
    for number, requests in enumerate(ends):
        known.apply(_ended(number, requests), now)
    return known


def _ended(number: int, requests: str) -> EngineCrashed:
    return EngineCrashed(f"engine-{number}", 1000 + number, tuple(requests))


def _standings(
    known: EngineCrashFold, keys: str, now: float = 0.0
) -> list[PoisonStatus]:
    return [known.poison_status(key, now) for key in keys]


def test_a_request_is_barred_after_three_ends_of_its_own():
    """
    After one or two it runs on.
    """
    assert _ends("a").poison_status("a", 0.0) is PoisonStatus.SUSPECT
    assert _ends("a", "a").poison_status("a", 0.0) is PoisonStatus.SUSPECT
    assert _ends("a", "a", "a").poison_status("a", 0.0) is PoisonStatus.QUARANTINED


def test_one_end_told_by_many_counts_once():
    """
    Every VM that had a request there tells of it.
    """
    known = _ends("a", "a")
    for _ in range(5):
        known.apply(_ended(1, "a"), 0.0)
    assert known.poison_status("a", 0.0) is PoisonStatus.SUSPECT


def test_those_that_were_only_there_are_free_once_the_cause_is_known():
    """
    Also one that was at three ends, or at all of them but one.
    """
    known = _ends("abc", "ab", "abd", "a")
    assert _standings(known, "abcd") == [
        PoisonStatus.QUARANTINED,
        *[PoisonStatus.CLEAN] * 3,
    ]


def test_of_two_that_were_always_together_neither_is_barred():
    """
    Nothing tells them apart until one of them runs without the other.
    """
    known = _ends("ab", "ab", "ab")
    assert _standings(known, "ab") == [PoisonStatus.AMBIGUOUS] * 2
    known.apply(RequestsCleared(("b",)), 0.0)
    assert _standings(known, "ab") == [PoisonStatus.QUARANTINED, PoisonStatus.CLEAN]


def test_a_request_that_was_there_with_three_causes_is_free_again():
    """
    What is learnt of the others later takes the verdict back.
    """
    known = _ends("xa", "xb", "xc")
    for number, requests in enumerate(["a", "a", "b", "b", "c", "c"], start=3):
        known.apply(_ended(number, requests), 0.0)
    assert _standings(known, "abcx") == [
        *[PoisonStatus.QUARANTINED] * 3,
        PoisonStatus.CLEAN,
    ]


def test_an_answer_clears_a_request():
    """
    And three further ends are needed then.
    """
    known = _ends("a", "a", "a")
    known.apply(RequestsCleared(("a",)), 0.0)
    assert known.poison_status("a", 0.0) is PoisonStatus.CLEAN
    known.apply(_ended(7, "a"), 0.0)
    assert known.poison_status("a", 0.0) is PoisonStatus.SUSPECT


def test_what_is_remembered_is_bounded_in_time():
    """
    Each end for 240 s after it was told of last.
    """
    known = _ends("a", "a", "a")
    assert known.poison_status("a", 240.0) is PoisonStatus.QUARANTINED
    assert known.poison_status("a", 240.1) is PoisonStatus.CLEAN
    assert len(known) == 0


def test_what_bars_a_request_is_told_again_while_it_is_asked_for():
    """
    Once a minute, and then it is remembered by those who start later as well.
    """
    known = _ends("ab", "a", "a")
    assert known.crashes_to_republish("a", 60.0) == []
    again = known.crashes_to_republish("a", 61.0)
    assert {record.engine for record in again} == {f"engine-{i}" for i in range(3)}
    assert known.crashes_to_republish("a", 62.0) == []
    assert known.poison_status("a", 300.0) is PoisonStatus.QUARANTINED
    later = EngineCrashFold()
    for record in again:
        later.apply(record, 0.0)
    assert later.poison_status("a", 0.0) is PoisonStatus.QUARANTINED


def test_what_is_remembered_is_bounded_in_count():
    """
    256 ends, of 64 requests each.
    """
    known = EngineCrashFold()
    for number in range(400):
        many = tuple(f"{number}-{index}" for index in range(100))
        known.apply(EngineCrashed(f"engine-{number}", 1, many), 0.0)
    assert len(known) == 256
    assert known.poison_status("0-0", 0.0) is PoisonStatus.CLEAN
    assert known.poison_status("399-63", 0.0) is PoisonStatus.SUSPECT
    assert known.poison_status("399-64", 0.0) is PoisonStatus.CLEAN


def test_the_records_survive_the_log():
    """
    With and without the start of the engine's life.
    """
    for record in (
        EngineCrashed("e", 12, ("a", "b")),
        EngineCrashed("e", None, ()),
        RequestsCleared(("a",)),
    ):
        assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize("part", range(5))
def test_a_request_is_told_apart_by_each_of_its_parts(part):
    """
    And their borders cannot be moved.
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
def test_one_cause_is_barred_and_nobody_else(others):
    """
    Whoever else was there, once the cause was there without other suspects, three
    times with some and three times alone; the others are answered meanwhile or not.
    """
    known = EngineCrashFold()
    for number, requests in enumerate(others):
        known.apply(_ended(number, "a" + "".join(sorted(requests))), 0.0)
    for number in range(3):
        known.apply(_ended(100 + number, "a"), 0.0)
    assert known.poison_status("a", 0.0) is PoisonStatus.QUARANTINED
    assert set(_standings(known, "bcdefgh")) == {PoisonStatus.CLEAN}
