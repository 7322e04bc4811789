# SPDX-License-Identifier: MIT

"""
One request's attempts at engines: how many more there may be, and where again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ._incarnation import Incarnation


__all__ = ["AttemptOutcome", "EngineAttempt", "EngineAttempts"]

#: Pause before a request goes again to the same engine, in seconds, doubled with each
#: attempt there: twice the usual work of a look-up (40 ms), so that an engine that is
#: full for a moment has answered one request; and with doubling a request of 2 s comes
#: to one engine five times at most.
_PAUSE = 0.1
#: The same after the engine has run the request and failed, which uses up an attempt: a
#: failure that lasts 0.3 s is over then, and the request has attempts left.
_FAILED_PAUSE = 0.4


class AttemptOutcome(Enum):
    """
    How an attempt ended, as far as it says whether the engine may have it again.
    """

    RUNNING = "running"
    #: The engine has not begun to run the request.
    NOT_RUN = "not_run"
    #: The engine answered, but not with a usable answer of this request.
    UNUSABLE = "unusable"
    #: The engine ran the request and failed.
    FAILED = "failed"
    #: No answer came: the engine may still run the request, or may have ended under it.
    BROKEN = "broken"


#: Ends after which the engine lives and is done with the request.
_MAY_RETURN = frozenset(
    {AttemptOutcome.NOT_RUN, AttemptOutcome.UNUSABLE, AttemptOutcome.FAILED}
)
#: Ends that use up an attempt: the engine may be at work on it or has failed on it.
_SPENT = frozenset(
    {AttemptOutcome.RUNNING, AttemptOutcome.FAILED, AttemptOutcome.BROKEN}
)


@dataclass(eq=False)
class EngineAttempt:
    """
    One attempt.

    :param ended_at: Monotonic, in seconds; none while it runs.
    """

    engine: Incarnation
    end: AttemptOutcome = AttemptOutcome.RUNNING
    ended_at: float | None = None

    def finish(self, end: AttemptOutcome, now: float) -> None:
        self.end = end
        self.ended_at = now


class EngineAttempts:
    """
    The attempts of one request.

    Without a second attempt at the same engine, one unusable answer and one slow engine
    of two leave a request nowhere to go: in 5 of 24 soaks of 6 s a caller got no answer
    though 1.99 s were left when the first engine had answered.

    :param most: Engines that the request may be sent to, a count; and attempts that an
        engine may be at work on or has failed on.
    :param repeatable: Whether it may run more than once.
    """

    @property
    def engines(self) -> list[Incarnation]:
        """
        The engines that have had the request, in order.
        """
        return list(dict.fromkeys(attempt.engine for attempt in self._attempts))

    @property
    def count(self) -> int:
        """
        Attempts so far, a count.
        """
        return len(self._attempts)

    def __init__(self, most: int, repeatable: bool) -> None:
        self._most = most
        self._repeatable = repeatable
        self._attempts: list[EngineAttempt] = []

    def begin(self, engine: Incarnation) -> EngineAttempt:
        """
        Note an attempt that begins now.
        """
        attempt = EngineAttempt(engine)
        self._attempts.append(attempt)
        return attempt

    def may_try_another_engine(self) -> bool:
        """
        Whether the request may be sent to one engine more.
        """
        return len(self.engines) < self._most and self._has_attempts_left()

    def earliest_retry_times(self) -> dict[Incarnation, float]:
        """
        Return the engines that may have the request again, and each one's earliest
        time, monotonic, in seconds.

        None that has it now or where it broke off: that engine may still run it, or
        has ended, perhaps under it.
        """
        if not self._repeatable or not self._has_attempts_left():
            return {}
        return {
            engine: self._rested_at(engine)
            for engine in self.engines
            if all(a.end in _MAY_RETURN for a in self._attempts if a.engine == engine)
        }

    def _has_attempts_left(self) -> bool:
        return sum(a.end in _SPENT for a in self._attempts) < self._most

    def _rested_at(self, engine: Incarnation) -> float:
        there = [a for a in self._attempts if a.engine == engine]
        newest = there[-1]
        pause = _FAILED_PAUSE if newest.end is AttemptOutcome.FAILED else _PAUSE
        return (newest.ended_at or 0.0) + pause * 2 ** (len(there) - 1)
