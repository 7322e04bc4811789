# SPDX-License-Identifier: MIT

"""
Decides how many engines of a service each data centre should hold.
"""

from __future__ import annotations

from ._census import Census, EngineCensus
from ._demand import Demand, DemandMeter
from ._limits import ScalingLimits
from ._moves import LeavingText, texts_to_move
from ._policy import ScalingInputs, ScalingState, decide_scaling, orders_due
from ._refusals import OrderRefusals
from ._spread import EngineGroup, GroupBounds, spread_engines, spread_quality


__all__ = [
    "Census",
    "Demand",
    "DemandMeter",
    "EngineCensus",
    "EngineGroup",
    "GroupBounds",
    "LeavingText",
    "OrderRefusals",
    "ScalingInputs",
    "ScalingLimits",
    "ScalingState",
    "decide_scaling",
    "orders_due",
    "spread_engines",
    "spread_quality",
    "texts_to_move",
]
