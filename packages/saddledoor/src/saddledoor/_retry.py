# SPDX-License-Identifier: MIT

"""
Retry budgets, which limit a partner's retries to a share of its first attempts.
"""

from __future__ import annotations

from ._deployment import Limits


__all__ = ["RetryBudget"]


class RetryBudget:
    """
    A token bucket that first attempts fill and retries drain.

    Unlike a fixed number of retries per request, a budget bounds the extra load when
    every engine of a pool fails at once.
    Source: the retry budget of Finagle's published documentation.

    :param ratio: Retries added by each first attempt.
    :param burst: Capacity, in retries; also the initial balance.
    """

    @property
    def balance(self) -> float:
        """
        Number of retries that may be spent now.
        """
        return self._balance

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    @classmethod
    def from_config(cls, limits: Limits) -> RetryBudget:
        """
        Build a full budget.
        """
        return cls(limits.retry_ratio, limits.retry_burst)

    def record_first_attempt(self) -> None:
        self._balance = min(self._burst, self._balance + self._ratio)

    def spend(self) -> bool:
        """
        Take one retry; false if none is left.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
