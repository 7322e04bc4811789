# SPDX-License-Identifier: MIT

"""
Chooses the engine for the next attempt of a request.
"""

from __future__ import annotations

from collections.abc import Iterable

from saddledoor import EngineAttempts, EngineEntry, Incarnation, PoisonStatus, SendNeeds

from .._clock import boot_time
from .engine_crash_watch import EngineCrashWatch
from .isolation import Choose
from .pool import EnginePool


__all__ = ["EngineChoice"]


class EngineChoice:
    """
    Chooses among the engines of a service for requests that are not job items.
    """

    def __init__(self, pool: EnginePool, crash_watch: EngineCrashWatch) -> None:
        self._pool = pool
        self._crash_watch = crash_watch

    def choose_new(
        self, service: str, key: str | None, attempts: EngineAttempts, needs: SendNeeds
    ) -> EngineEntry | None:
        """
        Return an engine that has not received the request, or None.

        :param key: See `EngineCrashWatch`.
        """
        if not attempts.may_try_another_engine():
            return None
        tried = attempts.engines

        def choose(excluded: Iterable[Incarnation]) -> EngineEntry | None:
            return self._pool.choose(service, [*tried, *excluded], needs)

        return self._choose_for(key, choose)

    def choose_again(
        self, service: str, key: str | None, attempts: EngineAttempts, needs: SendNeeds
    ) -> EngineEntry | None:
        """
        Return an engine that has received the request and may receive it again now, or
        None.
        """
        now = boot_time()
        eligible = {e for e, at in attempts.earliest_retry_times().items() if at <= now}

        def choose(excluded: Iterable[Incarnation]) -> EngineEntry | None:
            among = eligible.difference(excluded)
            return self._pool.choose_again(service, among, needs)

        return self._choose_for(key, choose)

    def next_retry_at(
        self, service: str, key: str | None, attempts: EngineAttempts, needs: SendNeeds
    ) -> float | None:
        """
        Return the earliest time at which an engine may receive the request again,
        monotonic, in seconds; None if none may.
        """
        earliest = attempts.earliest_retry_times()
        if (
            not earliest
            or self._crash_watch.poison_status(key) is PoisonStatus.QUARANTINED
        ):
            return None
        retry_times = self._pool.retry_times(service, needs)
        times = [
            max(at, retry_times[e]) for e, at in earliest.items() if e in retry_times
        ]
        return min(times, default=None)

    def must_wait(
        self,
        service: str,
        key: str | None,
        attempts: EngineAttempts,
        needs: SendNeeds,
        deadline: float,
    ) -> bool:
        """
        Return whether a request must wait because it is suspected, or because another
        one may be sent to engines only in isolation; not if it may start only after its
        deadline.

        :param deadline: Monotonic, in seconds.
        """
        poison_status = self._crash_watch.poison_status(key)
        if poison_status is PoisonStatus.QUARANTINED:
            return False
        is_isolated = poison_status is PoisonStatus.ISOLATED
        is_clean = poison_status is PoisonStatus.CLEAN
        if is_clean and not self._crash_watch.held_engines(key):
            return False
        if is_isolated and self._crash_watch.isolated_start_at(key) >= deadline:
            return False
        if not attempts.may_try_another_engine():
            return False
        return self._pool.choose(service, attempts.engines, needs) is not None

    def _choose_for(self, key: str | None, choose: Choose) -> EngineEntry | None:
        """
        Choose an engine: none for a quarantined request, preferably one without other
        suspects for a suspect, and none that is held for another request.
        """
        if key is None:
            return self._crash_watch.choose_unsuspected(choose)
        poison_status = self._crash_watch.poison_status(key)
        if poison_status is PoisonStatus.QUARANTINED:
            return None
        if poison_status is PoisonStatus.ISOLATED:
            return self._crash_watch.choose_isolated(key, choose)
        held = self._crash_watch.held_engines(key)
        if poison_status is PoisonStatus.CLEAN:
            return choose(held)
        engine = choose(held | self._crash_watch.engines_with_suspects(key))
        engine = engine if engine is not None else choose(held)
        if engine is None or not self._crash_watch.may_start_suspect(key):
            return None
        return engine
