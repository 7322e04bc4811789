# SPDX-License-Identifier: MIT

"""
Decides which engines load a new weight version while they continue to serve.
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

#: Share of a model's engines that load a new version. The others keep serving steps
#: that allow an older version, and load the next one.
_NEWEST_SHARE = 0.5
#: Maximum share of a pool's engines that load at a time, rounded down. Beyond a
#: certain number of concurrent loads, the platform slows all of them down: beyond 2 of
#: 5 or 6 engines, and 9 of 22 or 23.
_CONCURRENT_LOAD_SHARE = 0.4


@dataclass(frozen=True)
class ModelWeights:
    """
    Weights of one model in a pool.

    :param models: All models of the pool, in the same order on every node.
    :param named: Version that the trainer announced last.
    :param oldest_allowed: Oldest version that the newest job allows.
    :param versions: Version at each engine of the pool, including one that is being
        loaded.
    """

    model: str
    models: Sequence[str]
    named: int
    oldest_allowed: int
    versions: Mapping[str, int]


def max_concurrent_loads(engines: int) -> int:
    """
    Return how many of a pool's engines may load weights at the same time.
    """
    return max(1, math.floor(engines * _CONCURRENT_LOAD_SHARE))


def following_engines(weights: ModelWeights) -> list[str]:
    """
    Return the engines that follow a model's versions.

    `plan_weight_loads` keeps about half of them at the newest version. With three or
    more models each engine follows two models on average, to bound the number of loads.

    Engines with the newest versions are selected first, so that an engine that joins
    or leaves starts no load elsewhere. Otherwise each model starts at a different
    engine.
    """
    engines, models = sorted(weights.versions), weights.models
    following_count = max(2, 2 * len(engines) // len(models))
    if following_count >= len(engines):
        return engines
    start_index = models.index(weights.model) * len(engines) // len(models)
    rotated = engines[start_index:] + engines[:start_index]
    return sorted(rotated, key=lambda name: -weights.versions[name])[:following_count]


def plan_weight_loads(pool: Sequence[ModelWeights]) -> list[tuple[str, str]]:
    """
    Return the loads that a pool needs, as pairs of engine and model, by priority.

    The model whose newest job the fewest engines can run comes first.

    :param pool: The models, ordered by when their trainers first announced a version.
    """
    pending = {weights.model: _select_engines_to_update(weights) for weights in pool}
    serving_counts = {
        w.model: sum(
            w.versions[name] >= w.oldest_allowed for name in following_engines(w)
        )
        for w in pool
    }
    model_order = [w.model for w in pool]
    loads: list[tuple[str, str]] = []
    while any(pending.values()):
        model = min(
            (m for m in model_order if pending[m]), key=serving_counts.__getitem__
        )
        loads.append((pending[model].pop(0), model))
        serving_counts[model] += 1
    return loads


def _select_engines_to_update(weights: ModelWeights) -> list[str]:
    """
    Return the following engines that should load the latest version, by priority.

    Engines whose version is too old for the newest job come first. Others follow only
    until half of the engines have the latest version.
    """
    versions = {name: weights.versions[name] for name in following_engines(weights)}
    behind = sorted(
        (version, name) for name, version in versions.items() if version < weights.named
    )
    too_old = [name for version, name in behind if version < weights.oldest_allowed]
    newest_count = len(versions) - len(behind)
    newest_target = max(1, math.floor(len(versions) * _NEWEST_SHARE))
    missing_count = newest_target - newest_count - len(too_old)
    updatable = [name for version, name in behind if version >= weights.oldest_allowed]
    return too_old + updatable[: max(0, missing_count)]
