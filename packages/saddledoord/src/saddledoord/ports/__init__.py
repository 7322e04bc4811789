# SPDX-License-Identifier: MIT

"""
Interfaces of the gateway to its environment, which adapters implement.

Every call has its own deadline and one of three distinct outcomes: done, not done or
unknown.
"""

from __future__ import annotations

from .duties import DutyCalls, DutyOutcome, UsageReport
from .engines import (
    EngineAnswer,
    Engines,
    EngineState,
    ForwardedRequest,
    Generation,
    GenerationFailedError,
    OrderOutcome,
    UnusableAnswer,
    VersionOrder,
)
from .store import (
    LARGEST_PAGE,
    USUAL_PATIENCE,
    Appended,
    KeyedEntry,
    KeyedPage,
    LogGoneError,
    LogPage,
    NamedVersion,
    NotAppended,
    OperatorValue,
    Registry,
    SharedLog,
    StoreAwayError,
    UnknownAppend,
    Unusable,
)


__all__ = [
    "Appended",
    "DutyCalls",
    "DutyOutcome",
    "EngineAnswer",
    "EngineState",
    "Engines",
    "ForwardedRequest",
    "Generation",
    "GenerationFailedError",
    "KeyedEntry",
    "KeyedPage",
    "LARGEST_PAGE",
    "LogGoneError",
    "LogPage",
    "NamedVersion",
    "NotAppended",
    "OperatorValue",
    "OrderOutcome",
    "Registry",
    "SharedLog",
    "StoreAwayError",
    "USUAL_PATIENCE",
    "UnknownAppend",
    "Unusable",
    "UnusableAnswer",
    "UsageReport",
    "VersionOrder",
]
