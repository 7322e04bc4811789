# SPDX-License-Identifier: MIT

"""
Forwards a request to an engine, and retries it at other engines if it is repeatable.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import structlog

from saddledoor import (
    AttemptOutcome,
    Denial,
    EngineAttempt,
    EngineAttempts,
    EngineEntry,
    GatewayRoute,
    NotRun,
    OutcomeUnknown,
    PoisonStatus,
    ResultCode,
    RouteKind,
    SendNeeds,
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
from .gate import SendGate
from .outcomes import (
    Outcome,
    attempt_end,
    describe,
    is_final,
    record_run,
    refuse_without_region,
)
from .pool import EnginePool
from .request_state import FirstStart, RequestState


__all__ = ["PassThrough"]

_log = structlog.get_logger()

#: Retry delay told to a caller whose request was refused, in seconds; over twice the
#: usual work of a request (40 ms).
_RETRY_AFTER = 0.1
#: Share of a route's objective after which a repeatable request (of a route of kind
#: `SAFE`) is also sent to a second engine (hedging), so that the second can still
#: answer in time.
_HEDGE_AFTER = 0.5
#: Least time before the deadline at which an attempt is started, in seconds.
_MIN_TIME_LEFT = 0.01
#: Least time before the deadline at which a request is retried at an engine that has
#: received it, as a share of the route's objective. The work takes a fifth of it, and a
#: request that cannot be answered in time only burdens the engine.
_MIN_RETRY_SHARE = 0.5
#: How often a request that waits for a retry checks whether it is eligible, in seconds;
#: another request's answer may make it eligible sooner.
_POLL_INTERVAL = 0.05
#: The same interval for a suspect, which waits for a check or a claim, in seconds.
_SUSPECT_POLL_INTERVAL = 0.01


#: Result codes and reasons of requests that are refused because of engine crashes.
_MUST_START_ALONE = {
    PoisonStatus.QUARANTINED: (ResultCode.ENDS_ENGINES, "engines have ended under it"),
    PoisonStatus.ISOLATED: (
        ResultCode.OVERLOADED,
        "engines have crashed under it, and it must start alone",
    ),
}


def _ignore_outcome(_: Outcome) -> None:
    pass


def _ignore_start(_: str, __: float) -> None:
    pass


def _always_true() -> bool:
    return True


def _no_delay() -> float:
    return 0.0


class PassThrough:
    """
    Serves requests of pass-through routes.

    :param record_request: Called with the route, the result code and the duration in
        seconds of each request.
    :param on_start: Called with the workspace of each request that an engine started,
        and with the start time, monotonic, in seconds.
    :param read_delay: Returns how long a request that is read now may have waited
        unread, in seconds.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: EnginePool,
        gate: SendGate,
        engines: Engines,
        timeouts: EngineTimeouts,
        crash_watch: EngineCrashWatch,
        admission: Admission,
        record_request: Callable[[str, ResultCode, float], None],
        on_start: Callable[[str, float], None] = _ignore_start,
        read_delay: Callable[[], float] = _no_delay,
    ) -> None:
        self._admission = admission
        self._on_start = on_start
        self._timeouts = timeouts
        self._crash_watch = crash_watch
        self._choice = EngineChoice(pool, crash_watch)
        self._view = view
        self._pool = pool
        self._gate = gate
        self._engines = engines
        self._record_request = record_request
        self._read_delay = read_delay

    async def serve(
        self, request: ForwardedRequest, caller_timeout: float | None, key: str = ""
    ) -> Outcome:
        """
        Serve one request.

        :param caller_timeout: How long the caller waits for the answer, in seconds;
            None if it gave no time.
        :param key: The caller's key; empty without one.
        """
        started_at, read_delay = boot_time(), self._read_delay()
        if self._view.config is None:
            return NotRun(ResultCode.NO_CONFIGURATION, "no configuration", _RETRY_AFTER)
        route = self._view.route(request.host, request.target.partition("?")[0])
        if route is None:
            _log.info(
                "no_route",
                request=request.request_id,
                host=request.host,
                configuration=self._view.config.version,
            )
            return NotRun(ResultCode.UNKNOWN_TARGET, "no route", _RETRY_AFTER)
        admitted = self._admission.admit_request(route, key, request.request_id)
        if isinstance(admitted, NotRun):
            self._record_request(route.name, admitted.code, boot_time() - started_at)
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
        time_limit = time_left(limit, route.objective, read_delay)
        first_start = FirstStart()
        try:
            outcome = await self.run(
                route,
                request,
                started_at + time_limit,
                first_start=first_start,
                workspace=admitted.workspace,
            )
        finally:
            # Also if the caller disconnected: engines may have started the request.
            if request.workspace and first_start.at is not None:
                self._on_start(request.workspace, first_start.at)
        code = ResultCode.DONE if isinstance(outcome, EngineAnswer) else outcome.code
        self._record_request(route.name, code, boot_time() - started_at)
        return outcome

    async def run(
        self,
        route: GatewayRoute,
        request: ForwardedRequest,
        deadline: float,
        on_outcome: Callable[[Outcome], None] = _ignore_outcome,
        name: str | None = "",
        may_begin: Callable[[], bool] = _always_true,
        first_start: FirstStart | None = None,
        workspace: str | None = None,
    ) -> Outcome:
        """
        Run a request of a route until it is answered or its deadline has passed.

        :param deadline: Monotonic, in seconds.
        :param on_outcome: Called with the outcome of each attempt that was sent and not
            cancelled.
        :param name: Name that the request keeps when it is sent again; empty without
            one; None if the request never crashes engines by itself.
        :param may_begin: Called before each attempt; none starts while it returns
            false.
        :param first_start: Records when the first engine started the request; None if
            this is not needed.
        :param workspace: Workspace whose regions apply; the engines get the one of the
            request.
        """
        key = None if name is None else _request_key(request, name)
        service = route.service(random.random())
        attempts = EngineAttempts(route.max_attempts, route.kind is RouteKind.SAFE)
        current = RequestState(
            route,
            request,
            deadline,
            on_outcome,
            key,
            service,
            attempts,
            may_begin,
            first_start or FirstStart(),
            partial(self._needs, route, request, workspace),
        )
        if current.needs.regions == frozenset():
            _log.info(
                "no_region_allowed",
                request=request.request_id,
                route=route.name,
                workspace=workspace,
            )
            return refuse_without_region()
        if key is not None:
            await self._crash_watch.refresh()
        pending: set[asyncio.Task[Outcome]] = set()
        try:
            while current.remaining > _MIN_TIME_LEFT:
                if not pending:
                    await self._gate.wait_until_up_to_date(deadline)
                if not pending or self._may_hedge(current):
                    pending |= self._start(current, bool(pending))
                if not (
                    pending
                    or self._may_retry(current, False)
                    or self._must_wait(current)
                ):
                    break
                wait_time = self._wait_time(current, bool(pending))
                done, pending = await _wait_for_first(pending, wait_time)
                for task in done:
                    if is_final(route, task.result()):
                        self._record_overtaken(current, task, pending)
                        return task.result()
        finally:
            # Closes their connections, which makes the engines stop.
            for task in pending:
                task.cancel()
        if pending and current.last is None:
            # An engine still has the request, so it may have run.
            code = ResultCode.OUTCOME_UNKNOWN
            current.last = OutcomeUnknown(code, "no answer in time")
        return self._give_up(current)

    def _needs(
        self, route: GatewayRoute, request: ForwardedRequest, workspace: str | None
    ) -> SendNeeds:
        """
        Return what the gate has to check for a request, by the newest configuration.
        """
        path = request.target.partition("?")[0]
        residency = self._view.residency
        return SendNeeds(
            residency.request_regions(route, request.host, path, workspace)
        )

    def _start(
        self, current: RequestState, is_pending: bool
    ) -> set[asyncio.Task[Outcome]]:
        """
        Start an attempt at an engine that has not received the request, or else at one
        that may receive it again.

        :param is_pending: Whether another attempt is in flight.
        :returns: The attempt's task; empty if there is no engine for it.
        """
        if not current.may_begin():
            return set()
        target = (current.service, current.key, current.attempts, current.needs)
        engine = self._choice.choose_new(*target)
        if engine is None and self._may_retry(current, is_pending):
            engine = self._choice.choose_again(*target)
            if engine is not None:
                self._pool.record_retry(engine)
        if engine is None:
            return set()
        attempt = current.attempts.begin(engine.incarnation)
        task = asyncio.create_task(self._attempt(current, engine, attempt))
        current.engines[task] = engine
        return {task}

    def _may_retry(self, current: RequestState, is_pending: bool) -> bool:
        """
        Whether the request may be retried at an engine before its deadline.

        A request that every engine refused is not retried: the caller may send it to
        another VM.
        """
        if not is_pending and current.last is None:
            return False
        target = (current.service, current.key, current.attempts, current.needs)
        at = self._choice.next_retry_at(*target)
        needed = _MIN_RETRY_SHARE * current.route.objective
        return at is not None and max(at, boot_time()) + needed <= current.deadline

    def _record_overtaken(
        self,
        current: RequestState,
        winner: asyncio.Task[Outcome],
        pending: set[asyncio.Task[Outcome]],
    ) -> None:
        """
        Record the engines that received the request before the one that answered it.
        """
        if not isinstance(winner.result(), EngineAnswer):
            return
        tasks = list(current.engines)
        for task in tasks[: tasks.index(winner)]:
            if task in pending:
                self._pool.record_overtaken(current.engines[task])

    def _may_hedge(self, current: RequestState) -> bool:
        """
        Whether a second engine may run the request at the same time.

        Only a clean request is hedged: a suspect might crash both engines.
        """
        if current.route.kind is not RouteKind.SAFE:
            return False
        return self._crash_watch.poison_status(current.key) is PoisonStatus.CLEAN

    def _must_wait(self, current: RequestState) -> bool:
        """
        Whether the request must wait for an isolated start, its own or another one.
        """
        target = (current.service, current.key, current.attempts, current.needs)
        return current.may_begin() and self._choice.must_wait(*target, current.deadline)

    def _wait_time(self, current: RequestState, is_pending: bool) -> float:
        """
        Return how long to wait before the next attempt may start, in seconds.
        """
        remaining = max(0.0, current.remaining)
        if not is_pending or self._may_retry(current, True):
            status = self._crash_watch.poison_status(current.key)
            is_suspect = status is PoisonStatus.SUSPECT
            interval = _SUSPECT_POLL_INTERVAL if is_suspect else _POLL_INTERVAL
            return min(remaining, interval)
        if not self._may_hedge(current):
            return remaining
        if not current.attempts.may_try_another_engine():
            return remaining
        return min(remaining, current.route.objective * _HEDGE_AFTER)

    async def _attempt(
        self, current: RequestState, engine: EngineEntry, attempt: EngineAttempt
    ) -> Outcome:
        # What is known may have become outdated since the engine was chosen.
        await self._gate.wait_until_up_to_date(current.deadline)
        # Before the check, since a pause may come right after it.
        decided_at = boot_time()
        if not current.may_begin():
            # The process was paused after the attempt was scheduled.
            attempt.finish(AttemptOutcome.NOT_RUN, boot_time())
            return NotRun(ResultCode.NO_BACKEND, "not sent: what is known is too old")
        permit = self._gate.permit(engine, current.needs, decided_at)
        if isinstance(permit, Denial):
            attempt.finish(AttemptOutcome.NOT_RUN, boot_time())
            return NotRun(ResultCode.NO_BACKEND, f"not sent: {permit.name.lower()}")
        if not self._crash_watch.may_start(engine.incarnation, current.key):
            # The engine was reserved for an isolated start after it was chosen.
            attempt.finish(AttemptOutcome.NOT_RUN, boot_time())
            return NotRun(ResultCode.NO_BACKEND, "not sent: the engine is reserved")
        number = current.attempts.count
        sent_at = boot_time()
        with (
            self._pool.reserve(engine),
            self._crash_watch.track_run(engine.incarnation, current.key) as run,
        ):
            try:
                remaining = max(0.0, current.remaining)
                async with self._timeouts.within(engine.incarnation, remaining):
                    outcome = await self._engines.call(
                        permit, current.request, current.remaining
                    )
            except TimeoutError:
                outcome = self._timed_out(engine)
            except asyncio.CancelledError:
                current.first_start.assume(sent_at)
                self._log_attempt(current, engine, number, "cancelled")
                raise
            else:
                record_run(run, engine, outcome)
        attempt.finish(attempt_end(outcome), boot_time())
        current.on_outcome(outcome)
        match outcome:
            case EngineAnswer():
                current.first_start.confirm(sent_at)
                self._pool.record_success(engine)
            case NotRun():
                self._pool.record_refusal(engine)
            case OutcomeUnknown():
                current.first_start.assume(sent_at)
                self._pool.record_failure(engine)
        if not isinstance(outcome, EngineAnswer) or outcome.status >= 500:
            self._log_attempt(current, engine, number, describe(outcome))
        if not isinstance(outcome, NotRun):
            current.last = outcome
        return outcome

    def _timed_out(self, engine: EngineEntry) -> OutcomeUnknown:
        """
        Return the outcome of an attempt that timed out; it may have run.
        """
        restarted = self._timeouts.has_restarted(engine.incarnation)
        reason = "the engine has started again" if restarted else "no answer in time"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, reason)

    def _log_attempt(
        self, current: RequestState, engine: EngineEntry, number: int, outcome: str
    ) -> None:
        _log.info(
            "attempt_failed",
            request=current.request.request_id,
            engine=engine.engine_id,
            content=current.key,
            attempt=number,
            outcome=outcome,
            left=round(current.remaining, 3),
        )

    def _give_up(self, current: RequestState) -> Outcome:
        outcome = current.last
        poison_status = self._crash_watch.poison_status(current.key)
        if outcome is None and poison_status in _MUST_START_ALONE:
            start_at = self._crash_watch.isolated_start_at(current.key)
            code, reason = _MUST_START_ALONE[poison_status]
            retry_after = max(_RETRY_AFTER, start_at - boot_time())
            outcome = NotRun(code, reason, retry_after)
        elif outcome is None:
            code = (
                ResultCode.NO_BACKEND
                if not current.attempts.count
                else ResultCode.OVERLOADED
            )
            outcome = self._gate.refusal(current.service, current.needs) or NotRun(
                code, "no back end took it", _RETRY_AFTER
            )
        _log.info(
            "request_given_up",
            request=current.request.request_id,
            route=current.route.name,
            content=current.key,
            outcome=describe(outcome),
            tried=[engine.engine_id for engine in current.engines.values()],
            left=round(current.remaining, 3),
        )
        return outcome


async def _wait_for_first(
    pending: set[asyncio.Task[Outcome]], timeout: float
) -> tuple[set[asyncio.Task[Outcome]], set[asyncio.Task[Outcome]]]:
    """
    Wait until an attempt has ended or the time is up, also without any attempt.
    """
    if not pending:
        await asyncio.sleep(timeout)
        return set(), set()
    return await asyncio.wait(
        pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )


def _request_key(request: ForwardedRequest, name: str) -> str:
    return request_key(request.host, request.method, request.target, request.body, name)
