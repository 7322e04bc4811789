# SPDX-License-Identifier: MIT

"""
Authenticates requests and calls about jobs by the caller's key.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from saddledoor import (
    Admitted,
    GatewayRoute,
    KeyFreshnessBounds,
    NotRun,
    ResultCode,
    admit,
)

from .._clock import boot_time
from ..cluster.view import ClusterView


__all__ = ["Admission"]

_log = structlog.get_logger()

#: Retry delay told to a caller while this node has no configuration, in seconds.
_RETRY_AFTER = 0.1


class Admission:
    """
    Decides whether to admit requests of routes and calls about jobs.

    :param synced_at: Returns when this node last had read all changes of the operator's
        registry, monotonic, in seconds.
    :param bounds: Freshness bounds for the known keys.
    """

    def __init__(
        self,
        view: ClusterView,
        synced_at: Callable[[], float],
        bounds: KeyFreshnessBounds,
    ) -> None:
        self._view = view
        self._synced_at = synced_at
        self._bounds = bounds

    def set_bounds(self, bounds: KeyFreshnessBounds) -> None:
        """
        Change the bounds while the node runs.
        """
        self._bounds = bounds

    def admit_request(
        self, route: GatewayRoute, key: str, request_id: str
    ) -> Admitted | NotRun:
        """
        Decide whether to admit a request of a route.

        :param key: The caller's key; empty without one.
        :param request_id: Names the request in the log, which never holds a key.
        """
        return self._decide(route.needs_key, key, request_id)

    def admit_job_call(self, host: str, key: str, job_id: str) -> Admitted | NotRun:
        """
        Decide whether to admit a call about a job, which has a host but no route.
        """
        return self._decide(self._view.jobs_need_key(host), key, job_id)

    def _decide(self, needs_key: bool, key: str, name: str) -> Admitted | NotRun:
        config = self._view.config
        if config is None:
            code = ResultCode.NO_CONFIGURATION
            return NotRun(code, "no configuration", _RETRY_AFTER)
        age = boot_time() - self._synced_at()
        decision = admit(config.workspaces, needs_key, key, age, self._bounds)
        if isinstance(decision, NotRun):
            _log.info(
                "key_refused",
                request=name,
                outcome=decision.code.name.lower(),
                reason=decision.detail,
                configuration=config.version,
                known_for=round(boot_time() - self._view.config_since, 3),
            )
        return decision
