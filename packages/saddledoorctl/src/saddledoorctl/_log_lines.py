# SPDX-License-Identifier: MIT

"""
Log lines of VMs, read back from files that a collector wrote.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path


__all__ = ["LogLine", "read_lines"]

#: A time in seconds before a line's JSON, as collectors write it; it goes before the
#: line's own time of day, which may be wrong on one VM.
_COLLECTED = re.compile(r"\s*(-?\d+(?:\.\d+)?)\s")


@dataclass(frozen=True)
class LogLine:
    """
    A log line.

    :param at: In seconds, of one clock for all lines that a collector has timed.
    """

    at: float
    fields: dict


def read_lines(file: Path) -> Iterator[LogLine]:
    """
    Yield the lines of a file that are log lines, in its order.
    """
    with file.open(errors="replace") as text:
        for line in text:
            head, brace, rest = line.partition("{")
            if not brace:
                continue
            try:
                fields = json.loads(brace + rest)
                yield LogLine(_time_of(head, fields), fields)
            except (ValueError, KeyError, TypeError):
                # A line of another program, or one that was cut.
                continue


def _time_of(head: str, fields: dict) -> float:
    collected = _COLLECTED.match(head)
    if collected:
        return float(collected[1])
    return datetime.fromisoformat(fields["timestamp"]).timestamp()
