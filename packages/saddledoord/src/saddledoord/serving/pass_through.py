# SPDX-License-Identifier: MIT

"""
Passes a caller's request to a back end, and to others if it may be repeated.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import structlog

from saddledoor import (
    EngineEntry,
    GatewayRoute,
    Incarnation,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    RouteKind,
    Standing,
    request_key,
)

from .._clock import boot_time
from ..cluster.lives import EngineLives
from ..cluster.view import ClusterView
from ..ports import EngineAnswer, Engines, ForwardedRequest
from .engine_ends import EngineEndWatch, RunAtEngine
from .pool import EnginePool


__all__ = ["Outcome", "PassThrough"]

_log = structlog.get_logger()

#: When a refused caller should come back, in seconds: twice the usual work (40 ms).
_COME_BACK = 0.1
#: When a request that may be repeated is also sent to a second engine, as a share of
#: its objective: then the second can still answer in time (its work takes a fifth).
_OVERLAP_AFTER = 0.5
#: Least time left that an attempt is worth, in seconds.
_LEAST_TIME = 0.01
#: When a caller may send a request again that ends engines, in seconds: when it is
#: forgotten if nobody sends it meanwhile.
_FORGOTTEN_AFTER = 240.0

Outcome = EngineAnswer | NotRun | OutcomeUnknown


def _ignore(_: Outcome) -> None:
    pass


@dataclass
class _Try:
    """
    One request on its way: who had it, until when, and the worst that was seen.

    :param key: Tells it from others when it comes again.
    :param heard: Told of each attempt's outcome.
    :param engines: By the attempts there, in order.
    """

    route: GatewayRoute
    request: ForwardedRequest
    deadline: float
    heard: Callable[[Outcome], None]
    key: str
    tried: list[Incarnation] = field(default_factory=list)
    engines: dict[asyncio.Task, EngineEntry] = field(default_factory=dict)
    last: Outcome | None = None

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
        lives: EngineLives,
        ends: EngineEndWatch,
        count: Callable[[str, ResultCode, float], None],
    ) -> None:
        self._lives = lives
        self._ends = ends
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
        self,
        route: GatewayRoute,
        request: ForwardedRequest,
        deadline: float,
        heard: Callable[[Outcome], None] = _ignore,
        name: str = "",
    ) -> Outcome:
        """
        Run a request of a known route until a monotonic time.

        :param heard: Told of each attempt's outcome.
        :param name: Of a request that keeps its name when it is sent again.
        """
        key = _key_of(request, name)
        current = _Try(route, request, deadline, heard, key)
        await self._ends.ask()
        service = route.service(random.random())
        pending: set[asyncio.Task[Outcome]] = set()
        try:
            while current.left > _LEAST_TIME:
                if not pending or self._may_overlap(current):
                    pending |= self._start(current, service)
                if not pending:
                    break
                done, pending = await asyncio.wait(
                    pending,
                    timeout=self._patience(current),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if _is_final(route, task.result()):
                        self._note_overtaken(current, task, pending)
                        return task.result()
        finally:
            # Closes their connections, so those engines stop.
            for task in pending:
                task.cancel()
        if pending and current.last is None:
            # An engine still has it, so it may have run.
            code = ResultCode.OUTCOME_UNKNOWN
            current.last = OutcomeUnknown(code, "no answer in time")
        return self._give_up(current)

    def _start(self, current: _Try, service: str) -> set[asyncio.Task[Outcome]]:
        """
        Begin an attempt at an engine that has not had the request, if there is one.
        """
        if len(current.tried) >= current.route.max_attempts:
            return set()
        engine = self._choose(current, service)
        if engine is None:
            return set()
        current.tried.append(engine.incarnation)
        task = asyncio.create_task(self._attempt(current, engine))
        current.engines[task] = engine
        return {task}

    def _choose(self, current: _Try, service: str) -> EngineEntry | None:
        """
        Return an engine for a request by what is known of it, or none.
        """
        standing = self._ends.standing(current.key)
        if standing is Standing.BARRED:
            return None
        if standing is Standing.FREE:
            return self._pool.choose(service, exclude=current.tried)
        taken = self._ends.with_suspects(current.key)
        alone = self._pool.choose(service, exclude=[*current.tried, *taken])
        if alone is not None or standing is Standing.UNCLEAR:
            return alone
        return self._pool.choose(service, exclude=current.tried)

    def _note_overtaken(
        self,
        current: _Try,
        winner: asyncio.Task[Outcome],
        pending: set[asyncio.Task[Outcome]],
    ) -> None:
        """
        Note the engines that were asked before the one that has answered.
        """
        if not isinstance(winner.result(), EngineAnswer):
            return
        asked = list(current.engines)
        for task in asked[: asked.index(winner)]:
            if task in pending:
                self._pool.overtaken(current.engines[task])

    def _may_overlap(self, current: _Try) -> bool:
        """
        Whether a second engine may work on the request beside the first.

        Not on one that was at an engine's end: 0.1 s later both might end.
        """
        if current.route.kind is not RouteKind.SAFE:
            return False
        return self._ends.standing(current.key) is Standing.FREE

    def _patience(self, current: _Try) -> float:
        """
        How long to wait before the next attempt is begun, in seconds.
        """
        left = max(0.0, current.left)
        if not self._may_overlap(current):
            return left
        if len(current.tried) >= current.route.max_attempts:
            return left
        return min(left, current.route.objective * _OVERLAP_AFTER)

    async def _attempt(self, current: _Try, engine: EngineEntry) -> Outcome:
        number = len(current.tried)
        with (
            self._pool.take(engine),
            self._ends.running(engine.incarnation, current.key) as run,
        ):
            try:
                left = max(0.0, current.left)
                async with self._lives.within(engine.incarnation, left):
                    outcome = await self._engines.call(
                        engine, current.request, current.left
                    )
            except TimeoutError:
                outcome = self._overdue(engine)
            except asyncio.CancelledError:
                self._log_attempt(current, engine, number, "cancelled")
                raise
            else:
                _note_end(run, engine, outcome)
        current.heard(outcome)
        match outcome:
            case EngineAnswer():
                self._pool.answered(engine)
            case NotRun():
                self._pool.refused(engine)
            case OutcomeUnknown():
                self._pool.failed(engine)
        if not isinstance(outcome, EngineAnswer) or outcome.status >= 500:
            self._log_attempt(current, engine, number, _describe(outcome))
        if not isinstance(outcome, NotRun):
            current.last = outcome
        return outcome

    def _overdue(self, engine: EngineEntry) -> OutcomeUnknown:
        """
        Say why an attempt was given up; the engine may have run the request.
        """
        over = self._lives.is_over(engine.incarnation)
        reason = "the engine has started again" if over else "no answer in time"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, reason)

    def _log_attempt(
        self, current: _Try, engine: EngineEntry, number: int, outcome: str
    ) -> None:
        _log.info(
            "attempt_failed",
            request=current.request.request_id,
            engine=engine.engine_id,
            content=current.key,
            attempt=number,
            outcome=outcome,
            left=round(current.left, 3),
        )

    def _give_up(self, current: _Try) -> Outcome:
        outcome = current.last
        barred = self._ends.standing(current.key) is Standing.BARRED
        if outcome is None and barred:
            code = ResultCode.ENDS_ENGINES
            outcome = NotRun(code, "engines have ended under it", _FORGOTTEN_AFTER)
        elif outcome is None:
            code = ResultCode.NO_BACKEND if not current.tried else ResultCode.OVERLOADED
            outcome = NotRun(code, "no back end took it", _COME_BACK)
        _log.info(
            "request_given_up",
            request=current.request.request_id,
            route=current.route.name,
            content=current.key,
            outcome=_describe(outcome),
            tried=[engine.engine_id for engine in current.tried],
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


def _note_end(run: RunAtEngine, engine: EngineEntry, outcome: Outcome) -> None:
    match outcome:
        case EngineAnswer():
            run.survived()
        case NotRun():
            run.not_run()
        case OutcomeUnknown():
            run.broke_off(engine)


def _key_of(request: ForwardedRequest, name: str) -> str:
    return request_key(request.host, request.method, request.target, request.body, name)


def _describe(outcome: Outcome) -> str:
    if isinstance(outcome, EngineAnswer):
        return f"status {outcome.status}"
    return f"{outcome.code.name.lower()}: {outcome.detail}"
