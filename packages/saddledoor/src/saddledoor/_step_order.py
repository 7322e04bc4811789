# SPDX-License-Identifier: MIT

"""
Order of a step's samples, and the oldest weight version that may make them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ._delivery import SampleSpec


__all__ = ["StepOrder", "in_order", "longest_first", "oldest_allowed"]

StepOrder = Callable[[Iterable[SampleSpec]], list[SampleSpec]]


def in_order(specs: Iterable[SampleSpec]) -> list[SampleSpec]:
    """
    Return the samples in the order in which the trainer submitted them; a baseline.
    """
    return list(specs)


def longest_first(specs: Iterable[SampleSpec]) -> list[SampleSpec]:
    """
    Return the samples by descending length, since a step ends when its last sample
    does.

    Source: longest processing time first, Graham (1969).
    """
    return sorted(specs, key=lambda spec: -spec.max_tokens)


def oldest_allowed(version: int, bound: int, preference: str) -> int:
    """
    Return the oldest weight version with which an engine may get a sample.

    :param version: The version that the trainer announced last.
    :param bound: The trainer's staleness bound, in versions.
    :param preference: ``idle`` accepts any engine within the bound; ``staleness`` waits
        for an engine that is up to date.
    """
    return version if preference == "staleness" else max(0, version - bound)
