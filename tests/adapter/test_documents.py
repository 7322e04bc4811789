# SPDX-License-Identifier: MIT

"""
Which bodies the platform's decoders accept and reject.
"""

from __future__ import annotations

import json
import re

import pytest

import wire
from documents import (
    InvalidBodyError,
    decode_config,
    decode_engine_entry,
    decode_engine_state,
    decode_job,
    decode_named_version,
    encode_results,
)
from engine_documents import (
    BORN,
    HOSTILE_BYTES,
    HOSTILE_VALUES,
    as_bytes,
    make_entry,
    make_report,
    with_invalid_values,
)
from platform_documents import make_config, make_job
from saddledoor import ItemResult, StoredText
from saddledoord.jobs.service import JobResultsPage, ResultWithText


def _entry(data: bytes) -> object:
    return decode_engine_entry("engine-a", data)


def _job(data: bytes) -> object:
    return decode_job("job-a", "desk.example", "/train/x", data)


#: Each decoder with a valid body.
_DECODERS = {
    "configuration": (decode_config, make_config()),
    "named version": (decode_named_version, {"model": "model-a", "version": 2}),
    "entry": (_entry, make_entry()),
    "report": (decode_engine_state, make_report()),
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
    assert decode_engine_state(as_bytes(make_report())).started_at == BORN


def test_an_engine_that_does_not_say_its_start_can_be_used():
    """
    Its start time is unknown.
    """
    entry = decode_engine_entry("engine-a", _without(make_entry(), "born"))
    assert entry.started_at is None
    assert decode_engine_state(_without(make_report(), "born")).started_at is None


@pytest.mark.parametrize("born", [None, True, "1700000000123", 1.5, 1.0, -1, [1], {}])
def test_a_start_of_another_type_makes_the_whole_unusable(born):
    """
    Such an entry or report was not written by an engine.
    """
    with pytest.raises(InvalidBodyError, match="born"):
        decode_engine_entry("engine-a", as_bytes(make_entry(born=born)))
    with pytest.raises(InvalidBodyError, match="born"):
        decode_engine_state(as_bytes(make_report(born=born)))


@pytest.mark.parametrize("kind", _DECODERS)
@pytest.mark.parametrize("name", HOSTILE_BYTES)
def test_bytes_that_are_no_body_are_unusable_and_nothing_worse(kind, name):
    """
    An invalid value must not end the process or hide later values.
    """
    decode, _ = _DECODERS[kind]
    with pytest.raises(InvalidBodyError):
        decode(HOSTILE_BYTES[name])


@pytest.mark.parametrize("kind", _DECODERS)
@pytest.mark.parametrize("value", HOSTILE_VALUES.values(), ids=HOSTILE_VALUES)
def test_a_field_may_hold_any_value_and_no_other_error_is_raised(kind, value):
    """
    Holds for used and unused fields, at any depth.
    """
    decode, body = _DECODERS[kind]
    decode(as_bytes(body))
    for data in with_invalid_values(body, value):
        try:
            decode(data)
        except InvalidBodyError as error:
            assert str(error)


def test_an_unusable_body_names_its_place():
    """
    The message contains the path of the field.
    """
    config = make_config()
    config["routes"][1]["slo_ms"] = "fast"
    with pytest.raises(InvalidBodyError, match=r"^routes\[1\]\.slo_ms: a number"):
        decode_config(as_bytes(config))


def test_the_reason_is_the_same_each_time_an_engine_writes_nonsense():
    """
    Independent of the position of the syntax error, so that it is logged once.
    """
    reasons = set()
    for head in (b'{"seq_no": 9, ', b'{"seq_no": 10, '):
        with pytest.raises(InvalidBodyError) as caught:
            _entry(head + b"nonsense")
        reasons.add(str(caught.value))
    assert len(reasons) == 1


@pytest.mark.parametrize(
    ("name", "value"),
    [
        *(("service", value) for value in (None, "", 7, ["desk"])),
        *(("zone", value) for value in (None, "", 7, ["dc-a"])),
        *(("slots", value) for value in (None, True, "8", 8.9, 8.0, 0, -1, 2**60)),
        *(("state", value) for value in (None, "", "Ready", "gone", True, ["ready"])),
        *(("version", value) for value in (None, 1, ["v1"])),
        *(("cold_left_ms", value) for value in (None, "0", True, [0])),
        *(("seq_no", value) for value in (None, "3", True, 1.5, -1)),
        *(("stage", value) for value in (None, 1, ["both"])),
    ],
)
def test_a_field_of_another_type_or_range_names_no_engine(name, value):
    """
    Holds for unused fields as well; the message names the field.
    """
    with pytest.raises(InvalidBodyError, match=f"^{name}: "):
        _entry(as_bytes(make_entry(**{name: value})))


@pytest.mark.parametrize(
    "name",
    [
        "service",
        "address",
        "zone",
        "slots",
        "state",
        "version",
        "cold_left_ms",
        "seq_no",
    ],
)
def test_an_entry_without_what_each_engine_states_names_no_engine(name):
    """
    The message names the field.
    """
    with pytest.raises(InvalidBodyError, match=f"'{name}' is missing"):
        _entry(_without(make_entry(), name))


@pytest.mark.parametrize(
    "address",
    [
        None,
        7,
        "",
        "nonsense",
        "127.0.0.1",
        "127.0.0.1:",
        ":8000",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:8e3",
        "127.0.0.1:\u0663",
        "127.0.0.1:000008000",
        "127.0.0.1 :8000",
        " 127.0.0.1:8000",
        "127.0.0.1:8000\n",
        "http://127.0.0.1:8000",
        "host/path:8000",
        "user@host:8000",
        "host?x:8000",
        "::1:8000",
        "[]:8000",
    ],
)
def test_an_address_is_a_host_and_a_port(address):
    """
    Other values could send requests to a host that is no engine.
    """
    with pytest.raises(InvalidBodyError, match=r"^address: "):
        _entry(as_bytes(make_entry(address=address)))


@pytest.mark.parametrize(
    "address",
    ["10.1.64.30:8729", "engine-1.dc-a.example:1", "[::1]:65535", "host:080"],
)
def test_an_address_by_name_or_number_is_taken(address):
    """
    The address is kept as written.
    """
    assert _entry(as_bytes(make_entry(address=address))).address == address


@pytest.mark.parametrize(
    ("models", "place"),
    [
        (None, "models"),
        ({}, "models"),
        ("model-a", "models"),
        (["model-a"], "models[0]"),
        ([{"version": 4}], "models[0]"),
        ([{"name": None, "version": 4}], "models[0].name"),
        ([{"name": "", "version": 4}], "models[0].name"),
        ([{"name": 7, "version": 4}], "models[0].name"),
        ([{"name": "model-a"}], "models[0]"),
        ([{"name": "model-a", "version": None}], "models[0].version"),
        ([{"name": "model-a", "version": "3"}], "models[0].version"),
        ([{"name": "model-a", "version": True}], "models[0].version"),
        ([{"name": "model-a", "version": 3.5}], "models[0].version"),
        ([{"name": "model-a", "version": -1}], "models[0].version"),
        ([{"name": "model-a", "version": 3, "adapters": 1}], "models[0].adapters"),
    ],
)
def test_models_are_named_and_have_versions(models, place):
    """
    Items are routed by the versions that engines hold.
    """
    with pytest.raises(InvalidBodyError, match=f"^{re.escape(place)}: "):
        _entry(as_bytes(make_entry(models=models)))


@pytest.mark.parametrize("key", ["", "engine a", "engine\n", "engine-\u00e9", "\ud800"])
def test_an_id_that_no_header_can_carry_names_no_engine(key):
    """
    Requests carry the id of their engine in a header.
    """
    with pytest.raises(InvalidBodyError, match=r"^key: "):
        decode_engine_entry(key, as_bytes(make_entry()))


def test_fields_that_nobody_knows_are_passed_over():
    """
    Later versions of engines may add fields.
    """
    entry = make_entry(of_tomorrow=[None, {"x": "y"}, -1])
    data = as_bytes(entry).replace(b"-1", b"1e999")
    assert _entry(data) == _entry(as_bytes(make_entry()))


def test_an_engine_without_models_states_none():
    """
    Models and their stage may be missing.
    """
    entry = make_entry(service="desk")
    del entry["models"], entry["stage"]
    assert _entry(as_bytes(entry)).versions == {}


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_an_engine_says_whether_it_is_leaving(state, draining):
    """
    An entry's state is either ready or draining.
    """
    assert _entry(as_bytes(make_entry(state=state))).draining is draining


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("models", None),
        ("models", [{"name": "model-a", "version": "4"}]),
        ("busy", None),
        ("busy", 1),
        ("busy", "false"),
        ("seq_no", None),
        ("seq_no", True),
        ("seq_no", "2"),
        ("seq_no", -1),
    ],
)
def test_a_report_says_what_is_held_and_how_many_orders_were_taken(name, value):
    """
    Orders depend on an exact number of accepted orders.
    """
    with pytest.raises(InvalidBodyError, match=f"^{name}"):
        decode_engine_state(as_bytes(make_report(**{name: value})))


def test_an_answer_to_a_reader_stays_below_its_bound():
    """
    Also with texts that JSON escapes enlarge; further results need another read.
    """
    texts = ["\n" * 300_000] * 3
    reading = JobResultsPage(
        9, 5, tuple(_read(n, text) for n, text in enumerate(texts))
    )
    answer = encode_results(reading)
    assert len(answer) < 1_000_000
    body = json.loads(answer)
    assert body["total"] == 9
    assert [result["id"] for result in body["results"]] == ["item-0"]
    assert body["next_token"] == 3


def test_an_answer_to_a_reader_holds_one_result_at_least():
    """
    Otherwise the reader would repeat the same read for ever.
    """
    reading = JobResultsPage(1, 1, (_read(0, "\n" * 600_000),))
    body = json.loads(encode_results(reading))
    assert [result["message"] for result in body["results"]] == ["\n" * 600_000]
    assert body["next_token"] == 1


def test_an_answer_to_a_reader_may_hold_no_result():
    """
    There is no result from the position on.
    """
    body = json.loads(encode_results(JobResultsPage(4, 2, ())))
    assert body == {"total": 4, "next_token": 2, "results": []}


def _read(number: int, text: str) -> ResultWithText:
    stored = StoredText((number,), len(text))
    return ResultWithText(
        ItemResult(f"item-{number}", True, stored, (1,), "mark"), text
    )


@pytest.mark.parametrize(
    ("text", "count"),
    [
        ("0", 0),
        ("12", 12),
        ("", None),
        ("-1", None),
        ("1.5", None),
        ("\u00b2", None),
        ("\u0663", None),
        ("9" * 5000, None),
    ],
)
def test_a_count_in_a_header_is_a_count_or_nothing(text, count):
    """
    An invalid header must not raise an error.
    """
    assert wire.read_count(text) == count
