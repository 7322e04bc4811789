# SPDX-License-Identifier: MIT

"""
Hypothesis strategies for untrusted message bodies.
"""

from __future__ import annotations

import copy
import json

from hypothesis import strategies as st
from hypothesis.strategies import DrawFn, SearchStrategy

from engine_documents import HOSTILE_VALUES, field_paths


__all__ = ["json_bytes", "json_values", "mutated"]

#: Placeholder for a value that is written as raw JSON text.
_MARK = "here it goes"

_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=-(10**30), max_value=10**30)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "127.0.0.1:1", "safe", "e30=", "model-a"])
)


def json_values() -> SearchStrategy:
    """
    Return a strategy for JSON values, with numbers that only Python's JSON accepts.
    """
    return st.recursive(
        _SCALARS,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=8), inner, max_size=3)
        ),
        max_leaves=6,
    )


def json_bytes() -> SearchStrategy[bytes]:
    """
    Return a strategy for bodies with any JSON value.
    """
    return json_values().map(lambda value: json.dumps(value).encode())


@st.composite
def mutated(draw: DrawFn, document: dict) -> bytes:
    """
    Draw a valid body with a few fields removed or changed, or a few bytes changed.
    """
    changed = copy.deepcopy(document)
    for _ in range(draw(st.integers(0, 3))):
        _change(draw, changed)
    hostile = draw(st.sampled_from(list(HOSTILE_VALUES.values())))
    data = json.dumps(changed).replace(json.dumps(_MARK), hostile).encode()
    if draw(st.booleans()):
        return data
    place = draw(st.integers(0, len(data)))
    length = draw(st.integers(0, 4))
    return data[:place] + draw(st.binary(max_size=4)) + data[place + length :]


def _change(draw: DrawFn, document: dict) -> None:
    ways = list(field_paths(document))
    if not ways:
        return
    *way, last = draw(st.sampled_from(ways))
    holder = document
    for step in way:
        holder = holder[step]
    if draw(st.integers(0, 3)):
        holder[last] = draw(st.just(_MARK) | json_values())
    else:
        del holder[last]
