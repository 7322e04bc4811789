# SPDX-License-Identifier: MIT

"""
Routes of the gateway: which service a request goes to, and whether it is repeatable.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from ._workspaces import WorkspaceTable
from .eligibility import intersect_regions
from .scaling import ScalingLimits


__all__ = [
    "GatewayConfig",
    "GatewayLimits",
    "GatewayRoute",
    "GatewayService",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
    "unservable_pairs",
]

#: Timeout of a request's head where no configuration sets one, in seconds.
_HEAD_TIMEOUT = 10.0


class RouteKind(Enum):
    """
    Kind of a route's requests; it determines whether they may be repeated.
    """

    #: Idempotent requests; they may run more than once.
    SAFE = "safe"
    #: Requests that run at most once.
    UNSAFE = "unsafe"
    #: Streams of events; they run at most once unless the route is resumable.
    STREAM = "stream"
    #: Batch jobs of a trainer.
    JOB = "job"


@dataclass(frozen=True)
class ServiceShare:
    """
    A service's share of a route's requests.

    :param weight: Relative to the other shares; 0 sends no requests.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class GatewayRoute:
    """
    A route by host and path prefix.

    :param timeout: Longest time a request may be held, in seconds.
    :param objective: Target time of an answer, in seconds.
    :param max_attempts: Maximum number of back ends one request may be sent to.
    :param rank: Priority; 0 is the most urgent.
    :param resumable: Whether a broken stream may be resumed at another back end.
    :param single_version: Whether a sample must come from one weight version.
    :param max_item_age: Age at which an item of a job may be given up, in seconds;
        none if items are never given up.
    :param needs_key: Whether a request needs a workspace's API key, if workspaces are
        configured.
    :param allowed_regions: Regions that may serve and store its requests; none if any
        region may.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    max_attempts: int
    rank: int = 0
    resumable: bool = False
    single_version: bool = False
    max_item_age: float | None = None
    needs_key: bool = True
    allowed_regions: frozenset[str] | None = None

    def service(self, draw: float) -> str:
        """
        Return the service for one request.

        :param draw: A random number in [0, 1).
        """
        total = sum(share.weight for share in self.shares)
        point = draw * total
        for share in self.shares:
            if point < share.weight:
                return share.service
            point -= share.weight
        return self.shares[-1].service


@dataclass(frozen=True)
class GatewayService:
    """
    Configuration of a service's back ends.

    :param models: Names of the models that its engines run; empty for a plain service.
    :param cold_start: How long an engine is cold after its start, in seconds.
    :param cold_rate: Requests that a cold engine bears, per second; 0 for no limit.
    :param scaling: Limits and prices for ordering engines; none if their number cannot
        be ordered.
    """

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    cold_start: float = 0.0
    cold_rate: float = 0.0
    scaling: ScalingLimits | None = None


@dataclass(frozen=True)
class GatewayLimits:
    """
    Limits on callers' requests and connections.

    :param idle_timeout: How long a connection may be idle, in seconds.
    :param head_timeout: How long a request's head may take, in seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    idle_timeout: float
    head_timeout: float = _HEAD_TIMEOUT


@dataclass(frozen=True)
class GatewayConfig:
    """
    A complete configuration of the gateway.

    :param version: Increases with each configuration, not always by one.
    :param workspaces: Workspaces whose keys are accepted; none if requests need no key.
    """

    version: int
    routes: tuple[GatewayRoute, ...]
    services: Mapping[str, GatewayService]
    limits: GatewayLimits
    workspaces: WorkspaceTable | None = None

    @cached_property
    def restricts_regions(self) -> bool:
        """
        Whether any route or workspace allows only some regions.
        """
        workspaces = self.workspaces
        named = [workspaces.named(n) for n in workspaces.names()] if workspaces else []
        return any(
            owner.allowed_regions is not None for owner in [*self.routes, *named]
        )

    def regions_for(
        self, allowed: frozenset[str] | None, workspace: str | None
    ) -> frozenset[str] | None:
        """
        Return the regions that a route and a workspace allow; none if any region may
        serve the request.

        A workspace that the configuration does not have restricts nothing.

        :param allowed: Regions that the route allows; none if it allows any.
        :param workspace: Name of the workspace; empty or none without one.
        """
        if not workspace or self.workspaces is None:
            return allowed
        found = self.workspaces.named(workspace)
        return intersect_regions(allowed, found.allowed_regions if found else None)


def unservable_pairs(config: GatewayConfig) -> dict[str, tuple[str, ...]]:
    """
    Return the workspaces whose requests no region may serve, by the route's name.

    An empty name stands for callers without a workspace.
    """
    workspaces = config.workspaces.names() if config.workspaces else []
    pairs = {
        route.name: tuple(
            name
            for name in ["", *workspaces]
            if config.regions_for(route.allowed_regions, name) == frozenset()
        )
        for route in config.routes
    }
    return {route: names for route, names in pairs.items() if names}


@dataclass(frozen=True)
class RouteTable:
    """
    Routes by host and path prefix.
    """

    _by_host: dict[str, tuple[GatewayRoute, ...]] = field(default_factory=dict)

    @classmethod
    def from_config(cls, routes: Sequence[GatewayRoute]) -> RouteTable:
        """
        Build the table; longer prefixes are tried first.
        """
        by_host: dict[str, list[GatewayRoute]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda r: -len(r.path_prefix)))
            for host, found in by_host.items()
        }
        return cls(ordered)

    def find(self, host: str, path: str) -> GatewayRoute | None:
        """
        Return the route of a host with the longest prefix of the path, or none.

        :param host: Host name, with or without a port.
        """
        for route in self._of_host(host):
            if path.startswith(route.path_prefix):
                return route
        return None

    def jobs_need_key(self, host: str) -> bool:
        """
        Return whether job calls to a host need a key; they do unless the host has job
        routes and none of them needs one.
        """
        routes = [r for r in self._of_host(host) if r.kind is RouteKind.JOB]
        return not routes or any(route.needs_key for route in routes)

    def _of_host(self, host: str) -> tuple[GatewayRoute, ...]:
        return self._by_host.get(host.partition(":")[0].lower(), ())
