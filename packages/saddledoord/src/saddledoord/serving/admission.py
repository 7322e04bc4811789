# SPDX-License-Identifier: MIT

"""
Whose request it is, by its key and by how old this node's news of keys is.
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

#: When a caller should come back to a node that knows no configuration, in seconds.
_COME_BACK = 0.1


class Admission:
    """
    Admits requests of routes and calls about jobs.

    :param known_at: Returns when this node last had all news of the operator,
        monotonic, in seconds.
    """

    def __init__(
        self,
        view: ClusterView,
        known_at: Callable[[], float],
        bounds: KeyFreshnessBounds,
    ) -> None:
        self._view = view
        self._known_at = known_at
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
        Decide on a request of a route.

        :param key: Empty without one.
        :param request_id: For the log, which never holds a key.
        """
        return self._decide(route.needs_key, key, request_id)

    def admit_job_call(self, host: str, key: str, job_id: str) -> Admitted | NotRun:
        """
        Decide on a call about a job, which names a host and no route.
        """
        return self._decide(self._view.jobs_need_key(host), key, job_id)

    def _decide(self, needs_key: bool, key: str, name: str) -> Admitted | NotRun:
        config = self._view.config
        if config is None:
            code = ResultCode.NO_CONFIGURATION
            return NotRun(code, "no configuration", _COME_BACK)
        age = boot_time() - self._known_at()
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
