# SPDX-License-Identifier: MIT

"""
One request on its way to an answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from saddledoor import EngineAttempts, EngineEntry, GatewayRoute

from .._clock import boot_time
from ..ports import ForwardedRequest
from .outcomes import Outcome


__all__ = ["Beginning", "RequestTry"]


@dataclass
class Beginning:
    """
    When engines began to run a request, as far as this node can tell.
    """

    _certain: float | None = None
    _possible: float | None = None

    @property
    def at(self) -> float | None:
        """
        When the first of them began, monotonic, in seconds; none if none did.
        """
        return self._possible if self._certain is None else self._certain

    def certainly(self, sent_at: float) -> None:
        """
        Note that an engine has answered a request that was sent at a moment.
        """
        self._certain = sent_at if self._certain is None else self._certain

    def perhaps(self, sent_at: float) -> None:
        """
        Note that an engine may have begun one, which had no answer.
        """
        self._possible = sent_at if self._possible is None else self._possible


@dataclass
class RequestTry:
    """
    Who had a request, until when, and the worst that was seen.

    :param on_outcome: Told of each attempt's outcome.
    :param key: Tells it from others when it comes again.
    :param attempts: Where it has been.
    :param may_begin: Asked before each attempt; none begins while it may not.
    :param beginning: Learns when engines began it.
    :param engines: By the attempts there, in order.
    """

    route: GatewayRoute
    request: ForwardedRequest
    deadline: float
    on_outcome: Callable[[Outcome], None]
    key: str
    service: str
    attempts: EngineAttempts
    may_begin: Callable[[], bool]
    beginning: Beginning
    engines: dict[asyncio.Task, EngineEntry] = field(default_factory=dict)
    last: Outcome | None = None

    @property
    def left(self) -> float:
        """
        Time until the deadline, in seconds.
        """
        return self.deadline - boot_time()
