# SPDX-License-Identifier: MIT

"""
Which engine an item goes to, from what this node has seen of the engines.
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

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..serving.pace import EnginePaces
from ..serving.pool import EnginePool, Reservation
from ..serving.unresponsive_engines import UnresponsiveEngines
from .item_run import ItemRun


__all__ = ["Placement"]

#: An engine whose streams have all been silent for so long gets no item, in seconds:
#: three gaps of one that is well. It may be on the way to silence for good, and others
#: that went silent with it must not send their items there.
_QUIET = 0.15
#: Gap between events by which texts are compared while no pace is known, in seconds.
_USUAL_GAP = 0.04


class Placement:
    """
    Chooses among the engines that may run an item, by their weights and their pace.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: EnginePool,
        paces: EnginePaces,
        silent: UnresponsiveEngines,
    ) -> None:
        self._silent = silent
        self._view = view
        self._pool = pool
        self._paces = paces
        self._seen_versions: EngineTable[dict[str, int]] = view.engine_tables.table(
            dict
        )
        self._lengths: dict[str, TextLengthEstimator] = {}
        self._running: EngineTable[set[ItemRun]] = view.engine_tables.table(set)

    def announced(self, job: JobOpened, items: Iterable[JobItem]) -> None:
        """
        Note the lengths that a new job's trainer expects.
        """
        self._lengths_of(job).announce([item.expected_tokens for item in items])

    def whole(self, run: ItemRun) -> None:
        """
        Note how long a text has become.
        """
        lengths = self._lengths_of(run.state.job)
        lengths.finished(run.item.expected_tokens, run.text.last)

    def reserve(self, run: ItemRun, engine: EngineEntry) -> Reservation:
        """
        Take a place at an engine for an item.
        """
        place = self._pool.reserve(engine, run.state.job.model)
        there = self._running[engine.incarnation]
        there.add(run)

        def give_back() -> None:
            place.release()
            there.discard(run)

        return Reservation(give_back)

    def started(self, engine: EngineEntry, model: str) -> None:
        """
        Note that an engine has begun with an item of a model.
        """
        self._pool.record_success(engine, model)

    def note_version(self, engine: EngineEntry, model: str, version: int) -> None:
        """
        Note that an engine has made an event under a version of its weights.
        """
        self._pool.record_success(engine)
        seen = self._seen_versions[engine.incarnation]
        if version > seen.get(model, 0):
            # It has loaded, so it takes items of the model again.
            self._pool.record_success(engine, model)
            seen[model] = version

    def weigh(self, run: ItemRun) -> None:
        """
        Work out anew whether an item's text is long.
        """
        lengths = self._lengths_of(run.state.job)
        run.is_long = lengths.is_long(run.item.expected_tokens, run.text.last)

    def latest_start(self, run: ItemRun) -> float:
        """
        Return by when an item must start to be whole as soon after its job's arrival as
        any other, in seconds; the least goes first.

        So the long texts of all trainers come before the short ones, and old jobs
        before new ones, in one currency.
        """
        return run.state.first_seen_at - self._events_left(run) * self._usual_gap()

    def choose(
        self, run: ItemRun, route: GatewayRoute, exclude: Collection[Incarnation]
    ) -> EngineEntry | None:
        """
        Return an engine with room for an item, or none.

        :param exclude: Engines that are left out.
        """
        model, now = run.state.job.model, boot_time()
        engines = {
            engine.incarnation: engine
            for engine in self._pool.with_free_slots(
                route.service(random.random()), model
            )
            if engine.incarnation not in exclude
            and self._fits(engine, run)
            and self._speaks(engine.incarnation, now)
        }
        seats = {self._seat(engine, now): engine for engine in engines.values()}
        best = self._paces.best_gap(engines, now)
        seat = choose_placement(list(seats), best, run.is_long)
        return seats[seat] if seat is not None else None

    def elsewhere(self, run: ItemRun, engine: EngineEntry) -> EngineEntry | None:
        """
        Return another engine with room that could go on with an item.
        """
        job = run.state.job
        route = self._view.route(job.host, run.item.path.partition("?")[0])
        if route is None:
            return None
        return self.choose(run, route, {*run.unfit, engine.incarnation})

    def faster(self, run: ItemRun, engine: EngineEntry) -> EngineEntry | None:
        """
        Return another engine where an item ends so much sooner that it should move.
        """
        now = boot_time()
        gap = self._paces.gap(engine.incarnation, now)
        other = self.elsewhere(run, engine)
        if gap is None or other is None:
            return None
        other_gap = self._paces.gap(other.incarnation, now)
        if other_gap is None:
            return None
        left = self._events_left(run)
        worth = is_worth_moving(left, gap, other_gap, run.pace_moves)
        return other if worth else None

    def _speaks(self, engine: Incarnation, now: float) -> bool:
        """
        Whether an engine has not gone silent, as far as this node can tell.
        """
        if engine in self._silent:
            return False
        streams = any(run.has_events for run in self._running[engine])
        return not streams or self._paces.silent_for(engine, now) <= _QUIET

    def _seat(self, engine: EngineEntry, now: float) -> PlacementCandidate:
        return PlacementCandidate(
            engine.engine_id,
            self._pool.in_flight(engine),
            sum(run.is_long for run in self._running[engine.incarnation]),
            self._paces.gap(engine.incarnation, now),
        )

    def _events_left(self, run: ItemRun) -> float:
        lengths = self._lengths_of(run.state.job)
        return lengths.remaining_events(run.item.expected_tokens, run.text.last)

    def _usual_gap(self) -> float:
        return self._paces.best_gap(self._running, boot_time()) or _USUAL_GAP

    def _lengths_of(self, job: JobOpened) -> TextLengthEstimator:
        return self._lengths.setdefault(job.series, TextLengthEstimator())

    def _fits(self, engine: EngineEntry, run: ItemRun) -> bool:
        """
        Whether an engine's weights are new enough, as far as this node knows.
        """
        model = run.state.job.model
        if model not in engine.versions:
            return not engine.versions
        seen = self._seen_versions[engine.incarnation].get(model, 0)
        return max(engine.versions[model], seen) >= run.state.job.oldest_version
