# SPDX-License-Identifier: MIT

"""
Counts events for the burn report, which shows how fast error budgets are used up,
and writes the totals to the log.
"""

from __future__ import annotations

import asyncio

from saddledoor import BurnMeter, BurnTotals, Observation, ResultCode

from .._state import NodeState
from ..log.client import LogClient, LogUnavailableError


__all__ = ["BURN_STREAM", "BurnFeed"]

#: Name of the log stream of totals.
BURN_STREAM = "burn"


class BurnFeed:
    """
    Totals of this process and the totals that were last written.
    """

    def __init__(self, state: NodeState, log: LogClient) -> None:
        self._state = state
        self._log = log
        self._meter = BurnMeter()
        self._written: dict[str, tuple[int, int]] = {}

    def record_request(
        self, subject: str, pool: str, code: ResultCode, seconds: float
    ) -> None:
        """
        Record a caller's request; latency is recorded only for successful requests.

        :param pool: Name of the pool that served it, or empty.
        :param seconds: Latency, in seconds.
        """
        refused = float(code is not ResultCode.DONE)
        for name in (subject, f"pool:{pool}" if pool else ""):
            if not name:
                continue
            self._observe("refusals", name, refused)
            if not refused:
                self._observe("latency", name, seconds)

    def record_fetch(self, trainer: str, waited: float) -> None:
        """
        Record how long a trainer's fetch waited, in seconds.
        """
        self._observe("idle", f"trainer:{trainer}", waited)

    def record_sample(self, trainer: str, behind: int) -> None:
        """
        Record how many versions a delivered sample lags behind.
        """
        self._observe("freshness", f"trainer:{trainer}", behind)

    async def run(self) -> None:
        """
        Write the totals periodically if they changed.
        """
        while True:
            await asyncio.sleep(self._state.settings.timings.burn)
            await self.write(final=False)

    async def write(self, *, final: bool) -> None:
        """
        Write the totals; if the log is unavailable, the next write includes them.

        :param final: Whether this is the last write of the process.
        """
        totals = dict(self._meter.totals)
        if totals == self._written and not (final and totals):
            return
        record = BurnTotals(
            self._state.incarnation,
            self._state.data_centre,
            self._state.settings.timings.burn,
            totals,
            final,
        )
        try:
            await self._log.append(BURN_STREAM, [record])
        except LogUnavailableError:
            return
        self._written = totals

    def _observe(self, kind: str, subject: str, value: float) -> None:
        deployment = self._state.deployment
        if deployment is not None and deployment.objectives:
            event = Observation(kind, subject, value)
            self._meter.observe(deployment.objectives, event)
