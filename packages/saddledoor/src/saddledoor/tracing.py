# SPDX-License-Identifier: MIT

"""
Recorded traces: their events, their file form and their replay.

Not part of the package's top level: only tools that record or replay need it.
"""

from __future__ import annotations

from ._replay import CHECKS, ExpectedOutcomes, Violation, replay
from ._trace import (
    AnswerStreamed,
    CallEnded,
    CallRan,
    ClaimDecided,
    ConfigActivated,
    ConfigReceived,
    Event,
    FetchAnswered,
    HandedOver,
    LeavingSeen,
    NodeStarted,
    RecordFolded,
    RequestIn,
    RequestOut,
    SampleAdded,
    SampleKept,
    SlotGranted,
    StageChanged,
    StaleDropped,
    StepOpened,
    TracedEvent,
)
from ._trace_file import encode_traced, read_trace


__all__ = [
    "CHECKS",
    "Violation",
    "ClaimDecided",
    "CallEnded",
    "Event",
    "FetchAnswered",
    "RecordFolded",
    "SlotGranted",
    "HandedOver",
    "ConfigReceived",
    "SampleKept",
    "NodeStarted",
    "ExpectedOutcomes",
    "ConfigActivated",
    "CallRan",
    "RequestIn",
    "RequestOut",
    "SampleAdded",
    "LeavingSeen",
    "StageChanged",
    "StaleDropped",
    "StepOpened",
    "AnswerStreamed",
    "TracedEvent",
    "encode_traced",
    "read_trace",
    "replay",
]
