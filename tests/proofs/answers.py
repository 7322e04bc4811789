# SPDX-License-Identifier: MIT

"""
A caller receives the complete answer to its own request.

Without the mechanism, the text received at the end of a stream is the answer.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from saddledoor import Answer, AnswerBuilder, Part

from ._proof import Proof


_LENGTH = 8


class _UncheckedBuilder(AnswerBuilder):
    """
    Accepts every part, and treats the text as complete when the stream ends.
    """

    def take(self, attempt_id, part):
        self._texts.append(part.text)
        self._tokens += part.tokens
        return True

    def end(self, attempt_id):
        self._ended = True

    def whole(self):
        if not self._ended:
            return None
        return Answer(self.text, self._tokens, (), "stop", False)


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class WholeAnswers(RuleBasedStateMachine):
        """
        Parts of abandoned attempts arrive late; streams end early or are too long.
        """

        @initialize()
        def begin(self):
            self.builder = (AnswerBuilder if guard else _UncheckedBuilder)(_LENGTH)
            self.attempt = 0
            # Next token of each attempt's engine, which continues the prompt it got.
            self.positions = {0: 0}
            self.builder.begin_attempt("0")

        @rule()
        def abandon_and_resume(self):
            self.attempt += 1
            self.positions[self.attempt] = self.builder.tokens
            self.builder.begin_attempt(str(self.attempt))

        @rule(back=st.integers(0, 2), tokens=st.integers(1, 3), too_many=st.booleans())
        def part_arrives(self, back, tokens, too_many):
            """
            A part arrives from the newest attempt, or late from an abandoned one.
            """
            attempt = max(0, self.attempt - back)
            at = self.positions[attempt]
            left = _LENGTH - at
            tokens = tokens if too_many else min(tokens, left)
            if tokens <= 0:
                return
            finish = "length" if at + tokens >= _LENGTH else None
            text = "".join(f"{i} " for i in range(at, at + tokens))
            self.positions[attempt] = at + tokens
            self.builder.take(str(attempt), Part(text, tokens, 1, finish))

        @rule(back=st.integers(0, 2))
        def stream_ends(self, back):
            """
            The end marker arrives in time, too early, or from an abandoned attempt.
            """
            self.builder.end(str(max(0, self.attempt - back)))

        @invariant()
        def whole_or_nothing(self):
            answer = self.builder.whole()
            if answer is not None:
                expected = "".join(f"{i} " for i in range(_LENGTH))
                assert answer.text == expected, f"passed as whole: {answer.text!r}"

    return WholeAnswers


PROOF = Proof(
    "whole_answer",
    "the whole answer goes to its own request",
    "stream cut, parts of abandoned attempts late, end marker early, too much text",
    _machine,
)
