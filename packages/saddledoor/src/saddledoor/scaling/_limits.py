# SPDX-License-Identifier: MIT

"""
Limits and prices for ordering engines of a service.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


__all__ = ["ScalingLimits"]


@dataclass(frozen=True)
class ScalingLimits:
    """
    Limits and prices of one service, from its configuration.

    :param minimum: Least number of engines in each data centre.
    :param maximum: Largest number of engines in each data centre, spot engines
        included.
    :param boot_time: Time from an order until a new engine serves, in seconds.
    :param spot_price: Price of a spot engine, as a share of that of another engine.
    :param prices: Price of an engine by data centre; the data centres in which engines
        can be ordered.
    """

    minimum: int
    maximum: int
    boot_time: float
    spot_price: float = 1.0
    prices: Mapping[str, float] = field(default_factory=dict)
