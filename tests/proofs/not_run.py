# SPDX-License-Identifier: MIT

"""
A request that was refused as "not run" did not run.

Without the mechanism, the outcome of the last attempt is returned, whatever the
outcomes of earlier ones.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from saddledoor import Attempts, NotRun, ResultCode, RetryBudget

from ._proof import Proof


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class TrueRefusals(RuleBasedStateMachine):
        """
        A request is tried at several back ends; some run it before they fail.
        """

        @initialize(unrepeatable=st.booleans(), balance=st.integers(0, 3))
        def begin(self, unrepeatable, balance):
            code = ResultCode.OUTCOME_UNKNOWN
            self.attempts = Attempts(4, unrepeatable, code)
            self.budget = RetryBudget(0.1, float(balance))
            self.runs = 0
            self.outcome = None

        @precondition(lambda self: self.outcome is not None)
        @rule(unrepeatable=st.booleans())
        def next_request(self, unrepeatable):
            code = ResultCode.OUTCOME_UNKNOWN
            self.attempts = Attempts(4, unrepeatable, code)
            self.budget = RetryBudget(0.1, 2.0)
            self.runs = 0
            self.outcome = None

        @rule(name=st.sampled_from("abc"))
        def connection_refused(self, name):
            if self.outcome is None:
                self.attempts.begin()
                self.attempts.failed(name, False, "refused")
                self.outcome = self.attempts.refuse_retry(self.budget)

        @rule(name=st.sampled_from("abc"))
        def vouched_not_started(self, name):
            self.connection_refused(name)

        @rule(name=st.sampled_from("abc"), ran=st.booleans())
        def closed_after_reading(self, name, ran):
            """
            The connection was closed, so the outcome of the attempt is unknown.
            """
            if self.outcome is None:
                self.attempts.begin()
                self.runs += ran
                self.attempts.failed(name, True, "closed")
                self.outcome = self.attempts.refuse_retry(self.budget)

        @rule(code=st.sampled_from([ResultCode.NO_BACKEND, ResultCode.OVERLOADED]))
        def next_attempt_refused(self, code):
            if self.outcome is None:
                refusal = NotRun(code, "no slot")
                self.outcome = self.attempts.give_up(refusal) if guard else refusal

        @invariant()
        def refusal_is_true(self):
            if isinstance(self.outcome, NotRun):
                assert self.runs == 0, f"told {self.outcome.code.name}, but it ran"

        @invariant()
        def unrepeatable_is_handed_over_once(self):
            if self.attempts.unrepeatable:
                assert self.runs <= 1, "an unrepeatable request ran twice"

    return TrueRefusals


PROOF = Proof(
    "not_run",
    "a request refused as not run did not run",
    "connection refused, closed after reading, no slot for a retry, budget spent",
    _machine,
)
