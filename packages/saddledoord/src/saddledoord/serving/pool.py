# SPDX-License-Identifier: MIT

"""
This node's own view of the engines: what it has in flight and who failed lately.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saddledoor import Candidate, Choose, EngineEntry

from .._clock import boot_time
from ..cluster.view import ClusterView


__all__ = ["EnginePool", "Place"]

#: First and longest time for which an engine that refused gets no new work of the same
#: kind, in seconds, doubled each time: a part of what a load of weights takes (0.9 s),
#: the longest usual reason.
_REFUSED_PAUSE = 0.05
_REFUSED_PAUSE_MOST = 0.2
#: First and longest pause after a failure, in seconds; doubled each time.
_FAILED_PAUSE = 0.25
_FAILED_PAUSE_MOST = 2.0
#: How long an engine that another one has overtaken is asked after the others, in
#: seconds: two of the pauses between the requests of a node among many, so that not
#: every one of them goes first to an engine that stays slow.
_OVERTAKEN_PAUSE = 4.0


class Place:
    """
    A request's place at an engine, given back once.
    """

    def __init__(self, give_back: Callable[[], None]) -> None:
        self._give_back: Callable[[], None] | None = give_back

    def release(self) -> None:
        """
        Give the place back; a second call changes nothing.
        """
        give_back, self._give_back = self._give_back, None
        if give_back is not None:
            give_back()

    def __enter__(self) -> Place:
        return self

    def __exit__(self, *exc_info) -> None:
        self.release()


@dataclass
class _Refusal:
    """
    An engine that refuses requests of one kind.

    :param count: Of its refusals in a row.
    :param until: Until when it gets none, monotonic, in seconds.
    :param on_trial: Whether one is under way there since.
    """

    count: int = 0
    until: float = 0.0
    on_trial: bool = False


class EnginePool:
    """
    Chooses engines among those that may get work.

    Refusals count by engine and kind of request: an engine that loads the weights of
    one model refuses its items and goes on with those of others. Counted by engine
    alone, each event of another model's stream took the refusal back, and 40 items
    came to one loading engine 200 times a second (trial, a play of one day).

    :param choose: The policy among candidates.
    """

    def __init__(self, view: ClusterView, choose: Choose) -> None:
        self._view = view
        self._choose = choose
        self._own: Counter[str] = Counter()
        self._paused: dict[str, float] = {}
        self._overtaken: dict[str, float] = {}
        self._failures: Counter[str] = Counter()
        self._refusals: dict[tuple[str, str], _Refusal] = {}

    def choose(
        self, service: str, exclude: Iterable[str] = (), kind: str = ""
    ) -> EngineEntry | None:
        """
        Return an engine for one request that cannot wait, or none.

        It goes to an engine that is paused rather than to none: a pause is a guess, a
        refusal is certain.

        :param exclude: Engines that were tried already, by id.
        :param kind: Kind of the request, for refusals.
        """
        now = boot_time()
        tried = set(exclude)
        usable = self._view.directory.usable(service, now)
        untried = [engine for engine in usable if engine.engine_id not in tried]
        rested = [engine for engine in untried if self._rested(engine, kind, now)]
        fast = [e for e in rested if self._overtaken.get(e.engine_id, 0.0) <= now]
        engines = {engine.engine_id: engine for engine in fast or rested or untried}
        if not engines:
            return None
        candidates = [
            Candidate(engine_id, max(1, engine.slots), self._own[engine_id])
            for engine_id, engine in engines.items()
        ]
        return engines[self._choose(candidates).name]

    def with_room(self, service: str, kind: str) -> list[EngineEntry]:
        """
        Return the engines whose slots this node has not filled and that take requests
        of a kind.
        """
        now = boot_time()
        return [
            engine
            for engine in self._view.directory.usable(service, now)
            if self._own[engine.engine_id] < engine.slots
            and self._rested(engine, kind, now)
        ]

    def own(self, engine_id: str) -> int:
        """
        Return how many requests this node has at an engine, a count.
        """
        return self._own[engine_id]

    def take(self, engine: EngineEntry, kind: str = "") -> Place:
        """
        Take a place at an engine at once, so that the next choice counts it.
        """
        self._own[engine.engine_id] += 1
        refusal = self._refusals.get((engine.engine_id, kind))
        if refusal is not None:
            refusal.on_trial = True
        return Place(lambda: self._give_back(engine.engine_id, refusal))

    def answered(self, engine: EngineEntry, kind: str = "") -> None:
        """
        Note that an engine works, and takes requests of a kind.
        """
        self._refusals.pop((engine.engine_id, kind), None)
        self._failures.pop(engine.engine_id, None)
        self._paused.pop(engine.engine_id, None)

    def refused(self, engine: EngineEntry, kind: str = "") -> None:
        """
        Note that an engine takes no requests of a kind just now.
        """
        key = (engine.engine_id, kind)
        refusal = self._refusals.setdefault(key, _Refusal())
        pause = min(_REFUSED_PAUSE_MOST, _REFUSED_PAUSE * 2**refusal.count)
        refusal.count += 1
        refusal.until = boot_time() + pause

    def _rested(self, engine: EngineEntry, kind: str, now: float) -> bool:
        if self._paused.get(engine.engine_id, 0.0) > now:
            return False
        refusal = self._refusals.get((engine.engine_id, kind))
        return refusal is None or (refusal.until <= now and not refusal.on_trial)

    def _give_back(self, engine_id: str, refusal: _Refusal | None) -> None:
        self._own[engine_id] -= 1
        if not self._own[engine_id]:
            del self._own[engine_id]
        if refusal is not None:
            refusal.on_trial = False

    def overtaken(self, engine: EngineEntry) -> None:
        """
        Note that another engine was asked later and answered first.
        """
        self._overtaken[engine.engine_id] = boot_time() + _OVERTAKEN_PAUSE

    def failed(self, engine: EngineEntry) -> None:
        """
        Note that an engine did not answer, or not as it should.
        """
        self._failures[engine.engine_id] += 1
        doubled = _FAILED_PAUSE * 2 ** (self._failures[engine.engine_id] - 1)
        pause = min(_FAILED_PAUSE_MOST, doubled)
        self._paused[engine.engine_id] = boot_time() + pause
