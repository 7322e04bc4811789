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
from ..ports import Appended, SharedLog, StoreAwayError


__all__ = ["append_until_done"]

_log = structlog.get_logger()

#: Initial and longest timeout of an append, in seconds; doubled at each retry.
_PATIENCE = 0.5
_PATIENCE_MOST = 4.0
#: Pause after an append without acknowledgement, in seconds.
_PAUSE = 0.1


async def append_until_done(
    log: SharedLog, stream: str, records: Sequence[bytes], deadline: float = math.inf
) -> Appended:
    """
    Append records until the log acknowledges them; it may then hold several copies.

    :param deadline: Time after which no retry starts, monotonic, in seconds.
    :returns: The position of the acknowledged copy.
    :raises StoreAwayError: If none is acknowledged by the deadline; the log may
        still hold the records.
    """
    patience = _PATIENCE
    outcome = await log.append(stream, records, patience)
    while not isinstance(outcome, Appended):
        if boot_time() >= deadline:
            raise StoreAwayError(outcome.reason)
        _log.warning(
            "records_not_written",
            stream=stream,
            records=len(records),
            patience=patience,
            reason=outcome.reason,
        )
        await asyncio.sleep(_PAUSE)
        left = max(_PAUSE, deadline - boot_time())
        patience = min(_PATIENCE_MOST, 2 * patience, left)
        outcome = await log.append(stream, records, patience)
    return outcome
