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


__all__ = ["RequestTry"]


@dataclass
class RequestTry:
    """
    Who had a request, until when, and the worst that was seen.

    :param heard: Told of each attempt's outcome.
    :param key: Tells it from others when it comes again.
    :param attempts: Where it has been.
    :param may_begin: Asked before each attempt; none begins while it may not.
    :param engines: By the attempts there, in order.
    """

    route: GatewayRoute
    request: ForwardedRequest
    deadline: float
    heard: Callable[[Outcome], None]
    key: str
    service: str
    attempts: EngineAttempts
    may_begin: Callable[[], bool]
    engines: dict[asyncio.Task, EngineEntry] = field(default_factory=dict)
    last: Outcome | None = None

    @property
    def left(self) -> float:
        """
        Time until the deadline, in seconds.
        """
        return self.deadline - boot_time()
