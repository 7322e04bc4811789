# SPDX-License-Identifier: MIT

"""
gRPC server for other daemons; refuses callers without the peer secret.
"""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Awaitable, Callable

import grpc

from saddledoor import KeyClaim, NotRun, ResultCode

from .._state import NodeState
from ..backends.budgets import RetryBudgets
from ..backends.client import BackendClient
from ..backends.dispatch import Dispatcher
from ..filters.attempt import attempt_completion
from ..filters.claim import KeyLedger
from ..http.in_flight import InFlight
from ..log.claims import ClaimLog
from ..observability.daemon_metrics import Metrics
from ..samples.collector import Collectors, OperationAnswer
from ..wire import peer_pb2 as pb
from ..wire.peer_pb2_grpc import PeerServicer, add_PeerServicer_to_server
from .client import MAX_MESSAGE_BYTES, SECRET_METADATA_KEY
from .exchange import Exchange
from .wire_types import answer_to_wire, part_to_wire, work_from_wire


__all__ = ["PeerService", "start_peer_server"]

#: Longest wait for the outcome of a key, in seconds.
_MAX_OUTCOME_WAIT = 60.0

#: Runs a call whose key this VM issued.
RunIssuedCall = Callable[[pb.ServiceWork], Awaitable[object]]


class _SecretCheck(grpc.aio.ServerInterceptor):
    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()

    async def intercept_service(self, continuation, details):
        sent = dict(details.invocation_metadata).get(SECRET_METADATA_KEY, "")
        sent = sent if isinstance(sent, bytes) else sent.encode()
        if hmac.compare_digest(sent, self._secret):
            return await continuation(details)

        async def refuse(request, context):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "not a known peer")

        return grpc.unary_unary_rpc_method_handler(refuse)


class PeerService(PeerServicer):
    """
    Implements the service of ``peer.proto``.
    """

    def __init__(
        self,
        state: NodeState,
        exchange: Exchange,
        claims: ClaimLog,
        ledger: KeyLedger,
        collectors: Collectors,
        dispatcher: Dispatcher,
        backends: BackendClient,
        budgets: RetryBudgets,
        in_flight: InFlight,
        metrics: Metrics,
        run_issued: RunIssuedCall,
    ) -> None:
        self._budgets = budgets
        self._in_flight = in_flight
        self._state = state
        self._exchange = exchange
        self._claims = claims
        self._ledger = ledger
        self._collectors = collectors
        self._dispatcher = dispatcher
        self._backends = backends
        self._metrics = metrics
        self._run_issued = run_issued
        self._tasks: set[asyncio.Task] = set()

    async def Exchange(self, request, context):
        return self._exchange.answer(request)

    async def Summary(self, request, context):
        return self._exchange.answer_summary(request)

    async def Claim(self, request, context):
        claim = KeyClaim(request.key, request.claim_id, request.owner)
        with self._in_flight.counted():
            owner = await self._claims.claim(request.partition, claim)
        if owner is None:
            return pb.ClaimReply(decided=False)
        return pb.ClaimReply(decided=True, claim_id=owner.claim_id, owner=owner.owner)

    async def Outcome(self, request, context):
        wait = min(request.wait_s, _MAX_OUTCOME_WAIT)
        with self._in_flight.counted():
            result = await self._ledger.outcome(request.claim_id, wait)
        return pb.CallResult() if result is None else answer_to_wire(result)

    async def Call(self, request, context):
        with self._in_flight.counted():
            return answer_to_wire(await self._run_issued(request))

    async def Complete(self, request, context):
        deployment = self._state.deployment
        if deployment is None:
            refusal = NotRun(ResultCode.NO_CONFIGURATION, "no configuration yet")
            yield part_to_wire(refusal)
            return
        job = work_from_wire(request)
        budget = self._budgets.of(job.partner)
        parts = attempt_completion(
            job, self._dispatcher, self._backends, budget, self._metrics
        )
        with self._in_flight.counted():
            async for part in parts:
                yield part_to_wire(part)

    async def Collect(self, request, context):
        result = await self._collectors.serve_here(
            request.trainer, request.operation, request.step, request.payload
        )
        if isinstance(result, OperationAnswer):
            return pb.CollectReply(code=ResultCode.DONE, payload=result.payload)
        return pb.CollectReply(
            code=result.code, detail=result.detail, retry_after=result.retry_after
        )

    async def HandOver(self, request, context):
        if self._state.stage != "serving":
            return pb.HandOverReply(taken=False)
        task = asyncio.create_task(
            self._collectors.inherit(request.trainer, request.step, request.samples)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return pb.HandOverReply(taken=True)


async def start_peer_server(
    service: PeerService, address: str, secret: str
) -> grpc.aio.Server:
    """
    Start the server for peers.

    :raises OSError: If the address cannot be bound.
    """
    options = [
        ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
        ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
        ("grpc.so_reuseport", 0),
        ("grpc.max_metadata_size", 16_384),
    ]
    server = grpc.aio.server(interceptors=[_SecretCheck(secret)], options=options)
    add_PeerServicer_to_server(service, server)
    try:
        bound = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"{address}: {error}") from None
    if bound == 0:
        raise OSError(f"{address}: cannot be bound")
    await server.start()
    return server
