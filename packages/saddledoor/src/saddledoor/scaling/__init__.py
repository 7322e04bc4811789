# SPDX-License-Identifier: MIT

"""
Decides how many engines of a service each data centre should hold.
"""

from __future__ import annotations

from ._limits import ScalingLimits


__all__ = ["ScalingLimits"]
