# SPDX-License-Identifier: MIT

"""
Attempt for plain services: hand a call over, again only where that is safe.
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
from ..backends.client import Backends, CallAnswer
from ..backends.dispatch import Dispatcher, Wanted
from ..observability.daemon_metrics import Metrics


__all__ = ["ServiceJob", "attempt_call"]

#: Instances that are tried for one call, a count.
_MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class ServiceJob:
    """
    A call on its way to a plain service.

    :param target: Path and query.
    :param key: The caller's idempotency key, or empty.
    :param deadline: When the caller gives up, in the daemon's seconds.
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
    def once(self) -> str:
        """
        What may run only once: the key, or the request itself if it has none.
        """
        if not self.unrepeatable:
            return ""
        return f"{self.partner}/{self.service}/{self.key or self.request_id}"


async def attempt_call(
    job: ServiceJob,
    dispatcher: Dispatcher,
    backends: Backends,
    budget: RetryBudget,
    metrics: Metrics,
) -> CallAnswer | NotRun | OutcomeUnknown:
    """
    Return the service's whole answer, or which of the two other families it ended in.

    An unrepeatable call is handed over once; it goes to another instance only while
    nothing was handed over.
    """
    budget.record_first_attempt()
    attempts = Attempts(_MAX_ATTEMPTS, job.unrepeatable, ResultCode.OUTCOME_UNKNOWN)
    while True:
        grant = await dispatcher.acquire(_wanted(job, frozenset(attempts.avoid)))
        if isinstance(grant, NotRun):
            return attempts.give_up(grant)
        try:
            # A VM that was frozen until now must not hand over what its caller, and
            # the memory of claims, have long given up on: checked in this loop step.
            left = job.deadline - boot_time()
            if left <= 0:
                late = NotRun(ResultCode.TIMED_OUT_IN_QUEUE, "the deadline passed")
                return attempts.give_up(late)
            request_id = f"{job.request_id}.{attempts.begin()}"
            dispatcher.trace(HandedOver(request_id, grant.name, job.once))
            result = await backends.call(
                grant.address,
                request_id=request_id,
                method=job.method,
                target=job.target,
                content_type=job.content_type,
                body=job.body,
                unrepeatable=job.unrepeatable,
                timeout=left,
            )
        finally:
            grant.release()
        metrics.attempts.add(1, {"outcome": type(result).__name__})
        if isinstance(result, CallAnswer):
            return result
        dispatcher.note_failure(grant.name)
        handed_over = isinstance(result, OutcomeUnknown)
        attempts.failed(grant.name, handed_over, result.detail)
        refusal = attempts.refuse_retry(budget)
        if refusal is not None:
            return refusal


def _wanted(job: ServiceJob, avoid: frozenset[str]) -> Wanted:
    return Wanted(
        target=job.service,
        work=WorkClass.INTERACTIVE,
        partner=job.partner,
        weight=job.weight,
        cost=1.0,
        deadline=job.deadline,
        avoid=avoid,
    )
