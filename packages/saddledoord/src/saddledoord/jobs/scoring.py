# SPDX-License-Identifier: MIT

"""
Has a finished text scored by the service that the trainer named.
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

#: First and longest pause before a scoring call is repeated, in seconds, doubled each
#: time: about its usual work (45 ms), and the time to a late repeat's answer.
_PAUSE = 0.05
_PAUSE_MOST = 0.4
#: Instances that one call may be sent to before it is repeated, a count.
_AT_ONCE = 2
#: Status by which an instance says that it failed; counts as an attempt.
_FAILED = 500
#: Pause while the call has no route, in seconds.
_NO_ROUTE_PAUSE = 0.5


class ScoringFailedError(Exception):
    """
    The scoring service failed as often as its route allows.
    """


class Scorer:
    """
    Repeats the call until it is answered; the trainer says that it may be repeated.
    """

    def __init__(self, view: ClusterView, pass_through: PassThrough) -> None:
        self._view = view
        self._pass_through = pass_through

    async def score(
        self,
        call: ScoreCall,
        failures: int,
        failed: Callable[[], None],
        may_call: Callable[[], bool],
    ) -> str:
        """
        Return the mark of the first successful answer.

        :param failures: Failed calls so far, by whichever node.
        :param failed: Called after each further one.
        :param may_call: Whether the call may be made just now.
        :raises ScoringFailedError: After as many failures as the route allows.
        """
        pause = _PAUSE

        def on_outcome(outcome: Outcome) -> None:
            nonlocal failures
            if isinstance(outcome, EngineAnswer) and outcome.status == _FAILED:
                failures += 1
                failed()

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
            # Never more failures than the route allows, and a second instance beside
            # one that is late: the whole step may be waiting for this answer.
            left = min(_AT_ONCE, route.max_attempts - failures)
            outcome = await self._pass_through.run(
                replace(route, max_attempts=left),
                _request(call),
                boot_time() + route.timeout,
                on_outcome,
                call.request_id,
                may_call,
            )
            match outcome:
                case EngineAnswer(status=status, signature=signature) if (
                    status < 300 and signature
                ):
                    return signature
            await asyncio.sleep(pause)
            pause = min(_PAUSE_MOST, 2 * pause)


def _request(call: ScoreCall) -> ForwardedRequest:
    return ForwardedRequest(
        "POST", call.host, call.path, (), call.body, call.request_id
    )
