# SPDX-License-Identifier: MIT

"""
Excludes unresponsive engines until they answer again.
"""

from __future__ import annotations

import asyncio

import structlog

from saddledoor import EngineEntry, EngineTables, Incarnation

from .._clock import boot_time
from ..ports import Engines


__all__ = ["UnresponsiveEngines"]

_log = structlog.get_logger()

#: Pause between two probes of an engine, in seconds.
_PROBE_INTERVAL = 0.1
#: Longest time for which an engine is probed and excluded, in seconds: the entry of one
#: that cannot be reached for so long is gone, and one that serves requests but answers
#: no probe must not be excluded for good.
_PROBE_LIMIT = 10.0


class UnresponsiveEngines:
    """
    Probes engines that have failed, and excludes them until they report their state.

    A probe takes no slot and little time, while an item that is sent to an unresponsive
    engine has to wait for a timeout.
    """

    def __init__(self, engines: Engines, engine_tables: EngineTables) -> None:
        self._engines = engines
        self._probes = engine_tables.table(set, _cancel)

    def probe(self, engine: EngineEntry) -> None:
        """
        Exclude an engine until it answers a probe.
        """
        probes: set[asyncio.Task] = self._probes[engine.incarnation]
        if not probes:
            task = asyncio.create_task(self._probe(engine))
            probes.add(task)
            task.add_done_callback(probes.discard)

    def __contains__(self, engine: Incarnation) -> bool:
        return bool(self._probes.get(engine))

    async def _probe(self, engine: EngineEntry) -> None:
        started_at = boot_time()
        while boot_time() < started_at + _PROBE_LIMIT:
            state = await self._engines.state(engine)
            if state is not None and state.belongs_to(engine):
                break
            await asyncio.sleep(_PROBE_INTERVAL)
        _log.info(
            "engine_asked",
            engine=engine.engine_id,
            silent=round(boot_time() - started_at, 3),
        )


def _cancel(probes: set[asyncio.Task]) -> None:
    for task in probes:
        task.cancel()
