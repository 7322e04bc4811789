# SPDX-License-Identifier: MIT

"""
Reserves engines for the isolated starts of requests that may crash engines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import structlog

from saddledoor import EngineEntry, EngineTable, Incarnation

from .._clock import boot_time
from .engine_runs import EngineRuns


__all__ = ["Choose", "Isolation"]

_log = structlog.get_logger()

#: Chooses an engine that is not among the given ones.
Choose = Callable[[Iterable[Incarnation]], EngineEntry | None]

#: Time beyond the crash window for which an engine is held, in seconds; the requests
#: that had begun there when it was chosen are no suspects then.
_HOLD_MARGIN = 0.3
#: Longest time that a request waits for an engine where it is alone, in seconds.
_MAX_WAIT = 2.0
#: Time after which a wait that nobody asks about has ended, in seconds.
_FORGET_AFTER = 1.0


class Isolation:
    """
    Chooses engines at which no other request of this node may cause a crash.

    If there is none, one engine gets no further requests until those that it has have
    either run for the crash window or delivered events for some time.

    :param window: Returns the longest time from a request's start to a crash that it
        caused, in seconds.
    """

    def __init__(
        self, runs: EngineTable[EngineRuns], window: Callable[[], float]
    ) -> None:
        self._runs = runs
        self._window = window
        # Engines that may be reserved; `held_engines` drops those that no longer are.
        self._reserved: set[Incarnation] = set()
        # By request that waits: since when, and when it asked last.
        self._waits: dict[str, tuple[float, float]] = {}

    def held_engines(self, key: str) -> set[Incarnation]:
        """
        Return the engines that are reserved for other requests than the given one.
        """
        now, window = boot_time(), self._window()
        held = set()
        for engine in list(self._reserved):
            row = self._runs.get(engine)
            if row is None or not row.is_held("", now, window):
                self._reserved.discard(engine)
            elif row.is_held(key, now, window):
                held.add(engine)
        return held

    def record_start(self, engine: Incarnation, key: str) -> bool:
        """
        Record that a request is about to start at an engine; return whether it is alone
        there.
        """
        is_alone = self.is_free(engine, key)
        self._waits.pop(key, None)
        self.release(key)
        if is_alone:
            self._reserved.add(engine)
        return is_alone

    def is_running(self, key: str) -> bool:
        """
        Return whether a request is at an engine that may yet crash because of it.
        """
        now, window = boot_time(), self._window()
        return any(
            run.key == key and run.may_cause_crash(now, window)
            for row in self._runs.rows()
            if not row.has_ended
            for run in row.runs
        )

    def is_free(self, engine: Incarnation, key: str) -> bool:
        """
        Return whether a request would be alone at an engine.
        """
        row, now, window = self._runs[engine], boot_time(), self._window()
        return not (row.is_held(key, now, window) or row.has_suspects(now, window))

    def has_waited(self, key: str) -> bool:
        """
        Return whether a request has waited for as long as it may.
        """
        since, asked_at = self._waits.get(key, (boot_time(), boot_time()))
        return boot_time() - asked_at <= _FORGET_AFTER and asked_at - since > _MAX_WAIT

    def choose(self, key: str, choose: Choose) -> EngineEntry | None:
        """
        Return an engine for an isolated start, or None if the request must wait.
        """
        self._record_wait(key)
        busy = [e for e in self._runs if not self.is_free(e, key)]
        # The entry of a crashed engine stays for some time.
        ended = [e for e in self._runs if self._runs[e].has_ended]
        engine = choose([*busy, *ended]) or choose(busy)
        if engine is not None:
            self._hold(engine.incarnation, key)
            return engine
        now = boot_time()
        rows = self._runs.rows()
        if any(row.held_for == key and now < row.held_until for row in rows):
            return None
        engine = choose(self.held_engines(key))
        if engine is not None:
            self._hold(engine.incarnation, key)
            _log.info("engine_held", engine=engine.engine_id, content=key)
        return None

    def release(self, key: str) -> None:
        """
        Release the engine that is held for a request.
        """
        for engine in self._reserved:
            row = self._runs.get(engine)
            if row is not None and row.held_for == key:
                row.held_for, row.held_until = "", float("-inf")

    def _record_wait(self, key: str) -> None:
        now = boot_time()
        for other, (_, asked_at) in list(self._waits.items()):
            if now - asked_at > _FORGET_AFTER:
                del self._waits[other]
        since, _ = self._waits.get(key, (now, now))
        self._waits[key] = (since, now)

    def _hold(self, engine: Incarnation, key: str) -> None:
        self.release(key)
        row = self._runs[engine]
        self._reserved.add(engine)
        row.held_for = key
        row.held_until = boot_time() + self._window() + _HOLD_MARGIN
