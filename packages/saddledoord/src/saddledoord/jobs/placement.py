# SPDX-License-Identifier: MIT

"""
Chooses the engine for a job item by weight version, pace and load.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from saddledoor import (
    EngineEntry,
    EngineTable,
    GatewayRoute,
    Incarnation,
    JobItem,
    JobOpened,
    PlacementCandidate,
    TextLengthEstimator,
    choose_placement,
    is_worth_moving,
)
from saddledoor.scaling import LeavingText

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..scaling.leaving import LeavingEngines
from ..serving.pace import EnginePaces
from ..serving.pool import EnginePool, Reservation
from ..serving.unresponsive_engines import UnresponsiveEngines
from .item_run import ItemRun


__all__ = ["COLD_FACTOR", "Placement"]

#: Silence on all streams of an engine after which it gets no item, in seconds: three
#: gaps of a healthy engine. Engines often fail together, so it must not get the items
#: of one that has just gone silent.
_MAX_QUIET = 0.15
#: Factor of the time-outs for silence of a cold engine.
COLD_FACTOR = 2.0
#: Gap between events that is assumed while no pace is known, in seconds.
_DEFAULT_GAP = 0.04


class Placement:
    """
    Chooses engines for items, and counts the items that run at each engine.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: EnginePool,
        paces: EnginePaces,
        unresponsive: UnresponsiveEngines,
        leaving: LeavingEngines | None = None,
    ) -> None:
        self._unresponsive = unresponsive
        self._leaving = leaving or LeavingEngines(view.engine_tables)
        self._view = view
        self._pool = pool
        self._paces = paces
        self._seen_versions: EngineTable[dict[str, int]] = view.engine_tables.table(
            dict
        )
        self._lengths: dict[str, TextLengthEstimator] = {}
        self._running: EngineTable[set[ItemRun]] = view.engine_tables.table(set)

    def record_expected_lengths(self, job: JobOpened, items: Iterable[JobItem]) -> None:
        """
        Record the text lengths that the trainer expects for a new job.
        """
        self._lengths_of(job).announce([item.expected_tokens for item in items])

    def record_finished(self, run: ItemRun) -> None:
        """
        Record the length of a finished text.
        """
        lengths = self._lengths_of(run.state.job)
        lengths.finished(run.item.expected_tokens, run.text.last)

    def reserve(self, run: ItemRun, engine: EngineEntry) -> Reservation:
        """
        Reserve a slot at an engine for an item.
        """
        reservation = self._pool.reserve(engine, run.state.job.model)
        running = self._running[engine.incarnation]
        running.add(run)

        def release_reservation() -> None:
            reservation.release()
            running.discard(run)

        return Reservation(release_reservation, self._pool.hold(engine))

    def is_cold(self, engine: EngineEntry) -> bool:
        """
        Return whether an engine is known or presumed to be cold, and hence slow.
        """
        return not self._pool.without_cold([engine], boot_time())

    def record_started(self, engine: EngineEntry, model: str) -> None:
        """
        Record that an engine has started to generate an item of a model.
        """
        self._pool.record_success(engine, model)

    def record_version(self, engine: EngineEntry, model: str, version: int) -> None:
        """
        Record the weight version under which an engine made an event.
        """
        self._pool.record_success(engine)
        seen = self._seen_versions[engine.incarnation]
        if version > seen.get(model, 0):
            # The load has ended, so the engine accepts items of the model again.
            self._pool.record_success(engine, model)
            seen[model] = version

    def update_is_long(self, run: ItemRun) -> None:
        """
        Update whether an item's text counts as long.
        """
        lengths = self._lengths_of(run.state.job)
        run.is_long = lengths.is_long(run.item.expected_tokens, run.text.last)

    def latest_start(self, run: ItemRun) -> float:
        """
        Return the sort key of a waiting item, in seconds; the smallest starts first.

        It is the arrival of the job minus the expected time to generate the rest of the
        text, so that long texts and old jobs start first across all trainers.
        """
        return run.state.first_seen_at - self._events_left(run) * self._reference_gap()

    def choose(
        self, run: ItemRun, route: GatewayRoute, exclude: Collection[Incarnation]
    ) -> EngineEntry | None:
        """
        Return an eligible engine with a free slot for an item, or None.

        :param exclude: Engines that are not considered.
        """
        model, now = run.state.job.model, boot_time()
        eligible = [
            engine
            for engine in self._pool.with_free_slots(
                route.service(random.random()), model, run.needs
            )
            if engine.incarnation not in exclude
            and self._is_new_enough(engine, run)
            and self._is_responsive(engine, now)
        ]
        eligible = self._pool.without_cold(eligible, now) or eligible
        engines = {engine.incarnation: engine for engine in eligible}
        candidates = {
            self._candidate(engine, now): engine for engine in engines.values()
        }
        best = self._paces.best_gap(engines, now)
        candidate = choose_placement(list(candidates), best, run.is_long)
        return candidates[candidate] if candidate is not None else None

    def find_alternative(self, run: ItemRun, engine: EngineEntry) -> EngineEntry | None:
        """
        Return another engine that could resume an item, or None.
        """
        job = run.state.job
        route = self._view.route(job.host, run.item.path.partition("?")[0])
        if route is None:
            return None
        return self.choose(run, route, {*run.ineligible, engine.incarnation})

    def find_faster(self, run: ItemRun, engine: EngineEntry) -> EngineEntry | None:
        """
        Return another engine that is fast enough to be worth a move, or None.
        """
        now = boot_time()
        gap = self._paces.gap(engine.incarnation, now)
        other = self.find_alternative(run, engine)
        if gap is None or other is None or self.is_cold(other):
            return None
        gap_there = self._paces.gap(other.incarnation, now)
        if gap_there is None:
            return None
        remaining_events = self._events_left(run)
        worth = is_worth_moving(remaining_events, gap, gap_there, run.pace_moves)
        return other if worth else None

    def must_leave(self, run: ItemRun, engine: EngineEntry) -> bool:
        """
        Return whether an item should move now, since its engine ends before its text.
        """
        return self._leaving.must_move(
            engine.incarnation,
            run.name,
            lambda: self._texts_at(engine),
            lambda: self._places_elsewhere(run, engine),
        )

    def _texts_at(self, engine: EngineEntry) -> list[LeavingText]:
        gap = self._paces.gap(engine.incarnation, boot_time()) or _DEFAULT_GAP
        return [
            LeavingText(run.name, self._events_left(run) * gap)
            for run in self._running[engine.incarnation]
        ]

    def _places_elsewhere(self, run: ItemRun, engine: EngineEntry) -> int:
        """
        Return the number of engines with a free slot, or 0 if none can resume the item.
        """
        if self.find_alternative(run, engine) is None:
            return 0
        model = run.state.job.model
        return len(self._pool.with_free_slots(engine.service, model, run.needs))

    def _is_responsive(self, engine: EngineEntry, now: float) -> bool:
        """
        Whether an engine still makes events, as far as this node knows.
        """
        incarnation = engine.incarnation
        if incarnation in self._unresponsive:
            return False
        if not any(run.has_events for run in self._running[incarnation]):
            return True
        max_quiet = _MAX_QUIET * (COLD_FACTOR if self.is_cold(engine) else 1.0)
        return self._paces.silent_for(incarnation, now) <= max_quiet

    def _candidate(self, engine: EngineEntry, now: float) -> PlacementCandidate:
        return PlacementCandidate(
            engine.engine_id,
            self._pool.in_flight(engine),
            sum(run.is_long for run in self._running[engine.incarnation]),
            self._paces.gap(engine.incarnation, now),
        )

    def _events_left(self, run: ItemRun) -> float:
        lengths = self._lengths_of(run.state.job)
        return lengths.remaining_events(run.item.expected_tokens, run.text.last)

    def _reference_gap(self) -> float:
        return self._paces.best_gap(self._running, boot_time()) or _DEFAULT_GAP

    def _lengths_of(self, job: JobOpened) -> TextLengthEstimator:
        return self._lengths.setdefault(job.series, TextLengthEstimator())

    def _is_new_enough(self, engine: EngineEntry, run: ItemRun) -> bool:
        """
        Whether an engine's weights are new enough for an item, as far as this node
        knows.
        """
        model = run.state.job.model
        if model not in engine.versions:
            return not engine.versions
        seen = self._seen_versions[engine.incarnation].get(model, 0)
        return max(engine.versions[model], seen) >= run.state.job.oldest_version
