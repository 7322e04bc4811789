# SPDX-License-Identifier: MIT

"""
Assembly of one complete answer from the parts of several attempts.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._labels import VersionRun, append_part, is_fully_labelled


__all__ = ["Answer", "AnswerBuilder", "Part"]

#: Finish reason of an answer that has the requested length.
_LENGTH = "length"


@dataclass(frozen=True)
class Part:
    """
    A part of an engine's answer.

    :param tokens: Number of tokens in the part.
    :param version: Weight version that the engine reported in this part, or `None`.
    :param finish_reason: Set in the last part only.
    """

    text: str
    tokens: int
    version: int | None
    finish_reason: str | None = None


@dataclass(frozen=True)
class Answer:
    """
    An answer from its first token to its end marker.

    :param labelled: Whether the engines reported a version for every token.
    """

    text: str
    tokens: int
    runs: tuple[VersionRun, ...]
    finish_reason: str
    labelled: bool


class AnswerBuilder:
    """
    Collects the parts of one attempt at a time; a later attempt resumes where the
    previous one broke off.

    :param max_tokens: The requested length, in tokens.
    """

    @property
    def text(self) -> str:
        """
        Text so far, from all attempts.
        """
        return "".join(self._texts)

    @property
    def tokens(self) -> int:
        """
        Number of tokens so far.
        """
        return self._tokens

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._texts: list[str] = []
        self._tokens = 0
        self._runs: tuple[VersionRun, ...] = ()
        self._attempt: str | None = None
        self._last: Part | None = None
        self._ended = False

    def begin_attempt(self, attempt_id: str) -> None:
        """
        Start another attempt; parts of earlier attempts are rejected from now on.
        """
        self._attempt = attempt_id
        self._last = None

    def take(self, attempt_id: str, part: Part) -> bool:
        """
        Append a part.

        :returns: False if the part belongs to another attempt, comes after the last
            part or exceeds the requested length; it is not appended then.
        """
        if attempt_id != self._attempt or self._last is not None:
            return False
        if part.tokens < 0 or self._tokens + part.tokens > self._max_tokens:
            # Later parts of this attempt would leave a gap after the rejected one.
            self._attempt = None
            return False
        if part.finish_reason is None:
            self._add(part)
        else:
            # The last part is appended when the end marker arrives; without the marker,
            # a later attempt generates the part again.
            self._last = part
        return True

    def end(self, attempt_id: str) -> None:
        """
        Handle the stream's end marker.
        """
        if attempt_id == self._attempt and self._last is not None:
            self._add(self._last)
            self._ended = True

    def whole(self) -> Answer | None:
        """
        Return the answer if it is complete, or `None`.
        """
        if not self._ended or self._last is None:
            return None
        finish = self._last.finish_reason
        if finish == _LENGTH and self._tokens != self._max_tokens:
            return None
        labelled = is_fully_labelled(self._runs, self._tokens)
        return Answer(self.text, self._tokens, self._runs, finish, labelled)

    def _add(self, part: Part) -> None:
        self._texts.append(part.text)
        self._tokens += part.tokens
        self._runs = append_part(self._runs, part.version, part.tokens)
