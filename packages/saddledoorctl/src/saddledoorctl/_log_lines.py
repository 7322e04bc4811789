# SPDX-License-Identifier: MIT

"""
Reads log lines of VMs from the files of a log collector.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path


__all__ = ["LogLine", "read_lines"]

#: A collector's time in seconds before a line's JSON; preferred to the line's own
#: timestamp, since clocks of VMs may differ.
_COLLECTED = re.compile(r"\s*(-?\d+(?:\.\d+)?)\s")


@dataclass(frozen=True)
class LogLine:
    """
    A log line.

    :param at: Time in seconds: the collector's, or the line's timestamp without one.
    """

    at: float
    fields: dict


def read_lines(file: Path) -> Iterator[LogLine]:
    """
    Yield the log lines of a file in order; other lines are skipped.
    """
    with file.open(errors="replace") as text:
        for line in text:
            head, brace, rest = line.partition("{")
            if not brace:
                continue
            try:
                fields = json.loads(brace + rest)
                yield LogLine(_line_time(head, fields), fields)
            except (ValueError, KeyError, TypeError):
                # A line of another program, or a truncated line.
                continue


def _line_time(head: str, fields: dict) -> float:
    collected = _COLLECTED.match(head)
    if collected:
        return float(collected[1])
    return datetime.fromisoformat(fields["timestamp"]).timestamp()
