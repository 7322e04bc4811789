# SPDX-License-Identifier: MIT

"""
Weight swaps in waves: which orders a data centre's engines get next.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


__all__ = ["EngineWeights", "Order", "next_orders"]


@dataclass(frozen=True)
class EngineWeights:
    """
    An engine's true state for one model, as it reported itself.

    :param staged: Version that it holds ready to activate, or -1.
    :param busy: Whether an order to it is still running.
    """

    name: str
    active: int
    staged: int
    busy: bool = False
    alive: bool = True


@dataclass(frozen=True)
class Order:
    """
    An absolute order: be at this version, whatever came before.
    """

    engine: str
    action: str
    model: str
    version: int


def next_orders(
    engines: Sequence[EngineWeights], model: str, target: int, share: float
) -> list[Order]:
    """
    Return the orders to give now.

    Every engine stages at once (the weight store's limit spaces them out), but only
    a share of the engines may activate at the same time, so capacity stays.

    :param target: The version that should be in force.
    :param share: Largest share of the live engines that may be activating.
    """
    live = [e for e in engines if e.alive]
    behind = [e for e in live if e.active != target]
    stage = [
        Order(e.name, "stage", model, target)
        for e in behind
        if not e.busy and e.staged != target
    ]
    wave = max(1, math.floor(len(live) * share))
    activating = sum(1 for e in behind if e.busy and e.staged == target)
    ready = [e for e in behind if not e.busy and e.staged == target]
    free = max(0, wave - activating)
    activate = [Order(e.name, "activate", model, target) for e in ready[:free]]
    return stage + activate
