# SPDX-License-Identifier: MIT

"""
Follows the demand and the engines of one service, on every node.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from saddledoor import GatewayConfig, JobState, RouteKind
from saddledoor.scaling import Census, Demand, DemandMeter, EngineCensus

from ..cluster.view import ClusterView


__all__ = ["Freshness", "ServiceHistory", "gets_plain_requests"]

#: Largest age of the newest reads of the jobs' log and of the registry, in seconds; an
#: idle follower reads about every 1.3 s.
_MAX_READ_AGE = 3.0
#: Time for which reads must have been fresh before a missing entry shows that its
#: engine is gone, in seconds: engines write their entries again within 2.5 s.
_CERTAIN_AFTER = 4.0
#: The same time before engines may be given back, in seconds.
_SETTLED_AFTER = 20.0


class Freshness:
    """
    How long what this node reads has been fresh without a break.
    """

    def __init__(self) -> None:
        self._fresh_since: float | None = None

    def observe(self, read_at: float, is_reading: bool, now: float) -> None:
        """
        Record the state of the reads.

        :param read_at: Start of the older of the newest reads of the jobs' log and of
            the registry, monotonic, in seconds.
        :param is_reading: Whether both have been read whole and the store answers.
        """
        is_fresh = is_reading and now - read_at <= _MAX_READ_AGE
        if not is_fresh:
            self._fresh_since = None
        elif self._fresh_since is None:
            self._fresh_since = now

    def is_fresh(self) -> bool:
        return self._fresh_since is not None

    def is_certain(self, now: float) -> bool:
        """
        Return whether a missing entry shows that its engine is gone.
        """
        return self.is_fresh() and now - self._fresh_since >= _CERTAIN_AFTER

    def is_settled(self, now: float) -> bool:
        """
        Return whether engines may be given back.
        """
        return self.is_fresh() and now - self._fresh_since >= _SETTLED_AFTER


@dataclass(frozen=True)
class _Work:
    """
    Open items of a service, and the series and ids of their jobs.
    """

    items: int
    jobs: tuple[tuple[str, str], ...]


class ServiceHistory:
    """
    The demand and the census of one service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._meter = DemandMeter()
        self._engines = EngineCensus()
        self.census = Census()

    @property
    def demand(self) -> Demand:
        return self._meter.demand()

    def observe(
        self,
        view: ClusterView,
        open_jobs: Iterable[JobState],
        freshness: Freshness,
        now: float,
    ) -> None:
        """
        Add what is known now.
        """
        directory = view.directory
        entries = [
            *directory.usable(self._service, now),
            *directory.leaving(self._service),
        ]
        self.census = self._engines.observe(entries, freshness.is_certain(now), now)
        if freshness.is_fresh():
            work = _work_of(self._service, view, open_jobs)
            self._meter.observe(now, work.items, self.census.slots, work.jobs)


def _work_of(service: str, view: ClusterView, open_jobs: Iterable[JobState]) -> _Work:
    """
    Return the open items that go to a service; of a route with several services, the
    share of its weight.
    """
    items = 0.0
    jobs = []
    for state in open_jobs:
        route = view.route(state.job.host, state.job.path.partition("?")[0])
        if route is None:
            continue
        total = sum(share.weight for share in route.shares)
        weight = sum(s.weight for s in route.shares if s.service == service)
        if total > 0 and weight > 0:
            items += (state.job.size - len(state.listed)) * weight / total
            jobs.append((state.job.series, state.job.job_id))
    return _Work(math.ceil(items), tuple(jobs))


def gets_plain_requests(config: GatewayConfig, service: str) -> bool:
    """
    Return whether requests other than items of jobs are routed to a service.
    """
    return any(
        route.kind is not RouteKind.JOB
        and any(s.service == service and s.weight > 0 for s in route.shares)
        for route in config.routes
    )
