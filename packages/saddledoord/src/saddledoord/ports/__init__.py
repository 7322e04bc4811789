# SPDX-License-Identifier: MIT

"""
The outside world as the gateway sees it; adapters implement these interfaces.

Every call has a deadline of its own and ends in one of three ways that never mix:
done, not done, unknown.
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
    DEFAULT_ANSWER_TIMEOUT,
    MAX_PAGE_BYTES,
    Appended,
    AppendOutcomeUnknown,
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
    "EngineState",
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
    "SharedLog",
    "StoreUnavailableError",
    "DEFAULT_ANSWER_TIMEOUT",
    "AppendOutcomeUnknown",
    "UnusableValue",
    "UnusableAnswer",
    "UsageReport",
    "VersionOrder",
]
