# SPDX-License-Identifier: MIT

"""
Graceful shutdown of a VM: when it may hand over its leases and when it may stop.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


__all__ = ["Drain", "DrainStage"]


class DrainStage(StrEnum):
    """
    Stage of a VM's shutdown.
    """

    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass
class Drain:
    """
    Decides when a VM that was asked to stop may do so.

    Requests are accepted until the process ends, since the balancer goes on sending
    them for some seconds after the VM reports that it is not ready.

    :param lame_duck: How long the VM keeps serving after the request to stop, in
        seconds.
    :param limit: Longest wait for requests in flight after the lame duck time, in
        seconds.
    :param stop_requested_at: Time of the first stop signal, monotonic, in seconds; none
        before.
    :param stop_requested_twice: Whether a second signal came, which stops the VM at
        once.
    :param handed_over: Whether leases and finished samples were handed to a peer; set
        by the caller.
    :param stopped: Whether the process is ending; set by the caller.
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
        The stage that is reported to peers and to the balancer.
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
        Handle a stop signal; the second one stops the VM at once.

        :param now: Monotonic, in seconds.
        """
        if self.stop_requested_at is None:
            self.stop_requested_at = now
        else:
            self.stop_requested_twice = True

    def may_hand_over(self, now: float, in_flight: int) -> bool:
        """
        Return whether leases and finished samples may be handed to a peer now.

        :param now: Monotonic, in seconds.
        :param in_flight: Number of requests in flight.
        """
        if self.stop_requested_at is None:
            return False
        elapsed = now - self.stop_requested_at
        if elapsed < self.lame_duck:
            return False
        return in_flight == 0 or self._is_past_limit(now)

    def may_stop(self, now: float, in_flight: int) -> bool:
        """
        Return whether the process may end now.

        :param now: Monotonic, in seconds.
        :param in_flight: Number of requests in flight.
        """
        if self.stop_requested_twice:
            return True
        if self.stop_requested_at is None or not self.handed_over:
            return False
        return in_flight == 0 or self._is_past_limit(now)

    def _is_past_limit(self, now: float) -> bool:
        return now - self.stop_requested_at >= self.lame_duck + self.limit
