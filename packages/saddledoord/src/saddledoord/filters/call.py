# SPDX-License-Identifier: MIT

"""
Attempt for plain services: hand a call over, again only where that is safe.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddledoor import NotRun, OutcomeUnknown, ResultCode, RetryBudget, WorkClass

from .._backends import Backends, CallAnswer
from .._clock import boot_time
from .._dispatch import Dispatcher, Wanted
from .._metrics import Metrics


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
    avoid: frozenset[str] = frozenset()
    handed_over = False
    for attempt in range(1, _MAX_ATTEMPTS + 1):
        grant = await dispatcher.acquire(_wanted(job, avoid))
        if isinstance(grant, NotRun):
            return _refused(grant, handed_over)
        try:
            # A VM that was frozen until now must not hand over what its caller, and
            # the memory of claims, have long given up on: checked in this loop step.
            left = job.deadline - boot_time()
            if left <= 0:
                late = NotRun(ResultCode.TIMED_OUT_IN_QUEUE, "the deadline passed")
                return _refused(late, handed_over)
            result = await backends.call(
                grant.address,
                request_id=f"{job.request_id}.{attempt}",
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
        avoid = avoid | {grant.name}
        if isinstance(result, OutcomeUnknown):
            handed_over = True
            if job.unrepeatable:
                return result
        if not budget.spend():
            spent = NotRun(ResultCode.RETRY_BUDGET_SPENT, result.detail, 1.0)
            return _refused(spent, handed_over)
    return _refused(NotRun(ResultCode.NO_BACKEND, "every try failed", 1.0), handed_over)


def _refused(refusal: NotRun, handed_over: bool) -> NotRun | OutcomeUnknown:
    if not handed_over:
        return refusal
    return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, refusal.detail)


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
