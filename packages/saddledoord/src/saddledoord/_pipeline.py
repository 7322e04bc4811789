# SPDX-License-Identifier: MIT

"""
Processes requests by a chain of filters, each of which is a module.

    decode -> identify -> classify -> admit -> claim (unrepeatable only) -> route
           -> attempt -> collect the whole answer -> label -> encode

The dispatcher admits and routes each attempt; the HTTP layer encodes the answer.
"""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass

from saddledoor import (
    IssuedKeys,
    NotRun,
    OutcomeUnknown,
    Part,
    ResultCode,
    WorkClass,
)
from saddledoor.tracing import CallEnded

from ._clock import boot_time
from ._state import NodeState
from .backends.budgets import RetryBudgets
from .backends.client import BackendClient, CallAnswer
from .backends.dispatch import Dispatcher
from .filters.attempt import CompletionJob, attempt_completion
from .filters.call import ServiceJob, attempt_call
from .filters.claim import KeyLedger, claimed_call
from .filters.decode import CompletionBody, decode_completion
from .filters.identify import Caller, identify
from .log.claims import ClaimLog
from .observability.daemon_metrics import Metrics
from .peers.client import PeerClient, PeerUnavailableError
from .peers.wire_types import call_from_wire, call_to_wire
from .wire import peer_pb2 as pb


__all__ = ["Pipeline", "ServiceRequest"]

#: Longest idempotency key, in characters.
_MAX_KEY = 256


@dataclass(frozen=True)
class ServiceRequest:
    """
    A call to a plain service, as received.

    :param target: Path and query within the service.
    :param key: Idempotency key; empty without one.
    """

    service: str
    method: str
    path: str
    target: str
    content_type: str
    body: bytes
    key: str


class Pipeline:
    """
    Runs requests through the filters of one VM.
    """

    def __init__(
        self,
        state: NodeState,
        dispatcher: Dispatcher,
        backends: BackendClient,
        peers: PeerClient,
        claims: ClaimLog,
        ledger: KeyLedger,
        budgets: RetryBudgets,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._backends = backends
        self._peers = peers
        self._claims = claims
        self._ledger = ledger
        self._metrics = metrics
        self._budgets = budgets
        self._issued = IssuedKeys(state.owner.encode().hex())

    def identify(self, authorization: str | None) -> Caller | NotRun:
        """
        Identify the caller of a request.
        """
        return identify(self._state.deployment, authorization)

    def decode_completion(self, body: bytes) -> CompletionBody | NotRun:
        """
        Decode the body of a completion request.
        """
        return decode_completion(body)

    def complete(
        self, caller: Caller, body: CompletionBody
    ) -> AsyncIterator[Part | NotRun | OutcomeUnknown] | NotRun:
        """
        Return the parts of a completion, or the reason of a refusal.
        """
        job = self._classify_completion(caller, body)
        if isinstance(job, NotRun):
            return job
        budget = self._budgets.of(caller.name)
        return attempt_completion(
            job, self._dispatcher, self._backends, budget, self._metrics
        )

    async def call(
        self, caller: Caller, request: ServiceRequest
    ) -> CallAnswer | NotRun | OutcomeUnknown:
        """
        Forward a call to a plain service.
        """
        job = self._classify_call(caller, request)
        if isinstance(job, NotRun):
            return job
        result = await self._call(job, request)
        done = isinstance(result, CallAnswer)
        code = ResultCode.DONE if done else result.code
        self._state.trace(CallEnded(job.request_id, code))
        return result

    async def _call(
        self, job: ServiceJob, request: ServiceRequest
    ) -> CallAnswer | NotRun | OutcomeUnknown:
        if not (job.unrepeatable and job.key):
            return await self._attempt(job)
        if IssuedKeys.issuer(job.key) is not None:
            return await self._call_by_issued_key(job, request)
        return await claimed_call(
            job,
            self._attempt,
            self._state,
            self._claims,
            self._peers,
            self._ledger,
        )

    def issue_key(self, caller: Caller) -> str:
        """
        Return an idempotency key that needs no log, since this VM tracks its use.
        """
        return self._issued.issue(uuid.uuid4().hex, caller.name)

    async def run_issued(
        self, work: pb.ServiceWork
    ) -> CallAnswer | NotRun | OutcomeUnknown | None:
        """
        Run a call with a key that this VM issued, for a peer or for itself.
        """
        ledger_name = f"{work.partner}/{work.service}/{work.key}"
        if not self._issued.consume(work.key, work.partner):
            known = await self._ledger.outcome(ledger_name, work.timeout_s)
            return known or OutcomeUnknown(
                ResultCode.KEY_SPENT, "the key was not issued here, or was used"
            )
        result: CallAnswer | NotRun | OutcomeUnknown = OutcomeUnknown(
            ResultCode.OUTCOME_UNKNOWN, "the request was cut off"
        )
        future = self._ledger.open(ledger_name)
        try:
            result = await self._attempt(call_from_wire(work))
        finally:
            future.set_result(result)
        if isinstance(result, NotRun):
            self._issued.restore(work.key)
        return result

    def _classify_completion(
        self, caller: Caller, body: CompletionBody
    ) -> CompletionJob | NotRun:
        pool = self._state.pool_of_model(body.model)
        if pool is None:
            return NotRun(ResultCode.UNKNOWN_TARGET, f"model {body.model!r}", 0.0)
        timeout = self._state.deployment.limits.request_timeout_s
        return CompletionJob(
            attempt_id=uuid.uuid4().hex,
            partner=caller.name,
            weight=caller.weight,
            pool=pool.name,
            model=body.model.rpartition("/")[2],
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            work=WorkClass.INTERACTIVE,
            deadline=boot_time() + timeout,
        )

    def _classify_call(
        self, caller: Caller, request: ServiceRequest
    ) -> ServiceJob | NotRun:
        service = self._state.service(request.service)
        if service is None:
            return NotRun(
                ResultCode.UNKNOWN_TARGET, f"service {request.service!r}", 0.0
            )
        route = service.route(request.path)
        if route is None:
            return NotRun(ResultCode.UNKNOWN_TARGET, f"path {request.path!r}", 0.0)
        if len(request.key) > _MAX_KEY:
            detail = f"Idempotency-Key: at most {_MAX_KEY} characters"
            return NotRun(ResultCode.BAD_REQUEST, detail, 0.0)
        timeout = self._state.deployment.limits.request_timeout_s
        return ServiceJob(
            request_id=uuid.uuid4().hex,
            partner=caller.name,
            weight=caller.weight,
            service=service.name,
            method=request.method,
            target=request.target,
            content_type=request.content_type,
            body=request.body,
            unrepeatable=route.unrepeatable,
            key=request.key,
            deadline=boot_time() + timeout,
        )

    async def _attempt(self, job: ServiceJob) -> CallAnswer | NotRun | OutcomeUnknown:
        budget = self._budgets.of(job.partner)
        return await attempt_call(
            job, self._dispatcher, self._backends, budget, self._metrics
        )

    async def _call_by_issued_key(
        self, job: ServiceJob, request: ServiceRequest
    ) -> CallAnswer | NotRun | OutcomeUnknown:
        work = call_to_wire(job)
        issuer = IssuedKeys.issuer(job.key)
        if issuer == self._state.owner.encode().hex():
            return await self.run_issued(work)
        outcome_unknown = OutcomeUnknown(
            ResultCode.KEY_SPENT, "the key's VM is not there any more"
        )
        address = self._known_peer(issuer)
        if address is None:
            return outcome_unknown
        try:
            return (
                await self._peers.call(address, work, work.timeout_s + 1)
                or outcome_unknown
            )
        except PeerUnavailableError as error:
            # Retrying with the same key is safe: its issuer tracks whether it was used.
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, str(error))

    def _known_peer(self, issuer: str) -> str | None:
        # The key came from a caller, so its address must be one of a known peer.
        try:
            address = bytes.fromhex(issuer).decode().partition("@")[2]
        except ValueError:
            return None
        known = {m.grpc_outside for m in self._state.members.all_entries()}
        known |= {
            item.get("grpc_outside", item["grpc"])
            for item in self._state.vm_list.values()
        }
        return address if address in known else None
