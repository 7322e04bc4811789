# SPDX-License-Identifier: MIT

"""
How long the texts of a model become, from what trainers expect and what was made.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from statistics import median


__all__ = ["TextLengthEstimator"]

#: Share of the texts that count as long. A step ends with its longest text, and a
#: trainer's guess is off by half its size at one deviation: of the texts of over four
#: times the median, nine in ten are among the sixth that was expected to be longest
#: (1,555 texts of a play).
_LONG_SHARE = 1 / 6
#: Texts that are remembered, a count: some steps of a trainer with 30 to 120 items.
_REMEMBERED = 256
#: Tokens that an event holds, until finished texts have shown it.
_TOKENS_PER_EVENT = 50.0
#: A text that outgrew its guess is expected to make so much more of what it has: tails
#: are heavy, so one that is long already tends to go on.
_OUTGROWN = 0.5


class TextLengthEstimator:
    """
    Remembers the latest texts of one model.
    """

    def __init__(self) -> None:
        self._expected: deque[int] = deque(maxlen=_REMEMBERED)
        self._ratios: deque[float] = deque(maxlen=_REMEMBERED)
        self._tokens_per_event = _TOKENS_PER_EVENT
        self._long_from = float("inf")

    def announce(self, expected_tokens: list[int]) -> None:
        """
        Note what a job's trainer expects of its texts, in tokens; 0 says nothing.
        """
        self._expected.extend(tokens for tokens in expected_tokens if tokens > 0)
        ranked: list[int] = []
        for tokens in self._expected:
            insort(ranked, tokens)
        if ranked:
            self._long_from = ranked[int(len(ranked) * (1 - _LONG_SHARE))]

    def finished(self, expected_tokens: int, events: int) -> None:
        """
        Note that a text has ended after so many events.
        """
        if expected_tokens > 0 and events > 0:
            self._ratios.append(expected_tokens / events)
            # Guesses are right at the median.
            self._tokens_per_event = median(self._ratios)

    def remaining_events(self, expected_tokens: int, made: int) -> float:
        """
        Return how many more events a text is expected to make.

        :param expected_tokens: The trainer's guess of its length; 0 without one.
        :param made: Events so far, a count.
        """
        return max(expected_tokens / self._tokens_per_event - made, _OUTGROWN * made, 1)

    def is_long(self, expected_tokens: int, made: int) -> bool:
        """
        Whether a text is expected to be among the longest.
        """
        tokens = max(expected_tokens, made * self._tokens_per_event)
        return tokens >= self._long_from
