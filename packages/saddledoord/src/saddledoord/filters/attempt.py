# SPDX-License-Identifier: MIT

"""
Attempt: run a completion at an engine, and resume it elsewhere when it breaks off.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from saddledoor import NotRun, OutcomeUnknown, ResultCode, RetryBudget, WorkClass

from .._backends import Backends, CompletionBrokenError, CompletionPart
from .._dispatch import Dispatcher, Wanted
from .._metrics import Metrics


__all__ = ["CompletionJob", "attempt_completion"]

#: Longest silence of an engine within a stream, in seconds.
_SILENCE = 5.0
#: Engines that are tried for one completion, a count.
_MAX_ATTEMPTS = 6

Part = CompletionPart | NotRun | OutcomeUnknown


@dataclass(frozen=True)
class CompletionJob:
    """
    A completion on its way to an engine.

    :param attempt_id: Unique name of this try to serve the request.
    :param min_version: Oldest weight version that will do, or -1.
    :param deadline: When waiting for a slot is over, in the daemon's seconds.
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


@dataclass
class _Progress:
    """
    What was passed on so far: the resumed part goes on from here.
    """

    text: str = ""
    tokens: int = 0
    handed_over: bool = False
    finished: bool = False
    attempts: int = 0
    avoid: set[str] = field(default_factory=set)
    reason: str = ""


async def attempt_completion(
    job: CompletionJob,
    dispatcher: Dispatcher,
    backends: Backends,
    budget: RetryBudget,
    metrics: Metrics,
) -> AsyncIterator[Part]:
    """
    Yield the parts of one whole answer, or parts and then why it is not whole.
    """
    progress = _Progress()
    budget.record_first_attempt()
    while True:
        grant = await dispatcher.acquire(_wanted(job, progress))
        if isinstance(grant, NotRun) and progress.avoid:
            # Every other engine failed it too: one that failed before may be back.
            progress.avoid.clear()
            grant = await dispatcher.acquire(_wanted(job, progress))
        if isinstance(grant, NotRun):
            yield _gave_up(progress, grant)
            return
        try:
            async for part in _one_attempt(job, grant.address, backends, progress):
                yield part
        finally:
            grant.release()
        if progress.finished:
            metrics.attempts.add(1, {"outcome": "done"})
            return
        metrics.attempts.add(1, {"outcome": "broken"})
        dispatcher.note_failure(grant.name)
        progress.avoid.add(grant.name)
        refusal = _may_retry(progress, budget)
        if refusal is not None:
            yield _gave_up(progress, refusal)
            return


async def _one_attempt(
    job: CompletionJob, address: str, backends: Backends, progress: _Progress
) -> AsyncIterator[CompletionPart]:
    progress.attempts += 1
    request_id = f"{job.attempt_id}.{progress.attempts}"
    stream = backends.complete(address, request_id, _body(job, progress), _SILENCE)
    try:
        async for part in stream:
            progress.handed_over = True
            progress.text += part.text
            progress.tokens += part.tokens
            if part.finish_reason is None:
                yield part
                continue
            if part.finish_reason == "length" and progress.tokens != job.max_tokens:
                raise CompletionBrokenError("the length is not the one asked for", True)
            progress.finished = True
            yield part
    except CompletionBrokenError as error:
        progress.finished = False
        progress.handed_over |= error.handed_over
        progress.reason = str(error)


def _may_retry(progress: _Progress, budget: RetryBudget) -> NotRun | None:
    if progress.attempts >= _MAX_ATTEMPTS:
        return NotRun(ResultCode.NO_BACKEND, progress.reason, 1.0)
    if not budget.spend():
        return NotRun(ResultCode.RETRY_BUDGET_SPENT, progress.reason, 1.0)
    return None


def _gave_up(progress: _Progress, refusal: NotRun) -> NotRun | OutcomeUnknown:
    if not progress.handed_over:
        return refusal
    return OutcomeUnknown(ResultCode.ANSWER_CUT, progress.reason or refusal.detail)


def _wanted(job: CompletionJob, progress: _Progress) -> Wanted:
    return Wanted(
        target=job.pool,
        work=job.work,
        partner=job.partner,
        weight=job.weight,
        cost=job.max_tokens - progress.tokens,
        deadline=job.deadline,
        model=job.model,
        min_version=job.min_version,
        avoid=frozenset(progress.avoid),
        local_only=job.local_only,
    )


def _body(job: CompletionJob, progress: _Progress) -> dict[str, object]:
    body: dict[str, object] = {
        "model": job.model,
        "prompt": job.prompt,
        "max_tokens": job.max_tokens - progress.tokens,
        "stream": True,
        "priority": int(job.work),
    }
    if progress.tokens:
        body["resume"] = {"text": progress.text, "tokens": progress.tokens}
    return body
