# SPDX-License-Identifier: MIT

"""
A planned stop cuts off no request that is in flight.

Off: the process ends as soon as nothing is in flight, whoever still sends to it.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from saddledoor import Drain, DrainStage

from ._proof import Proof


_LAME_DUCK = 5.0
_LIMIT = 60.0
#: The balancer goes on sending for so long after the VM said it is not ready.
_BALANCER_LAG = 4.0


def _machine(guard: bool) -> type[RuleBasedStateMachine]:
    class PlannedStop(RuleBasedStateMachine):
        """
        Requests come and end; the VM is told to stop, and ends when it may.
        """

        @initialize()
        def begin(self):
            self.now = 0.0
            self.drain = Drain(_LAME_DUCK if guard else 0.0, _LIMIT)
            self.in_flight = 0
            self.ended = False
            self.cut = 0
            self.promised = True

        @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]))
        def time_passes(self, seconds):
            self.now += seconds
            self._step()

        @rule()
        def balancer_sends(self):
            """
            The balancer sends to the VM until it has heard that it is not ready.
            """
            told = self.drain.stop_requested_at
            if told is not None and self.now - told > _BALANCER_LAG:
                return
            if self.ended:
                self.cut += self.promised
            else:
                self.in_flight += 1

        @rule()
        def request_ends(self):
            self.in_flight = max(0, self.in_flight - 1)
            self._step()

        @rule()
        def told_to_stop(self):
            if self.drain.stop_requested_at is None:
                self.drain.request_stop(self.now)
                self._step()

        @rule()
        def stop_requested_twice(self):
            """
            The second signal ends the VM at once, and promises nothing.
            """
            if self.drain.stop_requested_at is not None and not self.ended:
                self.promised = False
                self.drain.request_stop(self.now)
                self._step()

        def _step(self):
            drain = self.drain
            if self.ended:
                return
            if drain.may_hand_over(self.now, self.in_flight):
                drain.handed_over = True
            if drain.may_stop(self.now, self.in_flight):
                over = drain.stop_requested_at + drain.lame_duck + _LIMIT
                if self.promised and self.now < over:
                    self.cut += self.in_flight
                drain.stopped = self.ended = True

        @invariant()
        def nothing_was_cut(self):
            assert self.cut == 0, f"{self.cut} cut by a planned stop"

        @invariant()
        def stage_follows(self):
            if self.drain.stop_requested_at is None:
                assert self.drain.stage is DrainStage.SERVING

    return PlannedStop


PROOF = Proof(
    "planned_stop",
    "a planned stop cuts off no request in flight",
    "balancer goes on sending, long requests, second signal",
    _machine,
)
