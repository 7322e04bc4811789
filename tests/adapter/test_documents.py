# SPDX-License-Identifier: MIT

"""
What the decoders of the platform's bodies take, and what they refuse.
"""

from __future__ import annotations

import pytest

from documents import (
    UnusableBodyError,
    decode_config,
    decode_engine_entry,
    decode_job,
    decode_named_version,
    decode_report,
)
from engine_documents import (
    BORN,
    HOSTILE_BYTES,
    HOSTILE_VALUES,
    as_bytes,
    make_entry,
    make_report,
    spoilt,
)
from platform_documents import make_config, make_job


def _entry(data: bytes) -> object:
    return decode_engine_entry("engine-a", data)


def _job(data: bytes) -> object:
    return decode_job("job-a", "desk.example", "/train/x", data)


#: Each decoder, and a body that it takes.
_DECODERS = {
    "configuration": (decode_config, make_config()),
    "named version": (decode_named_version, {"model": "model-a", "version": 2}),
    "entry": (_entry, make_entry()),
    "report": (decode_report, make_report()),
    "job": (_job, make_job(1)),
}


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


@pytest.mark.parametrize("kind", _DECODERS)
@pytest.mark.parametrize("name", HOSTILE_BYTES)
def test_bytes_that_are_no_body_are_unusable_and_nothing_worse(kind, name):
    """
    One unreadable value must neither end the process nor hide what comes behind it.
    """
    decode, _ = _DECODERS[kind]
    with pytest.raises(UnusableBodyError):
        decode(HOSTILE_BYTES[name])


@pytest.mark.parametrize("kind", _DECODERS)
@pytest.mark.parametrize("value", HOSTILE_VALUES.values(), ids=HOSTILE_VALUES)
def test_a_field_may_hold_any_value_and_no_other_error_is_raised(kind, value):
    """
    Whether the field is used or not, at the top or further in.
    """
    decode, body = _DECODERS[kind]
    decode(as_bytes(body))
    for data in spoilt(body, value):
        try:
            decode(data)
        except UnusableBodyError as error:
            assert str(error)


def test_an_unusable_body_names_its_place():
    """
    From the top of the body to the field.
    """
    config = make_config()
    config["routes"][1]["slo_ms"] = "fast"
    with pytest.raises(UnusableBodyError, match=r"^routes\[1\]\.slo_ms: a number"):
        decode_config(as_bytes(config))


def test_the_reason_is_the_same_each_time_an_engine_writes_nonsense():
    """
    Whatever stands before the place at which it stops being readable.
    """
    reasons = set()
    for head in (b'{"seq_no": 9, ', b'{"seq_no": 10, '):
        with pytest.raises(UnusableBodyError) as caught:
            _entry(head + b"nonsense")
        reasons.add(str(caught.value))
    assert len(reasons) == 1
