# SPDX-License-Identifier: MIT

"""
Chooses the next weight orders (stage, activate) for the engines of a data centre.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


__all__ = ["EngineWeights", "Order", "next_orders"]


@dataclass(frozen=True)
class EngineWeights:
    """
    State of one model's weights at an engine, as the engine reports it.

    :param active: Version that the engine serves.
    :param staged: Version that is ready to be activated, or -1.
    :param busy: Whether the engine still executes an order.
    """

    name: str
    active: int
    staged: int
    busy: bool = False
    alive: bool = True


@dataclass(frozen=True)
class Order:
    """
    An order to an engine that names the desired version, whatever its current one.

    :param action: ``stage`` or ``activate``.
    """

    engine: str
    action: str
    model: str
    version: int


def next_orders(
    engines: Sequence[EngineWeights], model: str, target: int, share: float
) -> list[Order]:
    """
    Return the orders to send now.

    All engines stage at once, paced by the weight store's own limit. Only a share of
    the engines may activate at a time, to preserve serving capacity.

    :param target: Version that all engines should serve.
    :param share: Maximum share of live engines that activate at a time, from 0 to 1.
    """
    live = [e for e in engines if e.alive]
    behind = [e for e in live if e.active != target]
    stage_orders = [
        Order(e.name, "stage", model, target)
        for e in behind
        if not e.busy and e.staged != target
    ]
    max_activating = max(1, math.floor(len(live) * share))
    activating = sum(1 for e in behind if e.busy and e.staged == target)
    staged_engines = [e for e in behind if not e.busy and e.staged == target]
    free_activations = max(0, max_activating - activating)
    activate_orders = [
        Order(e.name, "activate", model, target)
        for e in staged_engines[:free_activations]
    ]
    return stage_orders + activate_orders
