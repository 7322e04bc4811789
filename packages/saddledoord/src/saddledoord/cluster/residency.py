# SPDX-License-Identifier: MIT

"""
The regions that may serve a request or run a job, by the newest configuration.
"""

from __future__ import annotations

from collections.abc import Callable

from saddledoor import (
    GatewayConfig,
    GatewayRoute,
    Job,
    JobOpened,
    intersect_regions,
    share_regions,
)


__all__ = ["Residency"]


class Residency:
    """
    Applies the restrictions of routes and workspaces.

    :param config: Returns the newest configuration, or None before the first.
    :param find_route: Returns the route of a host and a path under it.
    :ivar own_region: Region of this VM; empty if it is unknown.
    """

    def __init__(
        self,
        config: Callable[[], GatewayConfig | None],
        find_route: Callable[[str, str], GatewayRoute | None],
    ) -> None:
        self.own_region = ""
        self._config = config
        self._find_route = find_route

    @property
    def is_used(self) -> bool:
        """
        Whether the newest configuration restricts anything.
        """
        config = self._config()
        return config is not None and config.restricts_regions

    def request_regions(
        self, route: GatewayRoute, host: str, path: str, workspace: str | None
    ) -> frozenset[str] | None:
        """
        Return the regions that may serve a request now; none if any may.

        :param route: Route that the request had when it arrived; it counts if the
            newest configuration has none for the request.
        :param workspace: Name of its workspace; empty or none without one.
        """
        newest = self._find_route(host, path) or route
        return self._restrict(newest.allowed_regions, workspace)

    def job_regions(self, job: Job | JobOpened) -> frozenset[str] | None:
        """
        Return the regions that may run a job; none if any may.

        A job whose route is gone stays restricted to the regions in which its items
        were stored.
        """
        route = self._find_route(job.host, job.path)
        if route is not None:
            allowed = route.allowed_regions
        else:
            stored = job.items.regions if isinstance(job, JobOpened) else None
            allowed = None if stored is None else frozenset(stored)
        return self._restrict(allowed, job.workspace)

    def item_regions(self, job: JobOpened, path: str) -> frozenset[str] | None:
        """
        Return the regions that may run an item of a job; none if any may.

        :param path: Path of the item, whose route may differ from the job's.
        """
        route = self._find_route(job.host, path)
        of_item = route.allowed_regions if route is not None else None
        return intersect_regions(self.job_regions(job), of_item)

    def may_run(self, job: JobOpened) -> bool:
        """
        Return whether this VM is in a region that may run a job.
        """
        return self._is_within(self.job_regions(job))

    def may_hold(self, share: str) -> bool:
        """
        Return whether this VM is in a region that may hold a work share.
        """
        return self._is_within(share_regions(share))

    def _restrict(
        self, allowed: frozenset[str] | None, workspace: str | None
    ) -> frozenset[str] | None:
        config = self._config()
        return allowed if config is None else config.regions_for(allowed, workspace)

    def _is_within(self, regions: frozenset[str] | None) -> bool:
        return regions is None or self.own_region in regions
