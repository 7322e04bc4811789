# SPDX-License-Identifier: MIT

"""
The state of a request that is being forwarded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from saddledoor import EngineAttempts, EngineEntry, GatewayRoute, SendNeeds

from .._clock import boot_time
from ..ports import ForwardedRequest
from .outcomes import Outcome


__all__ = ["FirstStart", "RequestState"]


@dataclass
class FirstStart:
    """
    When the first engine started to run a request, as far as this node can tell.
    """

    _confirmed: float | None = None
    _assumed: float | None = None

    @property
    def at(self) -> float | None:
        """
        When the first engine started, monotonic, in seconds; None if none did.
        """
        return self._assumed if self._confirmed is None else self._confirmed

    def confirm(self, sent_at: float) -> None:
        """
        Record an attempt that was answered.

        :param sent_at: When it was sent, monotonic, in seconds.
        """
        self._confirmed = sent_at if self._confirmed is None else self._confirmed

    def assume(self, sent_at: float) -> None:
        """
        Record an attempt that an engine may have started but did not answer.

        :param sent_at: When it was sent, monotonic, in seconds.
        """
        self._assumed = sent_at if self._assumed is None else self._assumed


@dataclass
class RequestState:
    """
    A request, its deadline and its attempts.

    :param deadline: Monotonic, in seconds.
    :param on_outcome: Called with the outcome of each attempt.
    :param key: See `EngineCrashWatch`.
    :param service: Name of the service that the route chose.
    :param attempts: The attempts so far.
    :param may_begin: Called before each attempt; none starts while it returns false.
    :param first_start: Records when the first engine started the request.
    :param find_needs: Returns what the gate has to check, by the newest configuration.
    :param engines: Engine of each attempt's task, in the order of the attempts.
    :param last: Last outcome that is not `NotRun`; None before any.
    """

    route: GatewayRoute
    request: ForwardedRequest
    deadline: float
    on_outcome: Callable[[Outcome], None]
    key: str | None
    service: str
    attempts: EngineAttempts
    may_begin: Callable[[], bool]
    first_start: FirstStart
    find_needs: Callable[[], SendNeeds] = SendNeeds
    engines: dict[asyncio.Task, EngineEntry] = field(default_factory=dict)
    last: Outcome | None = None

    @property
    def needs(self) -> SendNeeds:
        """
        What the gate has to check; it changes with the configuration.
        """
        return self.find_needs()

    @property
    def remaining(self) -> float:
        """
        Time until the deadline, in seconds.
        """
        return self.deadline - boot_time()
