# SPDX-License-Identifier: MIT

"""
A step's samples: which goes first, and how old the weights may be that make it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ._delivery import SampleSpec


__all__ = ["StepOrder", "in_order", "longest_first", "oldest_allowed"]

StepOrder = Callable[[Iterable[SampleSpec]], list[SampleSpec]]


def in_order(specs: Iterable[SampleSpec]) -> list[SampleSpec]:
    """
    Return the samples as the trainer submitted them; a baseline.
    """
    return list(specs)


def longest_first(specs: Iterable[SampleSpec]) -> list[SampleSpec]:
    """
    Return the longest first: a step ends when its last sample does, and a long one
    that begins late ends last.

    Only the order changes: every sample is made, at the length asked for.
    Source: longest processing time first, Graham (1969).
    """
    return sorted(specs, key=lambda spec: -spec.max_tokens)


def oldest_allowed(version: int, bound: int, preference: str) -> int:
    """
    Return the oldest weight version that an engine may have to get a sample.

    :param version: The version that the trainer named last.
    :param bound: Its staleness bound, in versions.
    :param preference: ``idle`` takes any engine within the bound; ``staleness`` waits
        for one that is up to date.
    """
    return version if preference == "staleness" else max(0, version - bound)
