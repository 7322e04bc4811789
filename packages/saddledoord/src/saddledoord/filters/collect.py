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


__all__ = ["collect_whole"]

#: The attempt filter passes on one answer, whatever attempts it took.
_ONLY = "only"


async def collect_whole(
    parts: AsyncIterator[Part | NotRun | OutcomeUnknown], max_tokens: int
) -> Answer | NotRun | OutcomeUnknown:
    """
    Take a stream to its end; what has no end marker is never passed as whole.
    """
    builder = AnswerBuilder(max_tokens)
    builder.begin_attempt(_ONLY)
    async for part in parts:
        if not isinstance(part, Part):
            return part
        if not builder.take(_ONLY, part):
            break
        if part.finish_reason is not None:
            builder.end(_ONLY)
    whole = builder.whole()
    if whole is None:
        return OutcomeUnknown(ResultCode.ANSWER_CUT, "the stream had no end marker")
    return whole
