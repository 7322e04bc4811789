# SPDX-License-Identifier: MIT

"""
Appends that are made again until the log has acknowledged them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import structlog

from ..ports import Appended, SharedLog


__all__ = ["append_until_done"]

_log = structlog.get_logger()

#: First and longest wait for an answer, in seconds, doubled each time. An answer may be
#: lost; a store that is slowed down 60 times takes 0.24 s.
_PATIENCE = 0.5
_PATIENCE_MOST = 4.0
#: Pause after an append that was not done for sure, in seconds.
_PAUSE = 0.1


async def append_until_done(
    log: SharedLog, stream: str, records: Sequence[bytes]
) -> Appended:
    """
    Append records that may stand in the log more than once.

    :returns: Where one acknowledged copy of them stands.
    """
    patience = _PATIENCE
    outcome = await log.append(stream, records, patience)
    while not isinstance(outcome, Appended):
        _log.warning(
            "records_not_written",
            stream=stream,
            records=len(records),
            patience=patience,
            reason=outcome.reason,
        )
        await asyncio.sleep(_PAUSE)
        patience = min(_PATIENCE_MOST, 2 * patience)
        outcome = await log.append(stream, records, patience)
    return outcome
