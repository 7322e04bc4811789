# SPDX-License-Identifier: MIT

"""
What a check of a replay is.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ._labels import VersionRun
from ._records import Record, decode_record
from ._trace import TracedEvent
from .exceptions import UndecodableRecordError


__all__ = ["Check", "as_runs", "as_record"]


@dataclass(frozen=True)
class Check:
    """
    One promise.

    :param on_event: Returns what the event breaks, or none.
    :param at_end: Returns what is missing at the end, or none.
    """

    on_event: Callable[[TracedEvent], str | None]
    at_end: Callable[[], str | None] = lambda: None


def as_runs(runs: Iterable[tuple[int, int, int]]) -> tuple[VersionRun, ...]:
    return tuple(VersionRun(*run) for run in runs)


def as_record(data: str) -> Record | None:
    try:
        return decode_record(data)
    except UndecodableRecordError:
        return None
