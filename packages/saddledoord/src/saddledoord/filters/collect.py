# SPDX-License-Identifier: MIT

"""
Collect and label: from a stream of parts to one whole answer with its versions.
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

#: The attempt filter passes on one answer, whatever attempts it took.
_ONLY = "only"
#: How a trace writes that an engine named no version.
_NO_VERSION = -1


async def collect_whole(
    parts: AsyncIterator[Part | NotRun | OutcomeUnknown],
    max_tokens: int,
    attempt_id: str,
    trace: Emit,
) -> Answer | NotRun | OutcomeUnknown:
    """
    Take a stream to its end; what has no end marker is never passed as whole.
    """
    taken: list[tuple[int, int]] = []
    builder = AnswerBuilder(max_tokens)
    builder.begin_attempt(_ONLY)
    async for part in parts:
        if not isinstance(part, Part):
            return part
        if not builder.take(_ONLY, part):
            break
        taken.append(
            (_NO_VERSION if part.version is None else part.version, part.tokens)
        )
        if part.finish_reason is not None:
            builder.end(_ONLY)
    whole = builder.whole()
    runs = tuple((r.version, r.first, r.last) for r in whole.runs) if whole else None
    trace(AnswerStreamed(attempt_id, max_tokens, tuple(taken), runs))
    if whole is None:
        return OutcomeUnknown(ResultCode.ANSWER_CUT, "the stream had no end marker")
    return whole
