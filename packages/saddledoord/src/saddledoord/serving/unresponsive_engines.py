# SPDX-License-Identifier: MIT

"""
Engines that have gone silent, until they answer again.
"""

from __future__ import annotations

import asyncio

import structlog

from saddledoor import EngineEntry, EngineTables, Incarnation

from .._clock import boot_time
from ..ports import Engines


__all__ = ["UnresponsiveEngines"]

_log = structlog.get_logger()

#: Pause before an engine that gave no report is asked again, in seconds; a report that
#: gets no answer takes 0.5 s.
_PAUSE = 0.1
#: How long an engine is asked, in seconds. After that items may try it: whoever cannot
#: be reached for so long has lost its entry, and one that serves without answering
#: reports must not be left out for good.
_LIMIT = 10.0


class UnresponsiveEngines:
    """
    Asks engines that have failed for a report, and leaves them out until they give one.

    A report takes no slot and a few ms. An item that tries a silent engine waits for
    0.3 s or more, and its step with it: in plays with a data centre cut off for 6 s the
    texts that steps waited for tried up to three silent engines, 1 s each.
    """

    def __init__(self, engines: Engines, engine_tables: EngineTables) -> None:
        self._engines = engines
        self._asking = engine_tables.table(set, _cancel)

    def probe(self, engine: EngineEntry) -> None:
        """
        Leave an engine out until it answers.
        """
        asking: set[asyncio.Task] = self._asking[engine.incarnation]
        if not asking:
            task = asyncio.create_task(self._ask(engine))
            asking.add(task)
            task.add_done_callback(asking.discard)

    def __contains__(self, engine: Incarnation) -> bool:
        return bool(self._asking.get(engine))

    async def _ask(self, engine: EngineEntry) -> None:
        began = boot_time()
        while boot_time() < began + _LIMIT:
            state = await self._engines.state(engine)
            if state is not None and state.belongs_to(engine):
                break
            await asyncio.sleep(_PAUSE)
        _log.info(
            "engine_asked",
            engine=engine.engine_id,
            silent=round(boot_time() - began, 3),
        )


def _cancel(asking: set[asyncio.Task]) -> None:
    for task in asking:
        task.cancel()
