# SPDX-License-Identifier: MIT

"""
Interfaces of the gateway to its environment, which adapters implement.

Every call has its own deadline and one of three distinct outcomes: done, not done or
unknown.
"""

from __future__ import annotations

from .duties import DutyCalls, DutyOutcome, EngineOrder, UsageReport
from .engines import (
    EngineAnswer,
    Engines,
    EngineState,
    ForwardedRequest,
    Generation,
    GenerationFailedError,
    OrderOutcome,
    SendPermit,
    UnusableAnswer,
    VersionOrder,
)
from .store import (
    DEFAULT_ANSWER_TIMEOUT,
    MAX_PAGE_BYTES,
    Appended,
    AppendOutcomeUnknown,
    Evacuation,
    KeyedEntry,
    KeyedPage,
    LogPage,
    LogTruncatedError,
    NamedVersion,
    NotAppended,
    OperatorValue,
    Registry,
    SharedLog,
    StoreUnavailableError,
    UnusableValue,
)


__all__ = [
    "Appended",
    "DutyCalls",
    "DutyOutcome",
    "EngineAnswer",
    "EngineOrder",
    "EngineState",
    "Evacuation",
    "Engines",
    "ForwardedRequest",
    "Generation",
    "GenerationFailedError",
    "KeyedEntry",
    "KeyedPage",
    "MAX_PAGE_BYTES",
    "LogTruncatedError",
    "LogPage",
    "NamedVersion",
    "NotAppended",
    "OperatorValue",
    "OrderOutcome",
    "Registry",
    "SendPermit",
    "SharedLog",
    "StoreUnavailableError",
    "DEFAULT_ANSWER_TIMEOUT",
    "AppendOutcomeUnknown",
    "UnusableValue",
    "UnusableAnswer",
    "UsageReport",
    "VersionOrder",
]
