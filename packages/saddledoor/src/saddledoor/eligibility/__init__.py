# SPDX-License-Identifier: MIT

"""
Decides whether a request may be sent to an engine.
"""

from __future__ import annotations

from ._cold_engines import ColdLimit, ColdState, SendWindow, TrackedSend
from ._residency import restricted_share, share_regions
from ._send_check import Denial, EngineFacts, SendNeeds, check_send, intersect_regions


__all__ = [
    "ColdLimit",
    "ColdState",
    "Denial",
    "EngineFacts",
    "SendNeeds",
    "SendWindow",
    "TrackedSend",
    "check_send",
    "intersect_regions",
    "restricted_share",
    "share_regions",
]
