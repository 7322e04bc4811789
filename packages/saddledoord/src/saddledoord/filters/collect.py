# SPDX-License-Identifier: MIT

"""
Collect and label: from a stream of parts to one whole answer with its versions.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

from saddledoor import (
    NotRun,
    OutcomeUnknown,
    ResultCode,
    VersionRun,
    append_part,
    is_wholly_labelled,
)

from .._backends import CompletionPart


__all__ = ["WholeAnswer", "collect_whole"]


@dataclass(frozen=True)
class WholeAnswer:
    """
    A completion from its first token to its end marker.

    :param labelled: Whether the engines named a version for every token.
    """

    text: str
    tokens: int
    runs: tuple[VersionRun, ...]
    finish_reason: str
    labelled: bool


async def collect_whole(
    parts: AsyncIterator[CompletionPart | NotRun | OutcomeUnknown],
) -> WholeAnswer | NotRun | OutcomeUnknown:
    """
    Take a stream to its end; what has no end marker is never passed as whole.
    """
    texts: list[str] = []
    tokens = 0
    runs: tuple[VersionRun, ...] = ()
    async for part in parts:
        if not isinstance(part, CompletionPart):
            return part
        texts.append(part.text)
        tokens += part.tokens
        runs = append_part(runs, part.version, part.tokens)
        if part.finish_reason is not None:
            labelled = is_wholly_labelled(runs, tokens)
            return WholeAnswer(
                "".join(texts), tokens, runs, part.finish_reason, labelled
            )
    return OutcomeUnknown(ResultCode.ANSWER_CUT, "the stream had no end marker")
