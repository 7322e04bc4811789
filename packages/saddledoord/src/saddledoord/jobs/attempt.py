# SPDX-License-Identifier: MIT

"""
Runs a job item at one engine, and ends the run if the engine is silent or slow.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from saddledoor import EngineEntry, GatewayRoute, GeneratedEvent

from .._clock import boot_time
from ..cluster.engine_timeouts import EngineTimeouts
from ..ports import Engines, Generation, GenerationFailedError, SendPermit
from ..serving.pace import EnginePaces
from .item_run import ItemRun
from .item_times import ItemPhase
from .placement import COLD_FACTOR, Placement


__all__ = ["AttemptRunner"]

#: Silence after which a stream counts as broken, in seconds; twice as long as a load of
#: weights (0.9 s).
_STREAM_TIMEOUT = 2.0
#: Shortest silence of an engine on all its streams after which its items move to
#: another engine, in seconds.
_MIN_STALL = 0.25
#: The same limit while the engine's mean gap between events is unknown, in seconds.
_FIRST_EVENT_STALL = 0.5
#: The same limit as a multiple of the mean gap; at least `_MIN_STALL`.
_STALL_GAPS = 6.0
#: Silence after which the time of an item is counted as `ItemPhase.PAUSE`, in seconds;
#: over three times an event at a slow engine (0.15 s).
_MIN_PAUSE = 0.5
#: Interval between checks of a silent stream, in seconds.
_CHECK_INTERVAL = 0.05
#: Interval between two checks from which this process counts as paused, in seconds.
_MAX_CHECK_INTERVAL = 0.1
#: Time after such a pause in which the events that arrived during it are read, in
#: seconds.
_CATCH_UP_TIME = 0.2
#: Events between two checks whether the item should move to a faster engine; a move
#: repeats the prefill of the prompt, some 10 ms.
_PACE_CHECK_EVENTS = 5
#: Shortest time at an engine before an item may move to a faster one, in seconds; a
#: short text is not worth the repeated prefill, and a mean of a few gaps says little.
_MIN_STAY_TIME = 0.25
#: Urgency of items; the platform's default is 5.
_URGENCY = 5


class _StreamTimer:
    """
    Times a stream, regardless of pauses of this process.

    Input that arrived during a pause is not read before the timers that became due in
    it are handled, and then it is read at once.
    """

    @property
    def silence(self) -> float:
        """
        Time without an event while this process ran, in seconds.
        """
        return self._silence

    @property
    def is_catching_up(self) -> bool:
        """
        Whether events that are read now may have arrived during a pause.
        """
        return self._checked_at - self._resumed_at < _CATCH_UP_TIME

    def __init__(self) -> None:
        self._silence = 0.0
        self._resumed_at = float("-inf")
        self._checked_at = boot_time()

    def restart(self) -> None:
        """
        Start to wait for an event; also when the engine has accepted the item.
        """
        self._silence = 0.0
        self._checked_at = boot_time()

    def check(self) -> None:
        """
        Update the times; called at each `_CHECK_INTERVAL` and each event.
        """
        now = boot_time()
        elapsed, self._checked_at = now - self._checked_at, now
        self._silence += min(elapsed, _MAX_CHECK_INTERVAL)
        if elapsed > _MAX_CHECK_INTERVAL:
            self._resumed_at = now


def _stays(run: ItemRun, engine: EngineEntry) -> bool:
    return False


class AttemptRunner:
    """
    Runs job items at engines, one call for each attempt.

    :param must_leave: Tells whether an item should move, since its engine will end.
    """

    def __init__(
        self,
        engines: Engines,
        paces: EnginePaces,
        placement: Placement,
        timeouts: EngineTimeouts,
        must_leave: Callable[[ItemRun, EngineEntry], bool] = _stays,
    ) -> None:
        self._must_leave = must_leave
        self._timeouts = timeouts
        self._engines = engines
        self._paces = paces
        self._placement = placement

    async def run(self, run: ItemRun, route: GatewayRoute, permit: SendPermit) -> None:
        """
        Generate the rest of an item's text at one engine.

        :raises GenerationFailedError: If the text is still incomplete.
        """
        try:
            async with self._timeouts.within(permit.engine.incarnation):
                await self._receive_events(run, route, permit)
        except TimeoutError:
            raise GenerationFailedError(
                GenerationFailedError.RESTARTED, "the engine has restarted"
            ) from None

    async def _receive_events(
        self,
        run: ItemRun,
        route: GatewayRoute,
        permit: SendPermit,
    ) -> None:
        engine = permit.engine
        generation = Generation(run.request, run.text.last, _URGENCY)
        timer = _StreamTimer()
        stream = self._engines.generate(permit, generation, timer.restart)
        resumed_after, started_at = run.text.last, boot_time()
        last: float | None = None
        try:
            while True:
                event = await self._next_event(stream, run, engine, timer)
                if event is None:
                    return
                now = boot_time()
                if last is None:
                    self._placement.record_started(engine, run.state.job.model)
                run.times.enter(ItemPhase.EVENTS, now)
                is_cold = self._placement.is_cold(engine)
                is_gap_unknown = last is None or timer.is_catching_up or is_cold
                gap = None if is_gap_unknown else now - last
                self._paces.observe(engine.incarnation, gap, now)
                last = now
                self._add_event(run, route, engine, event)
                if self._must_leave(run, engine):
                    raise GenerationFailedError(
                        GenerationFailedError.SLOW, "the engine ends before the text"
                    )
                received = run.text.last - resumed_after
                if (
                    received % _PACE_CHECK_EVENTS == 0
                    and now - started_at >= _MIN_STAY_TIME
                    and not is_cold
                ):
                    self._check_pace(run, engine)
        finally:
            # Closes the connection, which stops the generation at the engine.
            await stream.aclose()

    async def _next_event(
        self, stream, run: ItemRun, engine: EngineEntry, timer: _StreamTimer
    ) -> GeneratedEvent | None:
        timer.restart()
        waiting_since = boot_time()
        pending = asyncio.ensure_future(anext(stream, None))
        try:
            while True:
                await asyncio.wait({pending}, timeout=_CHECK_INTERVAL)
                timer.check()
                if pending.done():
                    return pending.result()
                waited = boot_time() - waiting_since
                if waited > _MIN_PAUSE and run.times.phase is ItemPhase.EVENTS:
                    run.times.enter(ItemPhase.PAUSE, waiting_since + _MIN_PAUSE)
                self._check_silence(run, engine, timer.silence)
        finally:
            if not pending.done():
                pending.cancel()
                await asyncio.wait({pending})

    def _check_silence(self, run: ItemRun, engine: EngineEntry, silence: float) -> None:
        factor = COLD_FACTOR if self._placement.is_cold(engine) else 1.0
        if silence > _STREAM_TIMEOUT * factor:
            raise GenerationFailedError(GenerationFailedError.BROKEN, "silent")
        now = boot_time()
        silence = min(silence, self._paces.silent_for(engine.incarnation, now))
        if silence <= self._stall_limit(run, engine, now) * factor:
            return
        if self._placement.find_alternative(run, engine):
            run.stalls += 1
            raise GenerationFailedError(GenerationFailedError.STALLED, "engine silent")

    def _stall_limit(self, run: ItemRun, engine: EngineEntry, now: float) -> float:
        """
        Return how long an engine may be silent before an item moves, in seconds.

        The limit doubles with each move, so that an item completes even if all
        engines are slower than expected.
        """
        gap = self._paces.gap(engine.incarnation, now)
        limit = (
            _FIRST_EVENT_STALL if gap is None else max(_MIN_STALL, _STALL_GAPS * gap)
        )
        return limit * 2**run.stalls

    def _check_pace(self, run: ItemRun, engine: EngineEntry) -> None:
        self._placement.update_is_long(run)
        other = self._placement.find_faster(run, engine)
        if other is not None:
            run.pace_moves += 1
            raise GenerationFailedError(
                GenerationFailedError.SLOW, f"{other.engine_id} is faster"
            )

    def _add_event(
        self,
        run: ItemRun,
        route: GatewayRoute,
        engine: EngineEntry,
        event: GeneratedEvent,
    ) -> None:
        job = run.state.job
        if event.version is not None:
            self._placement.record_version(engine, job.model, event.version)
        mixed = run.text.versions and event.version not in run.text.versions
        if route.single_version and mixed:
            run.discard_text()
            raise GenerationFailedError(
                GenerationFailedError.NOT_STARTED, "weights changed within the text"
            )
        if not run.text.take(event, job.oldest_version):
            run.ineligible.add(engine.incarnation)
            raise GenerationFailedError(
                GenerationFailedError.NOT_STARTED,
                f"event {event.number} of version {event.version} does not follow"
                f" event {run.text.last} or is older than {job.oldest_version}",
            )
