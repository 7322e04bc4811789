# SPDX-License-Identifier: MIT

"""
The ASGI application: completions, service calls, trainers' steps, operator endpoints.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import falcon.asgi

from saddledoor import (
    Answer,
    MemoryBudget,
    NotRun,
    OutcomeUnknown,
    Part,
    ResultCode,
)

from .._clock import boot_time
from .._pipeline import Pipeline, ServiceRequest
from .._state import NodeState
from ..backends.client import CallAnswer
from ..filters.collect import collect_whole
from ..filters.identify import Caller
from ..observability.burn_feed import BurnFeed
from ..observability.daemon_metrics import Metrics
from ..samples.collector import Collectors
from .bodies import (
    JSON,
    completion_media,
    encode_event,
    encode_memory_refusal,
    encode_refusal,
    error_body,
    part_media,
    read_body,
    read_json,
)
from .in_flight import InFlight
from .memory import bound_memory
from .operators import Operators


__all__ = ["build_app"]

#: Largest request body of a submitted step, in bytes.
_MAX_STEP_BYTES = 32_000_000
#: Largest request body without a configuration, in bytes.
_DEFAULT_MAX_BODY_BYTES = 1_000_000


class _RequestMiddleware:
    """
    Middleware that records a request's start and adds the response headers.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    async def process_request(self, req, resp) -> None:
        req.context.started_at = boot_time()

    async def process_response(self, req, resp, resource, succeeded) -> None:
        resp.set_header("X-Saddledoor-Vm", self._state.settings.vm)
        if self._state.stage != "serving":
            resp.set_header("Connection", "close")


def _count_in_flight(app: falcon.asgi.App, in_flight: InFlight) -> Callable:
    """
    Wrap an application to count requests until their response is complete.
    """

    async def serve(scope, receive, send) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        with in_flight.counted():
            await app(scope, receive, send)

    return serve


class _Resource:
    def __init__(
        self,
        state: NodeState,
        pipeline: Pipeline,
        metrics: Metrics,
        burn: BurnFeed,
    ) -> None:
        self._state = state
        self._pipeline = pipeline
        self._metrics = metrics
        self._burn = burn

    def _max_body(self) -> int:
        deployment = self._state.deployment
        return (
            deployment.limits.max_body_bytes if deployment else _DEFAULT_MAX_BODY_BYTES
        )

    def _identify(self, req) -> Caller | NotRun:
        return self._pipeline.identify(req.get_header("Authorization"))

    def _record_burn(self, req, resp, caller: Caller, model: str = "") -> None:
        """
        Record a completed request for the burn report.
        """
        pool = self._state.pool_of_model(model) if model else None
        seconds = boot_time() - req.context.started_at
        code = getattr(resp.context, "code", ResultCode.DONE)
        self._burn.record_request(caller.name, pool.name if pool else "", code, seconds)

    def _refuse(self, resp, kind: str, outcome: NotRun | OutcomeUnknown) -> None:
        self._count_outcome(kind, outcome.code)
        resp.context.code = outcome.code
        encode_refusal(resp, outcome)

    def _count_outcome(self, kind: str, code: ResultCode) -> None:
        self._metrics.requests.add(1, {"kind": kind, "code": str(int(code))})


class _Completions(_Resource):
    async def on_post(self, req, resp) -> None:
        caller = self._identify(req)
        if isinstance(caller, NotRun):
            return self._refuse(resp, "completion", caller)
        raw = await read_json(req, self._state, self._max_body())
        if isinstance(raw, NotRun):
            return self._refuse(resp, "completion", raw)
        body = self._pipeline.decode_completion(raw)
        if isinstance(body, NotRun):
            return self._refuse(resp, "completion", body)
        parts = self._pipeline.complete(caller, body)
        if isinstance(parts, NotRun):
            return self._refuse(resp, "completion", parts)
        if body.stream:
            return await self._stream(req, resp, parts)
        answer = await collect_whole(
            parts, body.max_tokens, "caller", self._state.trace
        )
        if isinstance(answer, Answer):
            self._count_outcome("completion", ResultCode.DONE)
            resp.media = completion_media(answer, body.model)
        else:
            self._refuse(resp, "completion", answer)
        return self._record_burn(req, resp, caller, body.model)

    async def _stream(self, req, resp, parts: AsyncIterator) -> None:
        # The first part decides the status: a request that did not run is refused.
        first = await anext(parts)
        if not isinstance(first, Part):
            return self._refuse(resp, "completion", first)
        resp.content_type = "text/event-stream"
        resp.stream = self._events(first, parts)

    async def _events(self, first: Part, parts: AsyncIterator):
        try:
            part = first
            while isinstance(part, Part):
                yield encode_event(part_media(part))
                if part.finish_reason is not None:
                    self._count_outcome("completion", ResultCode.DONE)
                    yield b"data: [DONE]\n\n"
                    return
                part = await anext(parts)
            # The answer is incomplete: send an error event in place of the end marker.
            self._count_outcome("completion", part.code)
            yield encode_event({"error": error_body(part)})
        finally:
            await parts.aclose()


class _Services(_Resource):
    async def on_request(self, req, resp, service: str, path: str) -> None:
        caller = self._identify(req)
        if isinstance(caller, NotRun):
            return self._refuse(resp, "call", caller)
        body = await read_body(req, self._state, self._max_body())
        if isinstance(body, NotRun):
            return self._refuse(resp, "call", body)
        query = f"?{req.query_string}" if req.query_string else ""
        request = ServiceRequest(
            service=service,
            method=req.method,
            path=f"/{path}",
            target=f"/{path}{query}",
            content_type=req.content_type or "application/octet-stream",
            body=body,
            key=req.get_header("Idempotency-Key") or "",
        )
        result = await self._pipeline.call(caller, request)
        if isinstance(result, CallAnswer):
            self._encode(resp, result)
        else:
            self._refuse(resp, "call", result)
        self._record_burn(req, resp, caller)

    def _encode(self, resp, result: CallAnswer) -> None:
        self._count_outcome("call", ResultCode.DONE)
        resp.status = result.status
        resp.content_type = result.content_type
        resp.data = result.body

    on_get = on_post = on_put = on_delete = on_patch = on_request


class _Keys(_Resource):
    async def on_post(self, req, resp) -> None:
        caller = self._identify(req)
        if isinstance(caller, NotRun):
            return self._refuse(resp, "key", caller)
        if self._state.stage != "serving":
            stopping = NotRun(ResultCode.STOPPING, "this VM issues no more keys", 0.1)
            return self._refuse(resp, "key", stopping)
        resp.media = {"key": self._pipeline.issue_key(caller)}


class _Steps(_Resource):
    def __init__(self, *shared, collectors: Collectors) -> None:
        super().__init__(*shared)
        self._collectors = collectors

    async def on_post(self, req, resp, trainer: str, step: int) -> None:
        await self._serve_operation(req, resp, trainer, step, "submit", _MAX_STEP_BYTES)

    async def on_post_fetch(self, req, resp, trainer: str, step: int) -> None:
        await self._serve_operation(req, resp, trainer, step, "fetch", self._max_body())

    async def _serve_operation(
        self, req, resp, trainer: str, step: int, operation: str, max_bytes: int
    ) -> None:
        caller = self._identify(req)
        if isinstance(caller, NotRun):
            return self._refuse(resp, operation, caller)
        if caller.trainer is None or caller.trainer.name != trainer:
            other = NotRun(ResultCode.FORBIDDEN, "the token is not this trainer's", 0.0)
            return self._refuse(resp, operation, other)
        body = await read_json(req, self._state, max_bytes)
        if isinstance(body, NotRun):
            return self._refuse(resp, operation, body)
        result = await self._collectors.serve(caller.trainer, operation, step, body)
        if isinstance(result, NotRun):
            return self._refuse(resp, operation, result)
        self._count_outcome(operation, ResultCode.DONE)
        resp.content_type = JSON
        resp.data = result.payload


def build_app(
    state: NodeState,
    pipeline: Pipeline,
    collectors: Collectors,
    metrics: Metrics,
    burn: BurnFeed,
    in_flight: InFlight,
    status: Callable[[], dict],
    memory: MemoryBudget,
) -> Callable:
    """
    Return the ASGI application.

    :param memory: Memory held for callers.
    """
    app = falcon.asgi.App(middleware=[_RequestMiddleware(state)])
    shared = (state, pipeline, metrics, burn)
    steps = _Steps(*shared, collectors=collectors)
    operators = Operators(state, metrics, status)
    app.add_route("/v1/completions", _Completions(*shared))
    app.add_route("/v1/services/{service}/{path:path}", _Services(*shared))
    app.add_route("/v1/keys", _Keys(*shared))
    app.add_route("/v1/trainers/{trainer}/steps/{step:int}", steps)
    app.add_route(
        "/v1/trainers/{trainer}/steps/{step:int}/fetch", steps, suffix="fetch"
    )
    app.add_route("/healthz", operators, suffix="health")
    app.add_route("/readyz", operators, suffix="ready")
    app.add_route("/metrics", operators, suffix="metrics")
    app.add_route("/v1/status", operators, suffix="status")
    counted = _count_in_flight(app, in_flight)
    return bound_memory(counted, memory, encode_memory_refusal)
