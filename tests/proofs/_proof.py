# SPDX-License-Identifier: MIT

"""
Runs the state machine of a proof with the mechanism enabled or disabled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


__all__ = ["Proof"]

# Generates the same examples on every run and stores none.
_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


@dataclass(frozen=True)
class Proof:
    """
    A promise and the state machine that checks it.

    :param name: Short name of the promise, as in traces.
    :param promise: The promise in a few words.
    :param failures: Failures that the machine generates.
    :param machine: Returns the class of the machine, with the mechanism enabled or
        disabled.
    """

    name: str
    promise: str
    failures: str
    machine: Callable[[bool], type[RuleBasedStateMachine]]

    def run(self, guard: bool) -> None:
        """
        Run the machine.

        :param guard: Whether the mechanism is enabled.
        :raises AssertionError: If the promise is violated.
        """
        run_state_machine_as_test(self.machine(guard), settings=_SETTINGS)

    def find_violation(self) -> str | None:
        """
        Return the violation found with the mechanism disabled, or None.
        """
        try:
            self.run(guard=False)
        except AssertionError as error:
            return str(error).splitlines()[0] if str(error) else "broken"
        return None
