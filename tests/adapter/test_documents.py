# SPDX-License-Identifier: MIT

"""
What the decoders of the platform's bodies take, and what they refuse.
"""

from __future__ import annotations

import pytest

from documents import UnusableBodyError, decode_engine_entry, decode_report
from engine_documents import BORN, as_bytes, make_entry, make_report


def _without(document: dict, name: str) -> bytes:
    return as_bytes({k: v for k, v in document.items() if k != name})


def test_an_engine_says_when_its_process_was_started():
    """
    In its entry and in its report, in Unix milliseconds.
    """
    entry = decode_engine_entry("engine-a", as_bytes(make_entry()))
    assert entry.started_at == BORN
    assert decode_report(as_bytes(make_report())).started_at == BORN


def test_an_engine_that_does_not_say_its_start_can_be_used():
    """
    Its start is unknown then.
    """
    entry = decode_engine_entry("engine-a", _without(make_entry(), "born"))
    assert entry.started_at is None
    assert decode_report(_without(make_report(), "born")).started_at is None


@pytest.mark.parametrize("born", [None, True, "1700000000123", 1.5, 1.0, -1, [1], {}])
def test_a_start_of_another_type_makes_the_whole_unusable(born):
    """
    Whoever wrote it is none of the engines known.
    """
    with pytest.raises(UnusableBodyError, match="born"):
        decode_engine_entry("engine-a", as_bytes(make_entry(born=born)))
    with pytest.raises(UnusableBodyError, match="born"):
        decode_report(as_bytes(make_report(born=born)))
