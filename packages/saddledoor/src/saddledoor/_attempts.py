# SPDX-License-Identifier: MIT

"""
Attempts of one request: whether it may be retried, and its outcome if not.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ._codes import NotRun, OutcomeUnknown, ResultCode
from ._retry import RetryBudget


__all__ = ["Attempts"]


@dataclass
class Attempts:
    """
    State of a request's attempts.

    :param limit: Maximum number of attempts.
    :param unrepeatable: Whether the request may be sent to a back end only once.
    :param unknown_code: Result code of an unknown outcome of this kind of request.
    :param count: Number of attempts so far.
    :param handed_over: Whether a byte of the request may have reached a back end.
    :param reason: Reason of the last failure.
    :param avoid: Back ends that failed the request.
    """

    limit: int
    unrepeatable: bool
    unknown_code: ResultCode
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
        Record an attempt without a complete answer.

        :param handed_over: Whether a byte of the request may have reached the back end;
            false if the back end reported that it did not start the request.
        """
        self.avoid.add(backend)
        self.handed_over = self.handed_over or handed_over
        self.reason = reason

    def refuse_retry(self, budget: RetryBudget) -> NotRun | OutcomeUnknown | None:
        """
        Decide whether another attempt may begin; if so, spend one retry of the budget.

        :returns: `None` if it may begin, otherwise the outcome of the request.
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
        Return the outcome of the request after its next attempt was refused.

        The refused attempt did not run, but an earlier one may have.
        """
        if not self.handed_over:
            return refusal
        return self._unknown(self.reason or refusal.detail)

    def _unknown(self, detail: str) -> OutcomeUnknown:
        return OutcomeUnknown(self.unknown_code, detail)
