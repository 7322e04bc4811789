# SPDX-License-Identifier: MIT

"""
One attempt at an item: an engine's stream, watched for silence and slowness.
"""

from __future__ import annotations

import asyncio

from saddledoor import EngineEntry, GatewayRoute, GeneratedEvent

from .._clock import boot_time
from ..cluster.engine_timeouts import EngineTimeouts
from ..ports import Engines, Generation, GenerationFailedError
from ..serving.engine_crash_watch import EngineCrashWatch, EngineRun
from ..serving.pace import EnginePaces
from .item_run import ItemRun
from .item_times import ItemPhase
from .placement import Placement


__all__ = ["AttemptRunner"]

#: Silence after which a stream counts as broken, in seconds: twice what a change of
#: weights takes (0.9 s).
_SILENCE = 2.0
#: Least silence of a whole engine after which its items move to one that has room, in
#: seconds, and before it has made an event at all.
_STALL = 0.25
_STALL_FIRST = 0.5
#: The same in gaps between its events, a count.
_STALL_GAPS = 6.0
#: Silence after which a stream counts as paused in the item's times, in seconds: four
#: times what an event takes at a slow engine (0.15 s).
_PAUSE = 0.5
#: How often a silent stream is looked at, in seconds.
_LOOK = 0.05
#: Events that an item stays for before it may move, a count: a move costs the reading
#: of its prompt again, some 10 ms.
_STAY = 5
#: And the least time that it stays, in seconds: what is left of a short text is not
#: worth a move, and a mean of a few gaps says little.
_STAY_TIME = 0.25
#: Urgency of items; the platform's default is 5.
_URGENCY = 5
#: Outcomes by which the engine shows that it has run the item and lives.
_ANSWERED = frozenset({GenerationFailedError.FAILED, GenerationFailedError.REJECTED})
#: Outcomes by which the engine, or the one that has its address, vouches that it has
#: not run the item, or by which nothing was sent. An item that could not connect to
#: two engines which were down was blamed for their ends, and after one end more it was
#: kept from all engines for 240 s.
_NOT_RUN = frozenset(
    {
        GenerationFailedError.NOT_STARTED,
        GenerationFailedError.WRONG_INCARNATION,
        GenerationFailedError.UNREACHABLE,
    }
)


class AttemptRunner:
    """
    Runs items at engines.
    """

    def __init__(
        self,
        engines: Engines,
        paces: EnginePaces,
        placement: Placement,
        lives: EngineTimeouts,
        ends: EngineCrashWatch,
    ) -> None:
        self._ends = ends
        self._lives = lives
        self._engines = engines
        self._paces = paces
        self._placement = placement

    async def run(self, run: ItemRun, route: GatewayRoute, engine: EngineEntry) -> None:
        """
        Bring an item's text to its end at one engine.

        :raises GenerationFailedError: If the text is not whole after this.
        """
        try:
            with self._ends.track_run(engine.incarnation, run.key) as at_engine:
                async with self._lives.within(engine.incarnation):
                    await self._take_watched(run, route, engine, at_engine)
        except TimeoutError:
            raise GenerationFailedError(
                GenerationFailedError.RESTARTED, "the engine has started again"
            ) from None

    async def _take_watched(
        self,
        run: ItemRun,
        route: GatewayRoute,
        engine: EngineEntry,
        at_engine: EngineRun,
    ) -> None:
        """
        Take the events, and note what the end of the run says of the engine.
        """
        try:
            await self._take_events(run, route, engine)
        except GenerationFailedError as error:
            if error.outcome == GenerationFailedError.BROKEN:
                at_engine.record_interrupted(engine)
            elif error.outcome in _ANSWERED:
                at_engine.record_completed()
            elif error.outcome in _NOT_RUN:
                at_engine.record_not_started()
            raise
        at_engine.record_completed()

    async def _take_events(
        self, run: ItemRun, route: GatewayRoute, engine: EngineEntry
    ) -> None:
        generation = Generation(run.request, run.text.last, _URGENCY)
        stream = self._engines.generate(engine, generation)
        began, began_at = run.text.last, boot_time()
        last: float | None = None
        try:
            while True:
                event = await self._next(stream, run, engine)
                if event is None:
                    return
                now = boot_time()
                if last is None:
                    self._placement.started(engine, run.state.job.model)
                run.times.enter(ItemPhase.EVENTS, now)
                self._paces.observe(engine.incarnation, last and now - last, now)
                last = now
                self._take(run, route, engine, event)
                stayed = run.text.last - began
                if stayed % _STAY == 0 and now - began_at >= _STAY_TIME:
                    self._check_pace(run, engine)
        finally:
            # Closes the connection, so the engine stops at once.
            await stream.aclose()

    async def _next(
        self, stream, run: ItemRun, engine: EngineEntry
    ) -> GeneratedEvent | None:
        began = boot_time()
        coming = asyncio.ensure_future(anext(stream, None))
        try:
            while True:
                await asyncio.wait({coming}, timeout=_LOOK)
                if coming.done():
                    return coming.result()
                silent = boot_time() - began
                if silent > _PAUSE and run.times.phase is ItemPhase.EVENTS:
                    run.times.enter(ItemPhase.PAUSE, began + _PAUSE)
                self._check_silence(run, engine, silent)
        finally:
            if not coming.done():
                coming.cancel()
                await asyncio.wait({coming})

    def _check_silence(self, run: ItemRun, engine: EngineEntry, silent: float) -> None:
        if silent > _SILENCE:
            raise GenerationFailedError(GenerationFailedError.BROKEN, "silent")
        now = boot_time()
        silent = min(silent, self._paces.silent_for(engine.incarnation, now))
        if silent <= self._stall(run, engine, now):
            return
        if self._placement.elsewhere(run, engine):
            run.stalls += 1
            raise GenerationFailedError(GenerationFailedError.STALLED, "engine silent")

    def _stall(self, run: ItemRun, engine: EngineEntry, now: float) -> float:
        """
        How long an engine may be silent before an item moves, in seconds.

        Doubled with each move, so that an item comes to its end at engines that are
        slower than this expects.
        """
        gap = self._paces.gap(engine.incarnation, now)
        least = _STALL_FIRST if gap is None else max(_STALL, _STALL_GAPS * gap)
        return least * 2**run.stalls

    def _check_pace(self, run: ItemRun, engine: EngineEntry) -> None:
        self._placement.weigh(run)
        other = self._placement.faster(run, engine)
        if other is not None:
            run.pace_moves += 1
            raise GenerationFailedError(
                GenerationFailedError.SLOW, f"{other.engine_id} is faster"
            )

    def _take(
        self,
        run: ItemRun,
        route: GatewayRoute,
        engine: EngineEntry,
        event: GeneratedEvent,
    ) -> None:
        job = run.state.job
        if event.version is not None:
            self._placement.note_version(engine, job.model, event.version)
        mixed = run.text.versions and event.version not in run.text.versions
        if route.single_version and mixed:
            run.start_over()
            raise GenerationFailedError(
                GenerationFailedError.NOT_STARTED, "weights changed within the text"
            )
        if not run.text.take(event, job.oldest_version):
            run.unfit.add(engine.incarnation)
            raise GenerationFailedError(
                GenerationFailedError.NOT_STARTED,
                f"event {event.number} of version {event.version} after"
                f" {run.text.last} does not fit {job.oldest_version}",
            )
