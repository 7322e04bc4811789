# SPDX-License-Identifier: MIT

"""
Labels: which weight version produced which tokens of an answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


__all__ = ["VersionRun", "append_part", "is_fresh", "is_fully_labelled"]


@dataclass(frozen=True)
class VersionRun:
    """
    Consecutive tokens made by one weight version.

    :param version: The version that the engine's own stream named.
    :param first: Index of the first token.
    :param last: Index of the last token.
    """

    version: int
    first: int
    last: int


def append_part(
    runs: tuple[VersionRun, ...], version: int | None, tokens: int
) -> tuple[VersionRun, ...]:
    """
    Add a part of an engine's stream to the label.

    A part whose version the engine did not name adds nothing, so the runs no longer
    cover the answer and `is_fully_labelled` says so.

    :param version: What the engine named in this very part, or none.
    :param tokens: Tokens of the part, a count.
    """
    if version is None or tokens <= 0:
        return runs
    first = runs[-1].last + 1 if runs else 0
    last = first + tokens - 1
    if runs and runs[-1].version == version:
        return (*runs[:-1], VersionRun(version, runs[-1].first, last))
    return (*runs, VersionRun(version, first, last))


def is_fully_labelled(runs: Iterable[VersionRun], tokens: int) -> bool:
    """
    Tell whether the runs cover exactly ``tokens`` tokens.
    """
    return sum(run.last - run.first + 1 for run in runs) == tokens


def is_fresh(runs: tuple[VersionRun, ...], trainer_version: int, bound: int) -> bool:
    """
    Judge a sample by its *oldest* run.

    :param trainer_version: Version that the trainer named in this very fetch.
    :param bound: Versions that a sample may lie behind.
    """
    return bool(runs) and min(r.version for r in runs) >= trainer_version - bound
