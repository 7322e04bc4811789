# SPDX-License-Identifier: MIT

"""
Passes a caller's request to a back end, and to others if it may be repeated.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from saddledoor import (
    EngineEntry,
    GatewayRoute,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    RouteKind,
)

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..ports import EngineAnswer, Engines, ForwardedRequest
from .pool import EnginePool


__all__ = ["PassThrough"]

_log = structlog.get_logger()

#: When a refused caller should come back, in seconds: twice the usual work (40 ms).
_COME_BACK = 0.1
#: Least time left that an attempt is worth, in seconds.
_LEAST_TIME = 0.01

Outcome = EngineAnswer | NotRun | OutcomeUnknown


@dataclass
class _Try:
    """
    One request on its way: who had it, until when, and the worst that was seen.
    """

    route: GatewayRoute
    request: ForwardedRequest
    deadline: float
    tried: list[str]
    last: Outcome | None = None
    handed_over: bool = False

    @property
    def left(self) -> float:
        return self.deadline - boot_time()


class PassThrough:
    """
    Serves requests of the routes that are passed through.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: EnginePool,
        engines: Engines,
        count: Callable[[str, ResultCode, float], None],
    ) -> None:
        self._view = view
        self._pool = pool
        self._engines = engines
        self._count = count

    async def serve(self, request: ForwardedRequest, patience: float | None) -> Outcome:
        """
        Serve one request.

        :param patience: How long the caller will wait, in seconds, if it said so.
        """
        began = boot_time()
        if self._view.config is None:
            return NotRun(ResultCode.NO_CONFIGURATION, "no configuration", _COME_BACK)
        route = self._view.route(request.host, request.target.partition("?")[0])
        if route is None:
            _log.info(
                "no_route",
                request=request.request_id,
                host=request.host,
                configuration=self._view.config.version,
            )
            return NotRun(ResultCode.UNKNOWN_TARGET, "no route", _COME_BACK)
        request = replace(request, repeatable=route.kind is RouteKind.SAFE)
        held = route.timeout if patience is None else min(patience, route.timeout)
        outcome = await self.run(route, request, began + held)
        code = ResultCode.DONE if isinstance(outcome, EngineAnswer) else outcome.code
        self._count(route.name, code, boot_time() - began)
        return outcome

    async def run(
        self, route: GatewayRoute, request: ForwardedRequest, deadline: float
    ) -> Outcome:
        """
        Run a request of a known route until a monotonic time.
        """
        current = _Try(route, request, deadline, [])
        service = route.service(random.random())
        while len(current.tried) < route.max_attempts and current.left > _LEAST_TIME:
            engine = self._pool.choose(service, exclude=current.tried)
            if engine is None:
                break
            current.tried.append(engine.engine_id)
            outcome = await self._attempt(current, engine)
            if _is_final(route, outcome):
                return outcome
        return self._give_up(current)

    async def _attempt(self, current: _Try, engine: EngineEntry) -> Outcome:
        with self._pool.take(engine):
            try:
                async with asyncio.timeout(self._share_of_time(current)):
                    outcome = await self._engines.call(
                        engine, current.request, current.left
                    )
            except TimeoutError:
                outcome = OutcomeUnknown(
                    ResultCode.OUTCOME_UNKNOWN, "no answer in time"
                )
        match outcome:
            case EngineAnswer():
                self._pool.answered(engine)
            case NotRun():
                self._pool.refused(engine)
            case OutcomeUnknown():
                current.handed_over = True
                self._pool.failed(engine)
        if not isinstance(outcome, EngineAnswer) or outcome.status >= 500:
            _log.info(
                "attempt_failed",
                request=current.request.request_id,
                engine=engine.engine_id,
                attempt=len(current.tried),
                outcome=_describe(outcome),
                left=round(current.left, 3),
            )
        if not isinstance(outcome, NotRun):
            current.last = outcome
        return outcome

    def _share_of_time(self, current: _Try) -> float:
        """
        How long this attempt may take: a request that can be repeated leaves time for
        another back end.
        """
        attempts_left = current.route.max_attempts - len(current.tried)
        if current.route.kind is not RouteKind.SAFE or not attempts_left:
            return current.left
        return max(current.route.objective, current.left / (attempts_left + 1))

    def _give_up(self, current: _Try) -> Outcome:
        outcome = current.last
        if outcome is None:
            code = ResultCode.NO_BACKEND if not current.tried else ResultCode.OVERLOADED
            outcome = NotRun(code, "no back end took it", _COME_BACK)
        _log.info(
            "request_given_up",
            request=current.request.request_id,
            route=current.route.name,
            outcome=_describe(outcome),
            tried=current.tried,
            left=round(current.left, 3),
        )
        return outcome


def _is_final(route: GatewayRoute, outcome: Outcome) -> bool:
    match outcome:
        case EngineAnswer(status=status):
            return status < 500 or route.kind is not RouteKind.SAFE
        case NotRun():
            return False
        case OutcomeUnknown():
            return route.kind is not RouteKind.SAFE


def _describe(outcome: Outcome) -> str:
    if isinstance(outcome, EngineAnswer):
        return f"status {outcome.status}"
    return f"{outcome.code.name.lower()}: {outcome.detail}"
