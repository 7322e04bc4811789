# SPDX-License-Identifier: MIT

"""
Counts events for the burn report and writes the totals to the log.
"""

from __future__ import annotations

import asyncio

from saddledoor import BurnMeter, BurnTotals, Observation, ResultCode

from .._state import NodeState
from ..log.client import LogClient, LogUnavailableError


__all__ = ["BURN_STREAM", "BurnFeed"]

#: Stream of totals.
BURN_STREAM = "burn"


class BurnFeed:
    """
    This process's totals, and when they were last written.
    """

    def __init__(self, state: NodeState, log: LogClient) -> None:
        self._state = state
        self._log = log
        self._meter = BurnMeter()
        self._written: dict[str, tuple[int, int]] = {}

    def request(
        self, subject: str, pool: str, code: ResultCode, seconds: float
    ) -> None:
        """
        Count a partner's request; its latency counts only if it was answered.

        :param pool: The pool that served it, or empty.
        """
        refused = float(code is not ResultCode.DONE)
        for who in (subject, f"pool:{pool}" if pool else ""):
            if not who:
                continue
            self._observe("refusals", who, refused)
            if not refused:
                self._observe("latency", who, seconds)

    def fetch(self, trainer: str, waited: float) -> None:
        """
        Count a trainer's fetch by how long it waited, in seconds.
        """
        self._observe("idle", f"trainer:{trainer}", waited)

    def sample(self, trainer: str, behind: int) -> None:
        """
        Count a sample that is handed out, by the versions that it lies behind.
        """
        self._observe("freshness", f"trainer:{trainer}", behind)

    async def run(self) -> None:
        """
        Write the totals again and again, if they changed.
        """
        while True:
            await asyncio.sleep(self._state.settings.timings.burn)
            await self.write(final=False)

    async def write(self, *, final: bool) -> None:
        """
        Write the totals; if the log is away, the next ones cover them.
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
