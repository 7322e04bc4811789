# SPDX-License-Identifier: MIT

"""
How a proof is run: the same machine with the mechanism on and off.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


__all__ = ["Proof"]

# The same examples on every run, and none kept from an earlier one.
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
    A promise and the machine that checks it.

    :param name: The promise's short name, as in traces.
    :param promise: The promise in a few words.
    :param failures: What the machine brings about.
    :param machine: Returns the machine's class, with the mechanism on or off.
    """

    name: str
    promise: str
    failures: str
    machine: Callable[[bool], type[RuleBasedStateMachine]]

    def run(self, guard: bool) -> None:
        """
        Run the machine.

        :param guard: Whether the mechanism is on.
        :raises AssertionError: If the promise was broken.
        """
        run_state_machine_as_test(self.machine(guard), settings=_SETTINGS)

    def breaks_without(self) -> str | None:
        """
        Return how the promise breaks with the mechanism off, or none if it holds.
        """
        try:
            self.run(guard=False)
        except AssertionError as error:
            return str(error).splitlines()[0] if str(error) else "broken"
        return None
