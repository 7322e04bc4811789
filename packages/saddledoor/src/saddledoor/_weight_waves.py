# SPDX-License-Identifier: MIT

"""
Which engines get a new weight version, where the weights load while an engine serves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence


__all__ = ["engines_at_once", "engines_to_update", "weight_ring"]

#: Share of the engines that follow a new version at once. The others keep serving the
#: steps that still allow theirs, and follow with the next version.
_FOLLOWING = 0.5
#: Share of a pool's engines that load at once. Beyond some number the platform slows
#: every load; on the users' sheets that is 2 of 5 or 6 engines and 9 of 22 or 23.
_AT_ONCE = 0.4


def engines_at_once(engines: int) -> int:
    """
    Return how many of a pool's engines may load weights at the same time, a count.
    """
    return max(1, round(engines * _AT_ONCE))


def weight_ring(
    engines: Sequence[str], models: Sequence[str], model: str
) -> Sequence[str]:
    """
    Return the engines that follow a model's versions, among several models of a pool.

    Half of them have the newest version and half the one before. With three models or
    more not every engine follows every model, or all would be loading all the time:
    each follows two, and a version costs each model its share of the loads.

    :param engines: The pool's engines, in an order that every node agrees on.
    :param models: The pool's models, likewise.
    """
    count = max(2, 2 * len(engines) // len(models))
    if count >= len(engines):
        return engines
    begin = models.index(model) * len(engines) // len(models)
    return [engines[(begin + step) % len(engines)] for step in range(count)]


def engines_to_update(
    versions: Mapping[str, int], named: int, oldest_allowed: int
) -> list[str]:
    """
    Return the engines to bring to the named version, the most urgent first.

    Those too old for the jobs at hand come first, since they can do nothing. Beyond
    them only as many as bring half of the engines to the newest version: a load pauses
    an engine, and the next version would pause it again.

    :param versions: Weight version of each engine.
    :param named: The version that the trainer named last.
    :param oldest_allowed: Oldest version that the newest job allows.
    """
    behind = sorted(
        (version, name) for name, version in versions.items() if version < named
    )
    urgent = [name for version, name in behind if version < oldest_allowed]
    newest = len(versions) - len(behind)
    half = max(1, math.floor(len(versions) * _FOLLOWING))
    missing = half - newest - len(urgent)
    rest = [name for version, name in behind if version >= oldest_allowed]
    return urgent + rest[: max(0, missing)]
