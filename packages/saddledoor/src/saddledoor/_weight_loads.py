# SPDX-License-Identifier: MIT

"""
Which engines get a new weight version, where the weights load while an engine serves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


__all__ = [
    "ModelWeights",
    "max_concurrent_loads",
    "following_engines",
    "plan_weight_loads",
]

#: Share of the engines that follow a new version at once. The others keep serving the
#: steps that still allow theirs, and follow with the next version.
_FOLLOWING = 0.5
#: Share of a pool's engines that load at once, rounded down. Beyond some number the
#: platform slows every load; on the users' sheets that is 2 of 5 or 6 engines and 9 of
#: 22 or 23. Three at once where two are allowed took 1.5 s each, two took 1.04 s.
_AT_ONCE = 0.4


@dataclass(frozen=True)
class ModelWeights:
    """
    The weights of one model in a pool.

    :param models: All models of the pool, in an order that every node agrees on.
    :param named: The version that the trainer named last.
    :param oldest_allowed: Oldest version that the newest job allows.
    :param versions: Version at each engine of the pool; one that is loading counts as
        there already.
    """

    model: str
    models: Sequence[str]
    named: int
    oldest_allowed: int
    versions: Mapping[str, int]


def max_concurrent_loads(engines: int) -> int:
    """
    Return how many of a pool's engines may load weights at the same time, a count.
    """
    return max(1, math.floor(engines * _AT_ONCE))


def following_engines(weights: ModelWeights) -> list[str]:
    """
    Return the engines that follow a model's versions.

    Half of them have the newest version and half the one before. With three models or
    more not every engine follows every model, or all would be loading all the time:
    each follows two, and a version costs each model its share of the loads.

    Engines that have followed lately go on, so one that comes or goes makes no other
    engine begin. Among the rest the models begin at different ones.
    """
    engines, models = sorted(weights.versions), weights.models
    count = max(2, 2 * len(engines) // len(models))
    if count >= len(engines):
        return engines
    begin = models.index(weights.model) * len(engines) // len(models)
    ring = engines[begin:] + engines[:begin]
    return sorted(ring, key=lambda name: -weights.versions[name])[:count]


def plan_weight_loads(pool: Sequence[ModelWeights]) -> list[tuple[str, str]]:
    """
    Return the loads that a pool needs, as engines and models, the most urgent first.

    A model whose jobs the fewest engines can serve comes first: a step whose weights
    no engine has waits whole, one that two engines serve waits for a few places.

    :param pool: The models, the one whose version was named first in front.
    """
    waiting = {weights.model: _engines_to_update(weights) for weights in pool}
    serving = {
        w.model: sum(
            w.versions[name] >= w.oldest_allowed for name in following_engines(w)
        )
        for w in pool
    }
    order = [w.model for w in pool]
    loads: list[tuple[str, str]] = []
    while any(waiting.values()):
        model = min((m for m in order if waiting[m]), key=serving.__getitem__)
        loads.append((waiting[model].pop(0), model))
        serving[model] += 1
    return loads


def _engines_to_update(weights: ModelWeights) -> list[str]:
    """
    Return the followers to bring to the named version, the most urgent first.

    Those too old for the jobs at hand come first, since they can do nothing. Beyond
    them only as many as bring half of the engines to the newest version.
    """
    versions = {name: weights.versions[name] for name in following_engines(weights)}
    behind = sorted(
        (version, name) for name, version in versions.items() if version < weights.named
    )
    urgent = [name for version, name in behind if version < weights.oldest_allowed]
    newest = len(versions) - len(behind)
    half = max(1, math.floor(len(versions) * _FOLLOWING))
    missing = half - newest - len(urgent)
    rest = [name for version, name in behind if version >= weights.oldest_allowed]
    return urgent + rest[: max(0, missing)]
