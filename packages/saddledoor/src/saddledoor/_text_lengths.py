# SPDX-License-Identifier: MIT

"""
Estimation of text lengths from trainers' estimates and finished texts.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from statistics import median


__all__ = ["TextLengthEstimator"]

#: Share of the texts that count as long: those with the largest estimates. It is larger
#: than the share of long texts, since the estimates are inaccurate.
_LONG_SHARE = 1 / 6
#: Number of the latest texts that estimates are based on.
_HISTORY_SIZE = 256
#: Initial value of the tokens per event, before a text has finished.
_TOKENS_PER_EVENT = 50.0
#: Minimum remaining length of a text, as a share of its length so far: the
#: distribution of lengths is heavy-tailed.
_OVERRUN_SHARE = 0.5


class TextLengthEstimator:
    """
    Estimates the lengths of one model's texts from the latest ones.
    """

    def __init__(self) -> None:
        self._expected: deque[int] = deque(maxlen=_HISTORY_SIZE)
        self._ratios: deque[float] = deque(maxlen=_HISTORY_SIZE)
        self._tokens_per_event = _TOKENS_PER_EVENT
        self._long_threshold = float("inf")

    def announce(self, expected_tokens: list[int]) -> None:
        """
        Add a trainer's estimates for the texts of a job.

        :param expected_tokens: Estimated lengths, in tokens; 0 for an unknown length.
        """
        self._expected.extend(tokens for tokens in expected_tokens if tokens > 0)
        ascending: list[int] = []
        for tokens in self._expected:
            insort(ascending, tokens)
        if ascending:
            self._long_threshold = ascending[int(len(ascending) * (1 - _LONG_SHARE))]

    def finished(self, expected_tokens: int, events: int) -> None:
        """
        Add a finished text.

        :param expected_tokens: The trainer's estimate of its length; 0 for none.
        :param events: Number of events of the text.
        """
        if expected_tokens > 0 and events > 0:
            self._ratios.append(expected_tokens / events)
            # The median, since the trainer's estimate of a single text may be far off.
            self._tokens_per_event = median(self._ratios)

    def remaining_events(self, expected_tokens: int, events_so_far: int) -> float:
        """
        Return the expected number of further events of a text.

        :param expected_tokens: The trainer's estimate of its length; 0 for none.
        :param events_so_far: Number of events that the text already has.
        """
        return max(
            expected_tokens / self._tokens_per_event - events_so_far,
            _OVERRUN_SHARE * events_so_far,
            1,
        )

    def is_long(self, expected_tokens: int, events_so_far: int) -> bool:
        """
        Return whether a text counts as long.

        :param expected_tokens: The trainer's estimate of its length; 0 for none.
        :param events_so_far: Number of events that the text already has.
        """
        tokens = max(expected_tokens, events_so_far * self._tokens_per_event)
        return tokens >= self._long_threshold
