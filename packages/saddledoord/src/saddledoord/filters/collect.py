# SPDX-License-Identifier: MIT

"""
Collect and label: turn a stream of parts into one complete answer with its versions.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

from saddledoor import (
    Answer,
    AnswerBuilder,
    NotRun,
    OutcomeUnknown,
    Part,
    ResultCode,
)
from saddledoor.tracing import AnswerStreamed

from ..observability.tracing import Emit


__all__ = ["collect_whole"]

#: Name of the only attempt; the attempt filter yields one answer for all its attempts.
_ATTEMPT = "only"
#: Version in a trace if the engine named none.
_NO_VERSION = -1


async def collect_whole(
    parts: AsyncIterator[Part | NotRun | OutcomeUnknown],
    max_tokens: int,
    attempt_id: str,
    trace: Emit,
) -> Answer | NotRun | OutcomeUnknown:
    """
    Return the complete answer, or the failure that the stream ends with.

    The outcome is unknown if the stream has no end marker.
    """
    traced: list[tuple[int, int]] = []
    builder = AnswerBuilder(max_tokens)
    builder.begin_attempt(_ATTEMPT)
    async for part in parts:
        if not isinstance(part, Part):
            return part
        if not builder.take(_ATTEMPT, part):
            break
        traced.append(
            (_NO_VERSION if part.version is None else part.version, part.tokens)
        )
        if part.finish_reason is not None:
            builder.end(_ATTEMPT)
    answer = builder.whole()
    runs = tuple((r.version, r.first, r.last) for r in answer.runs) if answer else None
    trace(AnswerStreamed(attempt_id, max_tokens, tuple(traced), runs))
    if answer is None:
        return OutcomeUnknown(ResultCode.ANSWER_CUT, "the stream had no end marker")
    return answer
