# SPDX-License-Identifier: MIT

"""
Decides whether a request may be sent to an engine.
"""

from __future__ import annotations

from ._send_check import Denial, EngineFacts, SendNeeds, check_send, intersect_regions


__all__ = ["Denial", "EngineFacts", "SendNeeds", "check_send", "intersect_regions"]
