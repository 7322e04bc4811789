# SPDX-License-Identifier: MIT

"""
The requests that this node has or recently had at an engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saddledoor import Incarnation


__all__ = ["EngineRuns", "Run"]

#: Time over which an engine must have delivered a request's events so that the request
#: is not blamed for a later crash, in seconds; engines crash about 0.1 s after they
#: began to run the request that is the cause.
_CLEARING_SPAN = 0.25


@dataclass(eq=False)
class Run:
    """
    A request that was sent to an engine.

    :param started_at: When it was sent, monotonic, in seconds.
    :param is_isolated: Whether no other request of this node could have caused a crash
        of the engine.
    :param finished_at: When the attempt ended; None while it runs.
    :param is_interrupted: Whether the attempt ended without an answer.
    :param first_event_at: When its first event was read; None before that.
    :param has_run: Whether events were delivered for `_CLEARING_SPAN`.
    """

    key: str
    started_at: float
    is_isolated: bool = False
    finished_at: float | None = None
    is_interrupted: bool = False
    first_event_at: float | None = None
    has_run: bool = False

    def record_event(self, now: float) -> bool:
        """
        Record an event; return whether it shows that the request crashes no engine.

        :param now: Monotonic, in seconds.
        """
        if self.has_run:
            return False
        if self.first_event_at is None:
            self.first_event_at = now
        self.has_run = now - self.first_event_at > _CLEARING_SPAN
        return self.has_run

    def may_cause_crash(self, now: float, window: float) -> bool:
        """
        Return whether a crash of the engine now may be caused by the request.

        :param now: Monotonic, in seconds.
        :param window: Longest time from the start to such a crash, in seconds.
        """
        return self.started_at <= now <= self.started_at + window and not self.has_run


@dataclass(eq=False)
class EngineRuns:
    """
    The requests that this node has or recently had at one incarnation of an engine.

    :param engine: The incarnation; None before its first request.
    :param interrupted_at: When the request was interrupted for which the engine is
        being checked, monotonic, in seconds; None while no check runs.
    :param has_ended: Whether the incarnation has ended.
    :param held_for: Key of the request whose isolated start the engine waits for.
    :param held_until: End of this wait, monotonic, in seconds.
    """

    engine: Incarnation | None = None
    runs: set[Run] = field(default_factory=set)
    interrupted_at: float | None = None
    has_ended: bool = False
    held_for: str = ""
    held_until: float = float("-inf")

    def is_held(self, key: str, now: float, window: float) -> bool:
        """
        Return whether the engine is reserved for the isolated start of a request other
        than the given one.
        """
        if now < self.held_until and self.held_for != key:
            return True
        return any(
            run.is_isolated and run.key != key and run.may_cause_crash(now, window)
            for run in self.runs
        )

    def has_suspects(self, now: float, window: float) -> bool:
        """
        Return whether a crash of the engine now may be caused by one of the requests.
        """
        return any(run.may_cause_crash(now, window) for run in self.runs)

    def drop_old(self, now: float, window: float) -> None:
        """
        Drop the requests that ended too long ago to be suspects.
        """
        self.runs = {
            run
            for run in self.runs
            if run.finished_at is None or run.finished_at + window >= now
        }
