# SPDX-License-Identifier: MIT

"""
Recorded traces: events, file format and replay.

The top-level package does not export these names; only tools that record or replay
traces need them.
"""

from __future__ import annotations

from ._replay import CHECKS, Broken, Outcomes, replay
from ._trace import (
    ClaimDecided,
    Ended,
    Event,
    Fetched,
    Folded,
    Granted,
    HandedOver,
    HeardConfig,
    Kept,
    NodeBegan,
    PutInForce,
    Ran,
    RequestIn,
    RequestOut,
    SampleAdded,
    SawLeaving,
    StageChanged,
    StaleDropped,
    StepOpened,
    Streamed,
    Traced,
)
from ._trace_file import encode_traced, read_trace


__all__ = [
    "CHECKS",
    "Broken",
    "ClaimDecided",
    "Ended",
    "Event",
    "Fetched",
    "Folded",
    "Granted",
    "HandedOver",
    "HeardConfig",
    "Kept",
    "NodeBegan",
    "Outcomes",
    "PutInForce",
    "Ran",
    "RequestIn",
    "RequestOut",
    "SampleAdded",
    "SawLeaving",
    "StageChanged",
    "StaleDropped",
    "StepOpened",
    "Streamed",
    "Traced",
    "encode_traced",
    "read_trace",
    "replay",
]
