# SPDX-License-Identifier: MIT

"""
Appends records to the log, with retries until the log acknowledges them.
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

#: Initial and longest timeout of an append, in seconds; doubled at each retry. A store
#: that is slowed down 60 times takes 0.24 s.
_TIMEOUT = 0.5
_MAX_TIMEOUT = 4.0
#: Pause after an append without acknowledgement, in seconds.
_PAUSE = 0.1


async def append_until_acknowledged(
    log: SharedLog, stream: str, records: Sequence[bytes], deadline: float = math.inf
) -> Appended:
    """
    Append records until the log acknowledges them; it may then hold several copies.

    :param deadline: Time after which no retry starts, monotonic, in seconds.
    :returns: The position of the acknowledged copy.
    :raises StoreUnavailableError: If none is acknowledged by the deadline; the log may
        still hold the records.
    """
    answer_timeout = _TIMEOUT
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
        answer_timeout = min(_MAX_TIMEOUT, 2 * answer_timeout, left)
        outcome = await log.append(stream, records, answer_timeout)
    return outcome
