# SPDX-License-Identifier: MIT

"""
Calls the scoring service that the trainer named for a finished text.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import structlog

from saddledoor import ScoreCall

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..ports import EngineAnswer, ForwardedRequest
from ..serving.outcomes import Outcome
from ..serving.pass_through import PassThrough


__all__ = ["ScoringFailedError", "Scorer"]

_log = structlog.get_logger()

#: Initial and longest backoff between attempts of a scoring call, in seconds; doubled
#: at each retry. The first is about the call's usual work (45 ms).
_PAUSE = 0.05
_MAX_PAUSE = 0.4
#: Most instances that one attempt of a call may be sent to.
_MAX_INSTANCES = 2
#: Status of a failed call, which counts against the route's limit of attempts.
_FAILED_STATUS = 500
#: Backoff while the call has no route, in seconds.
_NO_ROUTE_PAUSE = 0.5


class ScoringFailedError(Exception):
    """
    The scoring service failed as often as its route allows.
    """


class Scorer:
    """
    Retries scoring calls, which are repeatable, until one is answered.
    """

    def __init__(self, view: ClusterView, pass_through: PassThrough) -> None:
        self._view = view
        self._pass_through = pass_through

    async def score(
        self,
        call: ScoreCall,
        failures: int,
        on_failure: Callable[[], None],
        may_call: Callable[[], bool],
        workspace: str | None = None,
    ) -> str:
        """
        Return the signature of the first successful answer.

        :param failures: Number of failed calls so far, by any node.
        :param on_failure: Called after each further failure.
        :param may_call: Tells whether the call may be sent now.
        :param workspace: Workspace of the job, whose regions apply; none without one.
        :raises ScoringFailedError: After as many failures as the route allows.
        """
        pause = _PAUSE

        def count_failure(outcome: Outcome) -> None:
            nonlocal failures
            if isinstance(outcome, EngineAnswer) and outcome.status == _FAILED_STATUS:
                failures += 1
                on_failure()

        while True:
            if not may_call():
                await asyncio.sleep(_PAUSE)
                continue
            route = self._view.route(call.host, call.path.partition("?")[0])
            if route is None:
                _log.warning("score_without_route", request=call.request_id)
                await asyncio.sleep(_NO_ROUTE_PAUSE)
                continue
            if failures >= route.max_attempts:
                raise ScoringFailedError(call.request_id)
            # If an instance is slow, the call is also sent to a second one, within the
            # route's limit of failures.
            allowed = min(_MAX_INSTANCES, route.max_attempts - failures)
            outcome = await self._pass_through.run(
                replace(route, max_attempts=allowed),
                _request(call),
                boot_time() + route.timeout,
                count_failure,
                None,
                may_call,
                workspace=workspace,
            )
            match outcome:
                case EngineAnswer(status=status, signature=signature) if (
                    status < 300 and signature
                ):
                    return signature
            await asyncio.sleep(pause)
            pause = min(_MAX_PAUSE, 2 * pause)


def _request(call: ScoreCall) -> ForwardedRequest:
    return ForwardedRequest(
        "POST", call.host, call.path, (), call.body, call.request_id
    )
