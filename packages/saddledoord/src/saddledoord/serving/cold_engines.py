# SPDX-License-Identifier: MIT

"""
Which engines are cold, and how many more requests this VM may send them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from saddledoor import (
    ColdLimit,
    EngineEntry,
    EngineTable,
    GatewayService,
    SendWindow,
    TrackedSend,
)

from ..cluster.view import ClusterView


__all__ = ["ColdEngines", "ColdFacts", "ColdPermission"]


@dataclass(frozen=True)
class ColdPermission:
    """
    Whether this VM may send to cold engines of a service.

    :param is_granted: Whether it holds a work share of the service whose lease no other
        VM can have claimed yet.
    :param holders: Number of work shares among which the service's jobs are divided.
    """

    is_granted: bool
    holders: int = 1


@dataclass(frozen=True)
class ColdFacts:
    """
    What the gate needs to know of an engine of a service with a limit.

    :param until: Until when it is known or presumed to be cold, monotonic, in seconds.
    :param sends_left: Requests that this VM may still send it now.
    :param free_at: Earliest time at which it may send one, as far as the limit goes,
        monotonic, in seconds.
    """

    is_cold: bool
    until: float
    may_send_to_cold: bool
    sends_left: int
    free_at: float


@dataclass
class _Sends:
    """
    :param held: Requests for which the engine was chosen and that are not sent yet.
    """

    window: SendWindow = field(default_factory=SendWindow)
    held: int = 0


class ColdEngines:
    """
    Tracks coldness and sends of the engines of services that have a limit.

    :param permission: Returns whether this VM may send to cold engines of a service.
    :param bounds: Factor and constant of the limit; see `ColdLimit.of`.
    """

    def __init__(
        self,
        view: ClusterView,
        permission: Callable[[GatewayService], ColdPermission],
        bounds: tuple[float, float],
    ) -> None:
        self._view = view
        self._permission = permission
        self._bounds = bounds
        self._sends: EngineTable[_Sends] = view.engine_tables.table(_Sends)

    def set_bounds(self, bounds: tuple[float, float]) -> None:
        """
        Change the bounds while the process runs.
        """
        self._bounds = bounds

    def is_limited(self, service: str) -> bool:
        """
        Return whether the engines of a service have a limit.
        """
        config = self._view.config
        found = config.services.get(service) if config else None
        return found is not None and found.cold_rate > 0

    def is_cold(self, engine: EngineEntry, now: float) -> bool:
        """
        Return whether an engine is known or presumed to be cold.
        """
        service = self._limited_service(engine)
        return service is not None and now < self._cold_until(engine, service)

    def facts(
        self, engine: EngineEntry, now: float, is_held: bool = False
    ) -> ColdFacts | None:
        """
        Return what limits the requests to an engine; None if nothing does.

        :param is_held: Whether the request in question holds a place at the engine.
        """
        service = self._limited_service(engine)
        if service is None:
            return None
        until = self._cold_until(engine, service)
        limit = ColdLimit.of(service.cold_rate, *self._bounds)
        allowed, is_granted = limit.per_vm(), True
        if now < until:
            permission = self._permission(service)
            allowed, is_granted = (
                limit.per_vm(permission.holders),
                permission.is_granted,
            )
        sends = self._sends[engine.incarnation]
        held = 0 if is_held else sends.held
        left = allowed - held - sends.window.count(now)
        free_at = sends.window.free_at(now, max(1, allowed - held))
        return ColdFacts(now < until, until, is_granted, left, free_at)

    def hold(self, engine: EngineEntry) -> Callable[[], None]:
        """
        Hold a place for a request that is sent later; return the function that releases
        it, which has an effect once.
        """
        if self._limited_service(engine) is None:
            return _nothing
        sends = self._sends[engine.incarnation]
        sends.held += 1
        is_held = True

        def release() -> None:
            nonlocal is_held
            sends.held -= is_held
            is_held = False

        return release

    def record_permit(self, engine: EngineEntry, now: float) -> TrackedSend | None:
        """
        Count a request that may be sent now; return None if it need not be counted.
        """
        if self._limited_service(engine) is None:
            return None
        return self._sends[engine.incarnation].window.add(now)

    def _limited_service(self, engine: EngineEntry) -> GatewayService | None:
        if not self.is_limited(engine.service):
            return None
        return self._view.config.services[engine.service]

    def _cold_until(self, engine: EngineEntry, service: GatewayService) -> float:
        ended_at = self._view.evacuations.ended_at(engine.data_centre)
        state = self._view.cold_states[engine.incarnation]
        return state.until(service.cold_start, ended_at)


def _nothing() -> None:
    pass
