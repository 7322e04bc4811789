# SPDX-License-Identifier: MIT

"""
Builders of a `PassThrough` whose engines' answers a function computes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from crash_watches import FakeControlLog, make_crash_watch

from builders import make_engine_entry, make_gateway_config
from saddledoor import EngineEntry, GatewayRoute, KeyFreshnessBounds, least_outstanding
from saddledoord._clock import boot_time
from saddledoord.cluster.engine_timeouts import EngineTimeouts
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import ForwardedRequest, KeyedEntry, SendPermit
from saddledoord.serving.admission import Admission
from saddledoord.serving.gate import SendGate
from saddledoord.serving.outcomes import Outcome
from saddledoord.serving.pass_through import PassThrough
from saddledoord.serving.pool import EnginePool


__all__ = ["FunctionEngines", "make_pass_through"]


class FunctionEngines:
    """
    Engines whose answers a function computes.

    :param answer: Returns the outcome of a call.
    :ivar called: Ids of the engines that were called, in order.
    """

    def __init__(
        self, answer: Callable[[EngineEntry, ForwardedRequest], Awaitable[Outcome]]
    ) -> None:
        self.called: list[str] = []
        self._answer = answer

    async def call(
        self, permit: SendPermit, request: ForwardedRequest, deadline: float
    ) -> Outcome:
        engine = permit.engine
        self.called.append(engine.engine_id)
        return await self._answer(engine, request)


def make_pass_through(
    engines: FunctionEngines,
    route: GatewayRoute,
    count: int = 2,
    control_log: FakeControlLog | None = None,
) -> tuple[PassThrough, EnginePool, ClusterView]:
    """
    Return a `PassThrough` with one route, its pool and its view.

    :param count: Number of engines, which are named from ``desk-0``.
    :param control_log: Delivers records of crashes; None for none.
    """
    view = ClusterView()
    view.apply_operator(KeyedEntry("config", 0, make_gateway_config(1, [route])))
    for index in range(count):
        entry = make_engine_entry(f"desk-{index}")
        view.apply_engine(KeyedEntry(entry.engine_id, index, entry))
    gate = SendGate(view)
    pool = EnginePool(view, least_outstanding(lambda: 0.0), gate)
    timeouts = EngineTimeouts(view)
    crash_watch = make_crash_watch(view, control_log)
    admission = Admission(view, boot_time, KeyFreshnessBounds(2.0))
    pass_through = PassThrough(
        view, pool, gate, engines, timeouts, crash_watch, admission, _ignore_request
    )
    return pass_through, pool, view


def _ignore_request(route, code, seconds) -> None:
    pass
