# SPDX-License-Identifier: MIT

"""
Attempts of one request: when it may go to another back end, and what giving up means.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ._codes import NotRun, OutcomeUnknown, ResultCode
from ._retry import RetryBudget


__all__ = ["Attempts"]


@dataclass
class Attempts:
    """
    What is known of a request's attempts.

    :param limit: Most attempts, a count.
    :param unrepeatable: Whether it may be handed over only once.
    :param cut_code: How an unknown outcome of this kind of request is told.
    """

    limit: int
    unrepeatable: bool
    cut_code: ResultCode
    count: int = 0
    handed_over: bool = False
    reason: str = ""
    avoid: set[str] = field(default_factory=set)

    def begin(self) -> int:
        """
        Count an attempt that begins now.

        :returns: Its number, from 1.
        """
        self.count += 1
        return self.count

    def failed(self, backend: str, handed_over: bool, reason: str) -> None:
        """
        Note that an attempt brought no whole answer.

        :param handed_over: Whether a byte of the request may have reached the back
            end, which did not vouch that it never started.
        """
        self.avoid.add(backend)
        self.handed_over = self.handed_over or handed_over
        self.reason = reason

    def refuse_retry(self, budget: RetryBudget) -> NotRun | OutcomeUnknown | None:
        """
        Return none if another attempt may begin, otherwise the final outcome.
        """
        if self.unrepeatable and self.handed_over:
            return self._unknown(self.reason)
        if self.count >= self.limit:
            return self.give_up(NotRun(ResultCode.NO_BACKEND, self.reason, 1.0))
        if not budget.spend():
            spent = NotRun(ResultCode.RETRY_BUDGET_SPENT, self.reason, 1.0)
            return self.give_up(spent)
        return None

    def give_up(self, refusal: NotRun) -> NotRun | OutcomeUnknown:
        """
        Turn a refusal of the next attempt into the outcome of the request.

        The refused attempt did not run, but an earlier one may have.
        """
        if not self.handed_over:
            return refusal
        return self._unknown(self.reason or refusal.detail)

    def _unknown(self, detail: str) -> OutcomeUnknown:
        return OutcomeUnknown(self.cut_code, detail)
