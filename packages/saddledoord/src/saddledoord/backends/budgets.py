# SPDX-License-Identifier: MIT

"""
Retry budgets of this VM, one per partner or trainer.
"""

from __future__ import annotations

from saddledoor import RetryBudget

from .._state import NodeState


__all__ = ["RetryBudgets"]


class RetryBudgets:
    """
    Creates a partner's budget on first use; all of its retries share it.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, partner: str) -> RetryBudget:
        """
        Return a partner's budget.
        """
        if partner not in self._budgets:
            limits = self._state.deployment.limits
            self._budgets[partner] = RetryBudget.from_config(limits)
        return self._budgets[partner]
