# SPDX-License-Identifier: MIT

"""
This node's own view of the engines: what it has in flight and who failed lately.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from saddledoor import Candidate, EngineEntry, Incarnation, RoutingPolicy

from .._clock import boot_time
from ..cluster.view import ClusterView


__all__ = ["EnginePool", "Reservation"]

#: First and longest time for which an engine that refused gets no new work of the same
#: kind, in seconds, doubled each time: a part of what a load of weights takes (0.9 s),
#: the longest usual reason.
_REFUSED_PAUSE = 0.05
_REFUSED_PAUSE_MOST = 0.2
#: First and longest pause after a failure, in seconds; doubled each time.
_FAILED_PAUSE = 0.25
_FAILED_PAUSE_MOST = 2.0
#: Between requests that go to an engine again while it has answered none, in seconds:
#: not doubled like the pause, since each has a caller with a deadline that waits for
#: it; a request itself returns after doubled pauses.
_RETURN_SPACING = 0.25
#: How long an engine that another one has overtaken is asked after the others, in
#: seconds: two of the pauses between the requests of a node among many, so that not
#: every one of them goes first to an engine that stays slow.
_OVERTAKEN_PAUSE = 4.0


class Reservation:
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

    def __enter__(self) -> Reservation:
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


@dataclass(eq=False)
class _Use:
    """
    What this node has at an engine, and how the engine has done.

    :param in_flight: Requests in flight, a count.
    :param paused_until: After failures, monotonic, in seconds.
    :param overtaken_until: While it is asked after the others, monotonic, in seconds.
    :param failures: In a row, a count.
    :param refusals: By kind of request.
    :param return_at: From when on a request that failed there may go there again,
        monotonic, in seconds.
    """

    in_flight: int = 0
    paused_until: float = 0.0
    overtaken_until: float = 0.0
    failures: int = 0
    refusals: dict[str, _Refusal] = field(default_factory=dict)
    return_at: float = 0.0

    def is_rested(self, kind: str, now: float) -> bool:
        """
        Return whether it may get a request of a kind.
        """
        return self.paused_until <= now and self._takes(kind, now)

    def may_return(self, now: float) -> bool:
        """
        Return whether a request may go there again.
        """
        return self.return_at <= now and self._takes("", now)

    def _takes(self, kind: str, now: float) -> bool:
        refusal = self.refusals.get(kind)
        return refusal is None or (refusal.until <= now and not refusal.on_trial)


class EnginePool:
    """
    Chooses engines among those that may get work.

    Refusals count by engine and kind of request: an engine that loads the weights of
    one model refuses its items and goes on with those of others. Counted by engine
    alone, each event of another model's stream took the refusal back, and 40 items
    came to one loading engine 200 times a second (trial, a play of one day).

    :param choose: The policy among candidates.
    """

    def __init__(self, view: ClusterView, choose: RoutingPolicy) -> None:
        self._view = view
        self._choose = choose
        self._uses = view.engine_tables.table(_Use)

    def choose(
        self, service: str, exclude: Iterable[Incarnation] = (), kind: str = ""
    ) -> EngineEntry | None:
        """
        Return an engine for one request that cannot wait, or none.

        It goes to an engine that is paused rather than to none: a pause is a guess, a
        refusal is certain.

        :param exclude: Engines that were tried already.
        :param kind: Kind of the request, for refusals.
        """
        now = boot_time()
        tried = set(exclude)
        usable = self._view.directory.usable(service, now)
        untried = [engine for engine in usable if engine.incarnation not in tried]
        rested = [engine for engine in untried if self._rested(engine, kind, now)]
        fast = [e for e in rested if self._use(e).overtaken_until <= now]
        return self._among({e.engine_id: e for e in fast or rested or untried})

    def choose_again(
        self, service: str, among: Collection[Incarnation]
    ) -> EngineEntry | None:
        """
        Return one of some engines that have had the request, or none that may now.
        """
        now = boot_time()
        engines = {
            engine.engine_id: engine
            for engine in self._view.directory.usable(service, now)
            if engine.incarnation in among and self._use(engine).may_return(now)
        }
        return self._among(engines)

    def returns_at(self, service: str) -> dict[Incarnation, float]:
        """
        Return from when on each engine of a service may be asked again by requests that
        it has had, monotonic, in seconds, as far as is known now.
        """
        usable = self._view.directory.usable(service, boot_time())
        return {e.incarnation: self._use(e).return_at for e in usable}

    def asked_again(self, engine: EngineEntry) -> None:
        """
        Note that a request goes there again; until it is answered, others wait.

        All that failed with it come back at the same time. Of 20 requests that failed
        at once, 40 more calls reached the engine within 0.7 s, and 2 do.
        """
        self._use(engine).return_at = boot_time() + _RETURN_SPACING

    def with_free_slots(self, service: str, kind: str) -> list[EngineEntry]:
        """
        Return the engines whose slots this node has not filled and that take requests
        of a kind.
        """
        now = boot_time()
        return [
            engine
            for engine in self._view.directory.usable(service, now)
            if self._use(engine).in_flight < engine.slots
            and self._rested(engine, kind, now)
        ]

    def in_flight(self, engine: EngineEntry) -> int:
        """
        Return how many requests this node has at an engine, a count.
        """
        return self._use(engine).in_flight

    def reserve(self, engine: EngineEntry, kind: str = "") -> Reservation:
        """
        Take a place at an engine at once, so that the next choice counts it.
        """
        use = self._use(engine)
        use.in_flight += 1
        refusal = use.refusals.get(kind)
        if refusal is not None:
            refusal.on_trial = True
        return Reservation(lambda: _give_back(use, refusal))

    def record_success(self, engine: EngineEntry, kind: str = "") -> None:
        """
        Note that an engine works, and takes requests of a kind.
        """
        use = self._use(engine)
        use.refusals.pop(kind, None)
        use.failures = 0
        use.paused_until = 0.0
        use.return_at = 0.0

    def record_refusal(self, engine: EngineEntry, kind: str = "") -> None:
        """
        Note that an engine takes no requests of a kind just now.
        """
        refusal = self._use(engine).refusals.setdefault(kind, _Refusal())
        pause = min(_REFUSED_PAUSE_MOST, _REFUSED_PAUSE * 2**refusal.count)
        refusal.count += 1
        refusal.until = boot_time() + pause

    def record_overtaken(self, engine: EngineEntry) -> None:
        """
        Note that another engine was asked later and answered first.
        """
        self._use(engine).overtaken_until = boot_time() + _OVERTAKEN_PAUSE

    def record_failure(self, engine: EngineEntry) -> None:
        """
        Note that an engine did not answer, or not as it should.
        """
        use = self._use(engine)
        use.failures += 1
        doubled = _FAILED_PAUSE * 2 ** (use.failures - 1)
        use.paused_until = boot_time() + min(_FAILED_PAUSE_MOST, doubled)

    def _among(self, engines: Mapping[str, EngineEntry]) -> EngineEntry | None:
        if not engines:
            return None
        candidates = [
            Candidate(engine_id, max(1, engine.slots), self._use(engine).in_flight)
            for engine_id, engine in engines.items()
        ]
        return engines[self._choose(candidates).name]

    def _use(self, engine: EngineEntry) -> _Use:
        return self._uses[engine.incarnation]

    def _rested(self, engine: EngineEntry, kind: str, now: float) -> bool:
        return self._use(engine).is_rested(kind, now)


def _give_back(use: _Use, refusal: _Refusal | None) -> None:
    use.in_flight -= 1
    if refusal is not None:
        refusal.on_trial = False
