# SPDX-License-Identifier: MIT

"""
The planned stop: what a VM still does after it was told to end, and when it may.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


__all__ = ["Drain", "DrainStage"]


class DrainStage(StrEnum):
    """
    How far a VM is on its way out.
    """

    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass
class Drain:
    """
    Decides when a VM that was told to stop may do so.

    Callers' requests are taken until the very end: the balancer goes on sending for
    some seconds after the VM said that it is not ready.

    :param lame_duck: How long it goes on taking what is sent to it, in seconds.
    :param limit: Longest wait for what is in flight after that, in seconds.
    """

    lame_duck: float
    limit: float
    stop_requested_at: float | None = None
    stop_requested_twice: bool = False
    handed_over: bool = False
    stopped: bool = False

    @property
    def stage(self) -> DrainStage:
        """
        The stage that peers and the balancer are told.
        """
        if self.stopped:
            return DrainStage.STOPPED
        return (
            DrainStage.SERVING
            if self.stop_requested_at is None
            else DrainStage.DRAINING
        )

    def request_stop(self, now: float) -> None:
        """
        Take a signal; the second one ends the VM at once.
        """
        if self.stop_requested_at is None:
            self.stop_requested_at = now
        else:
            self.stop_requested_twice = True

    def may_hand_over(self, now: float, in_flight: int) -> bool:
        """
        Tell whether leases and finished samples may go to a peer now.
        """
        if self.stop_requested_at is None:
            return False
        after = now - self.stop_requested_at
        if after < self.lame_duck:
            return False
        return in_flight == 0 or self._out_of_time(now)

    def may_stop(self, now: float, in_flight: int) -> bool:
        """
        Tell whether the process may end now.
        """
        if self.stop_requested_twice:
            return True
        if self.stop_requested_at is None or not self.handed_over:
            return False
        return in_flight == 0 or self._out_of_time(now)

    def _out_of_time(self, now: float) -> bool:
        return now - self.stop_requested_at >= self.lame_duck + self.limit
