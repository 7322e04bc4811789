# SPDX-License-Identifier: MIT

"""
Attempt: run a completion at an engine, and resume it at another one if it fails.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

from saddledoor import (
    AnswerBuilder,
    Attempts,
    BackendRequirement,
    NotRun,
    OutcomeUnknown,
    Part,
    ResultCode,
    RetryBudget,
    WorkClass,
)

from ..backends.client import BackendClient, CompletionBrokenError
from ..backends.dispatch import Dispatcher, Grant, SlotRequest
from ..observability.daemon_metrics import Metrics


__all__ = ["CompletionJob", "attempt_completion"]

#: Longest silence within an engine's stream, in seconds.
_SILENCE = 5.0
#: Most engines that are tried for one completion.
_MAX_ATTEMPTS = 6


@dataclass(frozen=True)
class CompletionJob:
    """
    A completion to run at an engine.

    :param attempt_id: Unique id of the request; each attempt appends its number.
    :param weight: Share of the slots of saturated backend servers, relative to other
        partners' weights.
    :param max_tokens: Length of the answer, in tokens.
    :param deadline: When to stop waiting for a slot, in seconds of `boot_time`.
    :param min_version: Oldest weight version allowed; -1 allows all.
    :param local_only: Whether only engines of this data centre may run it.
    """

    attempt_id: str
    partner: str
    weight: float
    pool: str
    model: str
    prompt: str
    max_tokens: int
    work: WorkClass
    deadline: float
    min_version: int = -1
    local_only: bool = False


async def attempt_completion(
    job: CompletionJob,
    dispatcher: Dispatcher,
    backends: BackendClient,
    budget: RetryBudget,
    metrics: Metrics,
) -> AsyncIterator[Part | NotRun | OutcomeUnknown]:
    """
    Yield the parts of one complete answer, or parts followed by the failure.
    """
    attempts = Attempts(_MAX_ATTEMPTS, False, ResultCode.ANSWER_CUT)
    answer = AnswerBuilder(job.max_tokens)
    budget.record_first_attempt()
    while answer.whole() is None:
        grant = await _acquire(job, attempts, answer, dispatcher)
        if isinstance(grant, NotRun):
            yield attempts.give_up(grant)
            return
        try:
            async for part in _one_attempt(job, grant, backends, attempts, answer):
                yield part
        finally:
            grant.release()
        if answer.whole() is not None:
            metrics.attempts.add(1, {"outcome": "done"})
            return
        metrics.attempts.add(1, {"outcome": "broken"})
        dispatcher.record_failure(grant.name)
        refusal = attempts.refuse_retry(budget)
        if refusal is not None:
            yield refusal
            return


async def _acquire(
    job: CompletionJob,
    attempts: Attempts,
    answer: AnswerBuilder,
    dispatcher: Dispatcher,
) -> Grant | NotRun:
    grant = await dispatcher.acquire(_slot_request(job, attempts, answer))
    if isinstance(grant, NotRun) and attempts.avoid:
        # No other engine is available; those that failed may have recovered.
        attempts.avoid.clear()
        grant = await dispatcher.acquire(_slot_request(job, attempts, answer))
    return grant


async def _one_attempt(
    job: CompletionJob,
    grant: Grant,
    backends: BackendClient,
    attempts: Attempts,
    answer: AnswerBuilder,
) -> AsyncIterator[Part]:
    request_id = f"{job.attempt_id}.{attempts.begin()}"
    body = _body(job, answer)
    answer.begin_attempt(request_id)
    last: Part | None = None
    try:
        async for part in backends.complete(grant.address, request_id, body, _SILENCE):
            if not answer.take(request_id, part):
                raise CompletionBrokenError("a part that was not asked for", True)
            if part.finish_reason is None:
                yield part
            else:
                last = part
        answer.end(request_id)
        if last is None or answer.whole() is None:
            raise CompletionBrokenError("the length is not the one asked for", True)
    except CompletionBrokenError as error:
        attempts.failed(grant.name, error.handed_over, str(error))
        return
    # The last part is passed on only after the end marker.
    yield last


def _slot_request(
    job: CompletionJob, attempts: Attempts, answer: AnswerBuilder
) -> SlotRequest:
    return SlotRequest(
        target=job.pool,
        work=job.work,
        partner=job.partner,
        weight=job.weight,
        cost=job.max_tokens - answer.tokens,
        deadline=job.deadline,
        requirement=BackendRequirement(job.model, job.min_version),
        avoid=frozenset(attempts.avoid),
        local_only=job.local_only,
    )


def _body(job: CompletionJob, answer: AnswerBuilder) -> dict[str, object]:
    body: dict[str, object] = {
        "model": job.model,
        "prompt": job.prompt,
        "max_tokens": job.max_tokens - answer.tokens,
        "stream": True,
        "priority": int(job.work),
    }
    if answer.tokens:
        body["resume"] = {"text": answer.text, "tokens": answer.tokens}
    return body
