# SPDX-License-Identifier: MIT

"""
Attempt for plain services: send a call to an instance, and retry only if safe.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddledoor import (
    Attempts,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    RetryBudget,
    WorkClass,
)
from saddledoor.tracing import HandedOver

from .._clock import boot_time
from ..backends.client import BackendClient, CallAnswer
from ..backends.dispatch import Dispatcher, SlotRequest
from ..observability.daemon_metrics import Metrics


__all__ = ["ServiceJob", "attempt_call"]

#: Most instances that are tried for one call.
_MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class ServiceJob:
    """
    A call to send to a plain service.

    :param weight: Share of the slots of saturated backend servers, relative to other
        partners' weights.
    :param target: Path and query.
    :param unrepeatable: Whether it may run at most once.
    :param key: The caller's idempotency key; empty if there is none.
    :param deadline: When the caller times out, in seconds of `boot_time`.
    """

    request_id: str
    partner: str
    weight: float
    service: str
    method: str
    target: str
    content_type: str
    body: bytes
    unrepeatable: bool
    key: str
    deadline: float

    @property
    def at_most_once_id(self) -> str:
        """
        Identifies what may run at most once: the key, or the request without one;
        empty for a repeatable call.
        """
        if not self.unrepeatable:
            return ""
        return f"{self.partner}/{self.service}/{self.key or self.request_id}"


async def attempt_call(
    job: ServiceJob,
    dispatcher: Dispatcher,
    backends: BackendClient,
    budget: RetryBudget,
    metrics: Metrics,
) -> CallAnswer | NotRun | OutcomeUnknown:
    """
    Return the service's complete answer, or a refusal, or an unknown outcome.

    An unrepeatable call is sent to another instance only if the one before has received
    nothing.
    """
    budget.record_first_attempt()
    attempts = Attempts(_MAX_ATTEMPTS, job.unrepeatable, ResultCode.OUTCOME_UNKNOWN)
    while True:
        grant = await dispatcher.acquire(_slot_request(job, frozenset(attempts.avoid)))
        if isinstance(grant, NotRun):
            return attempts.give_up(grant)
        try:
            # After a process pause the caller may have timed out and the claim may have
            # expired. There is no await between this check and the start of the call.
            left = job.deadline - boot_time()
            if left <= 0:
                late = NotRun(ResultCode.TIMED_OUT_IN_QUEUE, "the deadline passed")
                return attempts.give_up(late)
            request_id = f"{job.request_id}.{attempts.begin()}"
            dispatcher.trace(HandedOver(request_id, grant.name, job.at_most_once_id))
            result = await backends.call(
                grant.address,
                request_id=request_id,
                method=job.method,
                target=job.target,
                content_type=job.content_type,
                body=job.body,
                timeout=left,
            )
        finally:
            grant.release()
        metrics.attempts.add(1, {"outcome": type(result).__name__})
        if isinstance(result, CallAnswer):
            return result
        dispatcher.record_failure(grant.name)
        handed_over = isinstance(result, OutcomeUnknown)
        attempts.failed(grant.name, handed_over, result.detail)
        refusal = attempts.refuse_retry(budget)
        if refusal is not None:
            return refusal


def _slot_request(job: ServiceJob, avoid: frozenset[str]) -> SlotRequest:
    return SlotRequest(
        target=job.service,
        work=WorkClass.INTERACTIVE,
        partner=job.partner,
        weight=job.weight,
        cost=1.0,
        deadline=job.deadline,
        avoid=avoid,
    )
