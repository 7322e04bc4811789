# SPDX-License-Identifier: MIT

"""
Passes a caller's request to a back end, and to others if it may be repeated.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import structlog

from saddledoor import (
    AttemptOutcome,
    EngineAttempt,
    EngineAttempts,
    EngineEntry,
    GatewayRoute,
    NotRun,
    OutcomeUnknown,
    PoisonStatus,
    ResultCode,
    RouteKind,
    request_key,
    time_left,
)

from .._clock import boot_time
from ..cluster.engine_timeouts import EngineTimeouts
from ..cluster.view import ClusterView
from ..ports import EngineAnswer, Engines, ForwardedRequest
from .admission import Admission
from .engine_choice import EngineChoice
from .engine_crash_watch import EngineCrashWatch
from .outcomes import Outcome, describe, end_of, is_final, note_end
from .pool import EnginePool
from .request_try import Beginning, RequestTry


__all__ = ["PassThrough"]

_log = structlog.get_logger()

#: When a refused caller should come back, in seconds: twice the usual work (40 ms).
_COME_BACK = 0.1
#: When a request that may be repeated is also sent to a second engine, as a share of
#: its objective: then the second can still answer in time (its work takes a fifth).
_OVERLAP_AFTER = 0.5
#: Least time left that an attempt is worth, in seconds.
_LEAST_TIME = 0.01
#: Least time left that an attempt at an engine which has had the request is worth, as a
#: share of its objective: its work takes a fifth, and a call that cannot be answered in
#: time only burdens the engine.
_WORTH_A_RETURN = 0.5
#: How often a request that waits to go again to an engine looks whether it may, in
#: seconds: the usual work. Another request may show sooner that the engine is well.
_LOOK = 0.05
#: When a caller may send a request again that ends engines, in seconds: when it is
#: forgotten if nobody sends it meanwhile.
_FORGOTTEN_AFTER = 240.0


def _ignore(_: Outcome) -> None:
    pass


def _pass_over(_: str, __: float) -> None:
    pass


def _always() -> bool:
    return True


def _not_at_all() -> float:
    return 0.0


class PassThrough:
    """
    Serves requests of the routes that are passed through.

    :param count: Told the route, the result and the seconds of each request.
    :param began: Told the workspace of each request that engines began, and when,
        monotonic, in seconds.
    :param read_delay: Returns how long a request that is read now may have waited for
        it.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: EnginePool,
        engines: Engines,
        lives: EngineTimeouts,
        ends: EngineCrashWatch,
        admission: Admission,
        count: Callable[[str, ResultCode, float], None],
        began: Callable[[str, float], None] = _pass_over,
        read_delay: Callable[[], float] = _not_at_all,
    ) -> None:
        self._admission = admission
        self._began = began
        self._lives = lives
        self._ends = ends
        self._choice = EngineChoice(pool, ends)
        self._view = view
        self._pool = pool
        self._engines = engines
        self._count = count
        self._held_up = read_delay

    async def serve(
        self, request: ForwardedRequest, caller_timeout: float | None, key: str = ""
    ) -> Outcome:
        """
        Serve one request.

        :param caller_timeout: How long the caller will wait, in seconds, if it said so.
        :param key: Of the caller's workspace; empty without one.
        """
        began, read_delay = boot_time(), self._held_up()
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
        admitted = self._admission.admit_request(route, key, request.request_id)
        if isinstance(admitted, NotRun):
            self._count(route.name, admitted.code, boot_time() - began)
            return admitted
        request = replace(
            request,
            repeatable=route.kind is RouteKind.SAFE,
            workspace=admitted.workspace,
        )
        limit = (
            route.timeout
            if caller_timeout is None
            else min(caller_timeout, route.timeout)
        )
        held = time_left(limit, route.objective, read_delay)
        beginning = Beginning()
        try:
            outcome = await self.run(route, request, began + held, beginning=beginning)
        finally:
            # Also if the caller has left: engines have begun all the same.
            if request.workspace and beginning.at is not None:
                self._began(request.workspace, beginning.at)
        code = ResultCode.DONE if isinstance(outcome, EngineAnswer) else outcome.code
        self._count(route.name, code, boot_time() - began)
        return outcome

    async def run(
        self,
        route: GatewayRoute,
        request: ForwardedRequest,
        deadline: float,
        on_outcome: Callable[[Outcome], None] = _ignore,
        name: str = "",
        may_begin: Callable[[], bool] = _always,
        beginning: Beginning | None = None,
    ) -> Outcome:
        """
        Run a request of a known route until a monotonic time.

        :param on_outcome: Told of each attempt's outcome.
        :param name: Of a request that keeps its name when it is sent again.
        :param may_begin: Asked before each attempt; none begins while it may not.
        :param beginning: Learns when engines began the request.
        """
        key = _key_of(request, name)
        service = route.service(random.random())
        attempts = EngineAttempts(route.max_attempts, route.kind is RouteKind.SAFE)
        current = RequestTry(
            route,
            request,
            deadline,
            on_outcome,
            key,
            service,
            attempts,
            may_begin,
            beginning or Beginning(),
        )
        await self._ends.refresh()
        pending: set[asyncio.Task[Outcome]] = set()
        try:
            while current.left > _LEAST_TIME:
                if not pending or self._may_overlap(current):
                    pending |= self._start(current, bool(pending))
                if not pending and not self._may_return(current, False):
                    break
                done, pending = await _first_of(pending, self._patience(current))
                for task in done:
                    if is_final(route, task.result()):
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

    def _start(
        self, current: RequestTry, is_pending: bool
    ) -> set[asyncio.Task[Outcome]]:
        """
        Begin an attempt if there is an engine for it: one that has not had the request,
        else one that may have it again.

        :param is_pending: Whether an engine works on the request.
        """
        if not current.may_begin():
            return set()
        place = (current.service, current.key, current.attempts)
        engine = self._choice.another(*place)
        if engine is None and self._may_return(current, is_pending):
            engine = self._choice.again(*place)
            if engine is not None:
                self._pool.asked_again(engine)
        if engine is None:
            return set()
        attempt = current.attempts.begin(engine.incarnation)
        task = asyncio.create_task(self._attempt(current, engine, attempt))
        current.engines[task] = engine
        return {task}

    def _may_return(self, current: RequestTry, is_pending: bool) -> bool:
        """
        Whether an engine may have the request again while there is time enough.

        A request that has run nowhere is refused at once: another VM may have room.
        """
        if not is_pending and current.last is None:
            return False
        place = (current.service, current.key, current.attempts)
        at = self._choice.again_at(*place)
        worth = _WORTH_A_RETURN * current.route.objective
        return at is not None and max(at, boot_time()) + worth <= current.deadline

    def _note_overtaken(
        self,
        current: RequestTry,
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
                self._pool.record_overtaken(current.engines[task])

    def _may_overlap(self, current: RequestTry) -> bool:
        """
        Whether a second engine may work on the request beside the first.

        Not on one that was at an engine's end: 0.1 s later both might end.
        """
        if current.route.kind is not RouteKind.SAFE:
            return False
        return self._ends.poison_status(current.key) is PoisonStatus.CLEAN

    def _patience(self, current: RequestTry) -> float:
        """
        How long to wait before the next attempt is begun, in seconds.
        """
        left = max(0.0, current.left)
        if self._may_return(current, True):
            return min(left, _LOOK)
        if not self._may_overlap(current):
            return left
        if not current.attempts.may_try_another_engine():
            return left
        return min(left, current.route.objective * _OVERLAP_AFTER)

    async def _attempt(
        self, current: RequestTry, engine: EngineEntry, attempt: EngineAttempt
    ) -> Outcome:
        if not current.may_begin():
            # The process has stood still since the attempt was decided on.
            attempt.finish(AttemptOutcome.NOT_RUN, boot_time())
            return NotRun(ResultCode.NO_BACKEND, "not sent: what is known is too old")
        number = current.attempts.count
        sent_at = boot_time()
        with (
            self._pool.reserve(engine),
            self._ends.track_run(engine.incarnation, current.key) as run,
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
                current.beginning.perhaps(sent_at)
                self._log_attempt(current, engine, number, "cancelled")
                raise
            else:
                note_end(run, engine, outcome)
        attempt.finish(end_of(outcome), boot_time())
        current.on_outcome(outcome)
        match outcome:
            case EngineAnswer():
                current.beginning.certainly(sent_at)
                self._pool.record_success(engine)
            case NotRun():
                self._pool.record_refusal(engine)
            case OutcomeUnknown():
                current.beginning.perhaps(sent_at)
                self._pool.record_failure(engine)
        if not isinstance(outcome, EngineAnswer) or outcome.status >= 500:
            self._log_attempt(current, engine, number, describe(outcome))
        if not isinstance(outcome, NotRun):
            current.last = outcome
        return outcome

    def _overdue(self, engine: EngineEntry) -> OutcomeUnknown:
        """
        Say why an attempt was given up; the engine may have run the request.
        """
        over = self._lives.has_restarted(engine.incarnation)
        reason = "the engine has started again" if over else "no answer in time"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, reason)

    def _log_attempt(
        self, current: RequestTry, engine: EngineEntry, number: int, outcome: str
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

    def _give_up(self, current: RequestTry) -> Outcome:
        outcome = current.last
        barred = self._ends.poison_status(current.key) is PoisonStatus.QUARANTINED
        if outcome is None and barred:
            code = ResultCode.ENDS_ENGINES
            outcome = NotRun(code, "engines have ended under it", _FORGOTTEN_AFTER)
        elif outcome is None:
            code = (
                ResultCode.NO_BACKEND
                if not current.attempts.count
                else ResultCode.OVERLOADED
            )
            outcome = NotRun(code, "no back end took it", _COME_BACK)
        _log.info(
            "request_given_up",
            request=current.request.request_id,
            route=current.route.name,
            content=current.key,
            outcome=describe(outcome),
            tried=[engine.engine_id for engine in current.engines.values()],
            left=round(current.left, 3),
        )
        return outcome


async def _first_of(
    pending: set[asyncio.Task[Outcome]], timeout: float
) -> tuple[set[asyncio.Task[Outcome]], set[asyncio.Task[Outcome]]]:
    """
    Wait until an attempt has ended or the time is up; also if there is none.
    """
    if not pending:
        await asyncio.sleep(timeout)
        return set(), set()
    return await asyncio.wait(
        pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )


def _key_of(request: ForwardedRequest, name: str) -> str:
    return request_key(request.host, request.method, request.target, request.body, name)
