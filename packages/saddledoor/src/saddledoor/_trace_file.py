# SPDX-License-Identifier: MIT

"""
The file form of a trace: an event a line, as JSON.
"""

from __future__ import annotations

from collections.abc import Iterable

from pydantic import TypeAdapter, ValidationError

from ._trace import TracedEvent
from .exceptions import InvalidDocumentError, Problem


__all__ = ["encode_traced", "read_trace"]

_ADAPTER = TypeAdapter(TracedEvent)


def encode_traced(traced: TracedEvent) -> str:
    """
    Return a line of a trace file.
    """
    return _ADAPTER.dump_json(traced).decode()


def read_trace(name: str, lines: Iterable[str]) -> list[TracedEvent]:
    """
    Read a trace.

    :raises InvalidDocumentError: Naming the line that cannot be used.
    """
    events = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            events.append(_ADAPTER.validate_json(line))
        except ValidationError as error:
            first = error.errors(include_url=False)[0]
            place = f"line {number}"
            problem = Problem(place, line.strip()[:80], first["msg"])
            raise InvalidDocumentError(name, (problem,)) from None
    if not events:
        raise InvalidDocumentError(name, (Problem("file", "no event", "events"),))
    return events
