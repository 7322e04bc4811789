# SPDX-License-Identifier: MIT

"""
HTTP endpoints for operators and the load balancer.
"""

from __future__ import annotations

from collections.abc import Callable

from .._state import NodeState
from ..observability.daemon_metrics import Metrics


__all__ = ["Operators"]


class Operators:
    """
    Endpoints for health, readiness, metrics and status.
    """

    def __init__(
        self, state: NodeState, metrics: Metrics, status: Callable[[], dict]
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._status = status

    async def on_get_health(self, req, resp) -> None:
        resp.media = {"healthy": True}

    async def on_get_ready(self, req, resp) -> None:
        reason = None
        if self._state.stage != "serving":
            reason = self._state.stage
        elif self._state.deployment is None:
            reason = "no_configuration"
        resp.status = 200 if reason is None else 503
        resp.media = {"ready": reason is None, "reason": reason}

    async def on_get_metrics(self, req, resp) -> None:
        resp.content_type = "text/plain; version=0.0.4; charset=utf-8"
        resp.data = self._metrics.render()

    async def on_get_status(self, req, resp) -> None:
        resp.media = self._status()
