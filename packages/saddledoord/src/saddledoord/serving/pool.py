# SPDX-License-Identifier: MIT

"""
Tracks this node's requests in flight at each engine, and the engine's failures.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from saddledoor import (
    Candidate,
    EngineEntry,
    Incarnation,
    RoutingPolicy,
    SendNeeds,
)

from .._clock import boot_time
from ..cluster.view import ClusterView
from .gate import SendGate


__all__ = ["EnginePool", "Reservation"]

#: Needs of a request that any engine may run.
_NO_NEEDS = SendNeeds()
#: First and longest backoff of an engine that refused a kind of request, in seconds;
#: doubled with each refusal. Loading weights (0.9 s) is the usual reason.
_REFUSAL_BACKOFF = 0.05
_MAX_REFUSAL_BACKOFF = 0.2
#: First and longest backoff after a failure, in seconds; doubled with each failure.
_FAILURE_BACKOFF = 0.25
_MAX_FAILURE_BACKOFF = 2.0
#: Least time between two requests that are retried at an engine that has answered none
#: since it failed, in seconds. It is not doubled: each request backs off on its own.
_RETRY_INTERVAL = 0.25
#: How long an engine is chosen only after the others once another engine has received
#: a request later and answered it first (overtaken it), in seconds. It covers two of
#: the pauses between a node's requests, so that not each goes to a slow engine first.
_OVERTAKEN_PENALTY = 4.0


class Reservation:
    """
    A slot of an engine that is reserved for one request.

    :param on_release: Called at the first release.
    :param on_sent: Called when the request is sent or will not be.
    """

    def __init__(
        self, on_release: Callable[[], None], on_sent: Callable[[], None] | None = None
    ) -> None:
        self._on_release: Callable[[], None] | None = on_release
        self._on_sent = on_sent

    def record_sent(self) -> None:
        """
        Record that the request is sent or will not be; further calls have no effect.
        """
        on_sent, self._on_sent = self._on_sent, None
        if on_sent is not None:
            on_sent()

    def release(self) -> None:
        """
        Release the slot; further calls have no effect.
        """
        self.record_sent()
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release()

    def __enter__(self) -> Reservation:
        return self

    def __exit__(self, *exc_info) -> None:
        self.release()


@dataclass
class _Refusal:
    """
    The consecutive refusals of one kind of request by an engine.

    :param count: Number of refusals in a row.
    :param until: End of the backoff, monotonic, in seconds.
    :param is_probing: Whether a request that was sent after the refusal is in flight.
    """

    count: int = 0
    until: float = 0.0
    is_probing: bool = False


@dataclass(eq=False)
class _EngineLoad:
    """
    The requests of this node at an engine, and the engine's recent failures.

    :param in_flight: Number of requests in flight.
    :param backoff_until: End of the backoff after failures, monotonic, in seconds.
    :param overtaken_until: Until when the engine is chosen after the others, monotonic,
        in seconds.
    :param failures: Number of failures in a row.
    :param refusals: By kind of request: the model of a job item, or empty for any other
        request.
    :param retry_at: Earliest time of the next request that is retried at the engine,
        monotonic, in seconds.
    """

    in_flight: int = 0
    backoff_until: float = 0.0
    overtaken_until: float = 0.0
    failures: int = 0
    refusals: dict[str, _Refusal] = field(default_factory=dict)
    retry_at: float = 0.0

    def is_eligible(self, kind: str, now: float) -> bool:
        """
        Return whether the engine may be sent a request of a kind.
        """
        return self.backoff_until <= now and self._accepts(kind, now)

    def may_retry(self, now: float) -> bool:
        """
        Return whether a request may be retried at the engine.
        """
        return self.retry_at <= now and self._accepts("", now)

    def _accepts(self, kind: str, now: float) -> bool:
        refusal = self.refusals.get(kind)
        return refusal is None or (refusal.until <= now and not refusal.is_probing)


class EnginePool:
    """
    Chooses engines for requests and backs off from those that fail.

    Refusals are tracked by engine and kind of request: an engine that loads the weights
    of one model refuses items of that model and goes on with those of other models.

    Engines that the gate denies are never chosen.

    :param choose: Routing policy that chooses among candidates.
    """

    def __init__(
        self, view: ClusterView, choose: RoutingPolicy, gate: SendGate
    ) -> None:
        self._gate = gate
        self._view = view
        self._choose = choose
        self._loads = view.engine_tables.table(_EngineLoad)

    def choose(
        self,
        service: str,
        exclude: Iterable[Incarnation] = (),
        needs: SendNeeds = _NO_NEEDS,
    ) -> EngineEntry | None:
        """
        Return an engine for a request that is not a job item, or None.

        If all engines are backing off, one of them is chosen all the same.

        :param exclude: Engines that were tried already.
        """
        now = boot_time()
        tried = set(exclude)
        allowed = self._allowed(service, needs, now)
        untried = [engine for engine in allowed if engine.incarnation not in tried]
        eligible = [engine for engine in untried if self._is_eligible(engine, "", now)]
        eligible = self.without_cold(eligible, now) or eligible
        fast = [e for e in eligible if self._load_of(e).overtaken_until <= now]
        return self._choose_among(
            {e.engine_id: e for e in fast or eligible or untried},
            {e.data_centre for e in allowed if e.incarnation in tried},
        )

    def choose_again(
        self,
        service: str,
        among: Collection[Incarnation],
        needs: SendNeeds = _NO_NEEDS,
    ) -> EngineEntry | None:
        """
        Return an engine at which a request may be retried now, or None.

        :param among: Engines that have received the request.
        """
        now = boot_time()
        engines = {
            engine.engine_id: engine
            for engine in self._allowed(service, needs, now)
            if engine.incarnation in among and self._load_of(engine).may_retry(now)
        }
        return self._choose_among(engines)

    def retry_times(
        self, service: str, needs: SendNeeds = _NO_NEEDS
    ) -> dict[Incarnation, float]:
        """
        Return the earliest time of a retry at each engine of a service, monotonic, in
        seconds.
        """
        allowed = self._allowed(service, needs, boot_time())
        return {e.incarnation: self._load_of(e).retry_at for e in allowed}

    def record_retry(self, engine: EngineEntry) -> None:
        """
        Record that a request is retried at an engine, which delays further retries.

        Requests that failed together would otherwise be retried together.
        """
        self._load_of(engine).retry_at = boot_time() + _RETRY_INTERVAL

    def with_free_slots(
        self, service: str, kind: str, needs: SendNeeds = _NO_NEEDS
    ) -> list[EngineEntry]:
        """
        Return the engines that have more slots than requests of this node in flight,
        and that accept requests of a kind.
        """
        now = boot_time()
        return [
            engine
            for engine in self._allowed(service, needs, now)
            if self._load_of(engine).in_flight < engine.slots
            and self._is_eligible(engine, kind, now)
        ]

    def without_cold(
        self, engines: Iterable[EngineEntry], now: float
    ) -> list[EngineEntry]:
        """
        Return the engines that are not cold; cold ones are chosen after the others.
        """
        return [engine for engine in engines if not self._gate.is_cold(engine, now)]

    def hold(self, engine: EngineEntry) -> Callable[[], None]:
        """
        Hold a place at an engine for a request that is sent later; see `SendGate.hold`.
        """
        return self._gate.hold(engine)

    def in_flight(self, engine: EngineEntry) -> int:
        """
        Return the number of requests that this node has in flight at an engine.
        """
        return self._load_of(engine).in_flight

    def reserve(self, engine: EngineEntry, kind: str = "") -> Reservation:
        """
        Reserve a slot at an engine at once, so that the next choice counts it.
        """
        load = self._load_of(engine)
        load.in_flight += 1
        refusal = load.refusals.get(kind)
        if refusal is not None:
            refusal.is_probing = True
        return Reservation(lambda: _release(load, refusal))

    def record_success(self, engine: EngineEntry, kind: str = "") -> None:
        """
        Record an answer, which ends the backoff of an engine for a kind of request.
        """
        load = self._load_of(engine)
        load.refusals.pop(kind, None)
        load.failures = 0
        load.backoff_until = 0.0
        load.retry_at = 0.0

    def record_refusal(self, engine: EngineEntry, kind: str = "") -> None:
        """
        Record that an engine refused a request of a kind.
        """
        refusal = self._load_of(engine).refusals.setdefault(kind, _Refusal())
        backoff = min(_MAX_REFUSAL_BACKOFF, _REFUSAL_BACKOFF * 2**refusal.count)
        refusal.count += 1
        refusal.until = boot_time() + backoff

    def record_overtaken(self, engine: EngineEntry) -> None:
        """
        Record that another engine got a request later and answered it first; a cold
        engine is expected to be slow.
        """
        now = boot_time()
        if not self._gate.is_cold(engine, now):
            self._load_of(engine).overtaken_until = now + _OVERTAKEN_PENALTY

    def record_failure(self, engine: EngineEntry) -> None:
        """
        Record that an engine gave no usable answer.
        """
        load = self._load_of(engine)
        load.failures += 1
        backoff = _FAILURE_BACKOFF * 2 ** (load.failures - 1)
        load.backoff_until = boot_time() + min(_MAX_FAILURE_BACKOFF, backoff)

    def _choose_among(
        self,
        engines: Mapping[str, EngineEntry],
        tried_centres: Collection[str] = (),
    ) -> EngineEntry | None:
        if not engines:
            return None
        candidates = [
            Candidate(
                engine_id,
                max(1, engine.slots),
                self._load_of(engine).in_flight,
                is_centre_tried=engine.data_centre in tried_centres,
            )
            for engine_id, engine in engines.items()
        ]
        return engines[self._choose(candidates).name]

    def _allowed(self, service: str, needs: SendNeeds, now: float) -> list[EngineEntry]:
        """
        Return the engines of a service that the gate allows.
        """
        usable = self._view.directory.usable(service, now)
        if self._gate.is_unrestricted(service, needs):
            return usable
        return [e for e in usable if self._gate.is_allowed(e, needs, now)]

    def _load_of(self, engine: EngineEntry) -> _EngineLoad:
        return self._loads[engine.incarnation]

    def _is_eligible(self, engine: EngineEntry, kind: str, now: float) -> bool:
        return self._load_of(engine).is_eligible(kind, now)


def _release(load: _EngineLoad, refusal: _Refusal | None) -> None:
    load.in_flight -= 1
    if refusal is not None:
        refusal.is_probing = False
