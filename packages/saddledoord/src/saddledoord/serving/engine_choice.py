# SPDX-License-Identifier: MIT

"""
Chooses the engine of a request's next attempt, by all that is known of both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from saddledoor import EngineAttempts, EngineEntry, Incarnation, PoisonStatus

from .._clock import boot_time
from .engine_crash_watch import EngineCrashWatch
from .pool import EnginePool


__all__ = ["EngineChoice"]

#: Chooses an engine that is none of some.
Pick = Callable[[Iterable[Incarnation]], EngineEntry | None]


class EngineChoice:
    """
    Chooses among the engines of a service for requests that cannot wait.
    """

    def __init__(self, pool: EnginePool, ends: EngineCrashWatch) -> None:
        self._pool = pool
        self._ends = ends

    def another(
        self, service: str, key: str, attempts: EngineAttempts
    ) -> EngineEntry | None:
        """
        Return an engine that has not had a request, or none.

        :param key: Tells the request from others when it comes again.
        """
        if not attempts.may_try_another_engine():
            return None
        tried = attempts.engines

        def pick(taken: Iterable[Incarnation]) -> EngineEntry | None:
            return self._pool.choose(service, exclude=[*tried, *taken])

        return self._choose(key, pick)

    def again(
        self, service: str, key: str, attempts: EngineAttempts
    ) -> EngineEntry | None:
        """
        Return an engine that has had a request and may have it again now, or none.
        """
        now = boot_time()
        rested = {e for e, at in attempts.earliest_retry_times().items() if at <= now}

        def pick(taken: Iterable[Incarnation]) -> EngineEntry | None:
            return self._pool.choose_again(service, rested.difference(taken))

        return self._choose(key, pick)

    def again_at(
        self, service: str, key: str, attempts: EngineAttempts
    ) -> float | None:
        """
        Return when an engine may have a request again, monotonic, in seconds, as far as
        is known now; none if none may.
        """
        returns = attempts.earliest_retry_times()
        if not returns or self._ends.poison_status(key) is PoisonStatus.QUARANTINED:
            return None
        usable = self._pool.returns_at(service)
        times = [max(at, usable[e]) for e, at in returns.items() if e in usable]
        return min(times, default=None)

    def _choose(self, key: str, pick: Pick) -> EngineEntry | None:
        poison_status = self._ends.poison_status(key)
        if poison_status is PoisonStatus.QUARANTINED:
            return None
        if poison_status is PoisonStatus.CLEAN:
            return pick(())
        alone = pick(self._ends.engines_with_suspects(key))
        if alone is not None or poison_status is PoisonStatus.AMBIGUOUS:
            return alone
        return pick(())
