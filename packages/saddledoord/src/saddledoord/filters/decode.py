# SPDX-License-Identifier: MIT

"""
Decode: from a body's bytes to a typed, checked request.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from saddledoor import NotRun, ResultCode, SampleSpec, Slot, validation_problems


__all__ = [
    "CompletionBody",
    "FetchBody",
    "StepBody",
    "decode_completion",
    "decode_fetch",
    "decode_step",
]

#: Longest answer that may be asked for, in tokens.
_MAX_TOKENS = 262_144
#: Most samples in a step, a count.
_MAX_SAMPLES = 65_536

_T = TypeVar("_T")
_checked = dataclass(frozen=True, kw_only=True, config=ConfigDict(extra="forbid"))
_Count = Annotated[int, Field(ge=0, strict=True)]


@_checked
class CompletionBody:
    """
    A completions call.

    :param max_tokens: Length of the answer, in tokens.
    :param stream: Whether parts are sent as they come.
    """

    model: Annotated[str, Field(min_length=1, max_length=128)]
    prompt: str
    max_tokens: Annotated[int, Field(ge=1, le=_MAX_TOKENS, strict=True)] = 16
    stream: bool = False


@_checked
class SampleBody:
    """
    One sample of a step.
    """

    group: _Count
    index: _Count
    prompt: str
    max_tokens: Annotated[int, Field(ge=1, le=_MAX_TOKENS, strict=True)]

    @property
    def spec(self) -> SampleSpec:
        """
        The sample in the library's type.
        """
        return SampleSpec(Slot(self.group, self.index), self.prompt, self.max_tokens)


@_checked
class StepBody:
    """
    A trainer submits a step.

    :param version: The trainer's weight version now.
    :param received: Slots (group, index) that the trainer holds already.
    """

    version: _Count
    samples: tuple[SampleBody, ...] = Field(min_length=1, max_length=_MAX_SAMPLES)
    received: tuple[tuple[_Count, _Count], ...] = ()


@_checked
class FetchBody:
    """
    A trainer fetches samples.

    :param wait_s: How long to wait if nothing is ready, in seconds.
    """

    fence: int
    cursor: _Count
    version: _Count
    limit: Annotated[int, Field(ge=1, le=4096, strict=True)] = 256
    wait_s: Annotated[float, Field(ge=0, le=20)] = 5.0


def _decoder(kind: type[_T]):
    adapter = TypeAdapter(kind)

    def decode(body: bytes) -> _T | NotRun:
        try:
            return adapter.validate_json(body)
        except ValidationError as error:
            text = "; ".join(str(problem) for problem in validation_problems(error)[:5])
            return NotRun(ResultCode.BAD_REQUEST, text, 0.0)

    return decode


decode_completion = _decoder(CompletionBody)
decode_step = _decoder(StepBody)
decode_fetch = _decoder(FetchBody)
