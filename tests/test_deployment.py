# SPDX-License-Identifier: MIT

"""
Validation of deployment files and its error messages.
"""

from __future__ import annotations

import json

import pytest
import yaml

from builders import make_deployment, make_document
from saddledoor import (
    deployment_from_json,
    deployment_schema,
    deployment_to_json,
    validate,
)
from saddledoor.checked_yaml import load_checked
from saddledoor.exceptions import InvalidDocumentError


def _validation_error(data: bytes) -> str:
    with pytest.raises(InvalidDocumentError) as caught:
        load_checked("file.yaml", data, validate)
    return str(caught.value)


def _document_bytes(change) -> bytes:
    document = make_document()
    change(document)
    return yaml.safe_dump(document, sort_keys=False).encode()


def test_a_valid_file_survives_the_round_trip():
    """
    The canonical form decodes to the same deployment.
    """
    deployment = make_deployment()
    assert deployment_from_json(deployment_to_json(deployment)) == deployment


def test_the_schema_is_json():
    """
    The schema can be printed as JSON.
    """
    assert json.loads(json.dumps(deployment_schema()))


def _unknown_field(document):
    document["pools"][0]["colour"] = "red"


def _wrong_type(document):
    document["pools"][0]["engines"][0]["slots"] = "many"


def _duplicate_engine(document):
    document["pools"][0]["engines"][1]["name"] = "engine-1"


def _unknown_pool(document):
    document["trainers"][0]["pool"] = "nowhere"


def _negative_bound(document):
    document["trainers"][0]["staleness_bound"] = -1


def _unknown_data_centre(document):
    document["pools"][0]["engines"][0]["data_centre"] = "moon"


def _boolean_for_number(document):
    document["pools"][0]["engines"][0]["slots"] = True


@pytest.mark.parametrize(
    ("change", "place", "line"),
    [
        (_unknown_field, "pools[0].colour", True),
        (_wrong_type, "pools[0].engines[0].slots", True),
        (_duplicate_engine, "pools[0].engines[1].name", True),
        (_unknown_pool, "trainers[0].pool", True),
        (_negative_bound, "trainers[0].staleness_bound", True),
        (_unknown_data_centre, "pools[0].engines[0].data_centre", True),
        (_boolean_for_number, "pools[0].engines[0].slots", True),
    ],
)
def test_a_bad_field_is_named_with_its_line(change, place, line):
    """
    The message has the path and line of the field, the found and the allowed content.
    """
    data = _document_bytes(change)
    text = _validation_error(data)
    assert text.startswith(f"file.yaml: {place}")
    assert ("(line " in text) is line
    assert "found" in text and "allowed" in text


def test_the_line_is_that_of_the_field():
    """
    The reported line is the one with the invalid value.
    """
    data = _document_bytes(_wrong_type)
    line = data.decode().splitlines().index("    slots: many") + 1
    assert f"(line {line})" in _validation_error(data)


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"", "nothing"),
        (b"# only a comment\n", "nothing"),
        (b"\xff\xfe\x00", "UTF-8"),
        (b"x" * 5_000_000, "5000000 bytes"),
        (b"a: [1, 2\nb: 3\n", "line"),
        (b"name: a\nname: b\n", "twice"),
        (b"- a\n- b\n", "document"),
        (b"a: &x [*x]\n", "found"),
        (b"\x00\x01", "found"),
        (b"a: 2026-13-45\n", "found"),
    ],
)
def test_an_unreadable_file_is_refused(data, word):
    """
    Empty, binary, oversized and malformed files cause an InvalidDocumentError.
    """
    assert word in _validation_error(data)


def test_every_problem_is_reported():
    """
    The message of a file with two invalid fields names both.
    """

    def both_faults(document):
        _wrong_type(document)
        _negative_bound(document)

    text = _validation_error(_document_bytes(both_faults))
    assert "slots" in text and "staleness_bound" in text
