# SPDX-License-Identifier: MIT

"""
Builders for registry entries and reports of engines.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from typing import Any


__all__ = [
    "BORN",
    "HOSTILE_BYTES",
    "HOSTILE_VALUES",
    "as_bytes",
    "make_entry",
    "make_report",
    "field_paths",
    "with_invalid_values",
]

#: Start of a process, in Unix milliseconds.
BORN = 1_700_000_000_123

#: Values that are no valid body of the protocol.
HOSTILE_BYTES = {
    "empty": b"",
    "no JSON": b"{",
    "no UTF-8": b'{"service": "\xff"}',
    "half a character, encoded": b'{"service": "\xed\xa0\x80"}',
    "UTF-16": '{"service": "pool"}'.encode("utf-16"),
    "not a number": b'{"slots": NaN}',
    "infinity": b'{"slots": -Infinity}',
    "deep list": b"[" * 100_000,
    "deep object": b'{"models": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "deep keys": b'{"a":' * 100_000,
    "a list": b"[]",
    "null": b"null",
    "a number of 10,000 digits": b'{"slots": ' + b"9" * 10_000 + b"}",
}

#: JSON texts that are invalid for every field.
HOSTILE_VALUES = {
    "beyond floats": "1e999",
    "below floats": "-1e999",
    "400 digits": "9" * 400,
    "half a character": '"\\ud800"',
    "an object": "{}",
    "true": "true",
    "null": "null",
    "a list of numbers": "[1]",
    "a list of lists": "[[]]",
    "a fraction": "8.9",
}


def make_entry(**changes: object) -> dict[str, Any]:
    """
    Return an entry as an engine writes it.
    """
    fields = {
        "service": "pool",
        "address": "127.0.0.1:8000",
        "zone": "dc-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq_no": 3,
        "born": BORN,
        "stage": "both",
        "models": [{"name": "model-a", "version": 4, "adapters": []}],
    }
    return {**fields, **changes}


def make_report(**changes: object) -> dict[str, Any]:
    """
    Return a report as an engine sends it.
    """
    fields = {
        "stage": "both",
        "models": [{"name": "model-a", "version": 4, "adapters": []}],
        "busy": False,
        "seq_no": 2,
        "born": BORN,
    }
    return {**fields, **changes}


def as_bytes(document: object) -> bytes:
    """
    Return a document as a message body.
    """
    return json.dumps(document).encode()


def with_invalid_values(document: object, value: str) -> Iterator[bytes]:
    """
    Yield the document once for each of its fields, with that field's value replaced.

    :param value: The new value, as JSON text.
    """
    mark = "here it goes"
    for *way, last in field_paths(document):
        changed = copy.deepcopy(document)
        holder = changed
        for step in way:
            holder = holder[step]
        holder[last] = mark
        yield json.dumps(changed).replace(json.dumps(mark), value).encode()


def field_paths(node: object) -> Iterator[tuple]:
    """
    Yield the path of each field, nested ones included.
    """
    match node:
        case dict():
            children = list(node.items())
        case list():
            children = list(enumerate(node))
        case _:
            return
    for key, child in children:
        yield (key,)
        for way in field_paths(child):
            yield (key, *way)
