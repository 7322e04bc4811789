# SPDX-License-Identifier: MIT

"""
Limits on the attempts of one request: how many engines, and when to retry one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ._incarnation import Incarnation


__all__ = ["AttemptOutcome", "EngineAttempt", "EngineAttempts"]

#: Delay before the first retry at the same engine, in seconds; doubled with each
#: further attempt there. It is over twice the usual work of a look-up (40 ms), so that
#: an engine that is full for a moment has answered one request.
_RETRY_DELAY = 0.1
#: Delay before the first retry at an engine that ran the request and failed, in
#: seconds; doubled likewise. Each such retry uses up an attempt, and a failure that
#: lasts 0.3 s is over by then.
_FAILED_RETRY_DELAY = 0.4


class AttemptOutcome(Enum):
    """
    Outcome of an attempt; it determines whether the engine may be tried again.
    """

    RUNNING = "running"
    #: The engine did not begin to run the request.
    NOT_RUN = "not_run"
    #: The engine answered, but without a valid answer to this request.
    UNUSABLE = "unusable"
    #: The engine ran the request and failed.
    FAILED = "failed"
    #: No answer came: the engine may still run the request, or may have crashed.
    BROKEN = "broken"


#: Outcomes after which the engine is known to run and no longer works on the request.
_RETRYABLE = frozenset(
    {AttemptOutcome.NOT_RUN, AttemptOutcome.UNUSABLE, AttemptOutcome.FAILED}
)
#: Outcomes that count against the attempt limit: the engine may have run the request.
_COUNTED = frozenset(
    {AttemptOutcome.RUNNING, AttemptOutcome.FAILED, AttemptOutcome.BROKEN}
)


@dataclass(eq=False)
class EngineAttempt:
    """
    One attempt.

    :param ended_at: Monotonic, in seconds; none while the attempt runs.
    """

    engine: Incarnation
    outcome: AttemptOutcome = AttemptOutcome.RUNNING
    ended_at: float | None = None

    def finish(self, outcome: AttemptOutcome, now: float) -> None:
        self.outcome = outcome
        self.ended_at = now


class EngineAttempts:
    """
    The attempts of one request.

    :param max_attempts: Maximum number of attempts in which an engine may have run the
        request, and also of engines that it may be sent to.
    :param repeatable: Whether the request may run more than once.
    """

    @property
    def engines(self) -> list[Incarnation]:
        """
        The engines that the request was sent to, in order of the first attempt.
        """
        return list(dict.fromkeys(attempt.engine for attempt in self._attempts))

    @property
    def count(self) -> int:
        """
        Number of attempts so far.
        """
        return len(self._attempts)

    def __init__(self, max_attempts: int, repeatable: bool) -> None:
        self._max_attempts = max_attempts
        self._repeatable = repeatable
        self._attempts: list[EngineAttempt] = []

    def begin(self, engine: Incarnation) -> EngineAttempt:
        """
        Record an attempt that begins now.
        """
        attempt = EngineAttempt(engine)
        self._attempts.append(attempt)
        return attempt

    def may_try_another_engine(self) -> bool:
        """
        Return whether the request may be sent to another engine.
        """
        return len(self.engines) < self._max_attempts and self._has_attempts_left()

    def earliest_retry_times(self) -> dict[Incarnation, float]:
        """
        Return the engines that the request may be sent to again, each with the earliest
        time, monotonic, in seconds.

        Engines with a running or broken attempt are left out: they may still run the
        request, or may have crashed because of it.
        """
        if not self._repeatable or not self._has_attempts_left():
            return {}
        return {
            engine: self._earliest_retry_time(engine)
            for engine in self.engines
            if all(
                a.outcome in _RETRYABLE for a in self._attempts if a.engine == engine
            )
        }

    def _has_attempts_left(self) -> bool:
        return sum(a.outcome in _COUNTED for a in self._attempts) < self._max_attempts

    def _earliest_retry_time(self, engine: Incarnation) -> float:
        attempts = [a for a in self._attempts if a.engine == engine]
        latest = attempts[-1]
        delay = (
            _FAILED_RETRY_DELAY
            if latest.outcome is AttemptOutcome.FAILED
            else _RETRY_DELAY
        )
        return (latest.ended_at or 0.0) + delay * 2 ** (len(attempts) - 1)
