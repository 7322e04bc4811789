# SPDX-License-Identifier: MIT

"""
Appends that are made again until the log has acknowledged them.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

import structlog

from .._clock import boot_time
from ..ports import Appended, SharedLog, StoreUnavailableError


__all__ = ["append_until_acknowledged"]

_log = structlog.get_logger()

#: First and longest wait for an answer, in seconds, doubled each time. An answer may be
#: lost; a store that is slowed down 60 times takes 0.24 s.
_PATIENCE = 0.5
_PATIENCE_MOST = 4.0
#: Pause after an append that was not done for sure, in seconds.
_PAUSE = 0.1


async def append_until_acknowledged(
    log: SharedLog, stream: str, records: Sequence[bytes], deadline: float = math.inf
) -> Appended:
    """
    Append records that may stand in the log more than once.

    :param deadline: When no further try begins, monotonic, in seconds.
    :returns: Where one acknowledged copy of them stands.
    :raises StoreUnavailableError: If there is none by then; they may stand there all
        the same.
    """
    answer_timeout = _PATIENCE
    outcome = await log.append(stream, records, answer_timeout)
    while not isinstance(outcome, Appended):
        if boot_time() >= deadline:
            raise StoreUnavailableError(outcome.reason)
        _log.warning(
            "records_not_written",
            stream=stream,
            records=len(records),
            patience=answer_timeout,
            reason=outcome.reason,
        )
        await asyncio.sleep(_PAUSE)
        left = max(_PAUSE, deadline - boot_time())
        answer_timeout = min(_PATIENCE_MOST, 2 * answer_timeout, left)
        outcome = await log.append(stream, records, answer_timeout)
    return outcome
