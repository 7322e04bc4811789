# SPDX-License-Identifier: MIT

"""
Which engine an item goes to.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from saddledoor import EngineEntry, GatewayRoute, engines_to_update

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..serving.pace import EnginePaces
from ..serving.pool import EnginePool
from .item_run import ItemRun


__all__ = ["Placement"]

#: Engines count as equally fast up to so many times the best one's gap.
_LIKE = 1.15
#: An engine counts as slow beyond so many times the best one's gap between events;
#: the platform's engines differ by 1.3 when they are well.
_SLOW_ENGINE = 1.5


class Placement:
    """
    Chooses among the engines that may run an item, by their weights and their pace.

    :param oldest_allowed: Tells of a model the oldest version that its newest job
        allows.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: EnginePool,
        paces: EnginePaces,
        oldest_allowed: Callable[[str], int],
    ) -> None:
        self._view = view
        self._pool = pool
        self._paces = paces
        self._oldest_allowed = oldest_allowed
        self._seen_versions: dict[tuple[str, str], int] = {}

    def started(self, engine: EngineEntry, model: str) -> None:
        """
        Note that an engine has begun with an item of a model.
        """
        self._pool.answered(engine, model)

    def saw(self, engine: EngineEntry, model: str, version: int) -> None:
        """
        Note that an engine has made an event under a version of its weights.
        """
        self._pool.answered(engine)
        if version > self._seen_versions.get((engine.engine_id, model), 0):
            # It has loaded, so it takes items of the model again.
            self._pool.answered(engine, model)
            self._seen_versions[engine.engine_id, model] = version

    def elsewhere(
        self, run: ItemRun, engine: EngineEntry, settled: bool
    ) -> EngineEntry | None:
        """
        Return another engine with room that could go on with an item.

        :param settled: Whether to leave out engines that are about to load weights.
        """
        job = run.state.job
        route = self._view.route(job.host, run.item.path.partition("?")[0])
        if route is None:
            return None
        exclude = {*run.unfit, engine.engine_id}
        if settled:
            exclude |= self._about_to_load(job.model)
        return self.choose(run, route, exclude)

    def choose(
        self, run: ItemRun, route: GatewayRoute, exclude: set[str]
    ) -> EngineEntry | None:
        """
        Return an engine with room: the fastest, and of like ones the least busy.

        One that is about to load weights comes last but for slow ones, since it refuses
        what it has not begun, and pauses what it has.

        :param exclude: Engines that are left out, by id.
        """
        now = boot_time()
        service = route.service(random.random())
        ids = [e.engine_id for e in self._view.directory.usable(service, now)]
        best = self._paces.best_gap(ids, now)
        loading = self._about_to_load(run.state.job.model)

        def among(bound: float, left_out: set[str]) -> EngineEntry | None:
            def fits(engine: EngineEntry) -> bool:
                gap = self._paces.gap(engine.engine_id, now)
                fast = best is None or gap is None or gap <= best * bound
                return fast and self._fits(engine, run)

            return self._pool.choose(
                service, left_out, fits, room_only=True, kind=run.state.job.model
            )

        return (
            among(_LIKE, exclude | loading)
            or among(_SLOW_ENGINE, exclude | loading)
            or among(_SLOW_ENGINE, exclude)
            or among(math.inf, exclude)
        )

    def _about_to_load(self, model: str) -> set[str]:
        """
        Return the engines that the holder of the orders will bring to new weights, as
        far as this node knows, by id.
        """
        named = self._view.named_versions.get(model)
        if named is None:
            return set()
        versions = {
            engine.engine_id: self._version_at(engine, model)
            for engine in self._view.engines_following(model, boot_time())
        }
        return set(engines_to_update(versions, named, self._oldest_allowed(model)))

    def _fits(self, engine: EngineEntry, run: ItemRun) -> bool:
        """
        Whether an engine's weights are new enough, as far as this node knows.
        """
        model = run.state.job.model
        if model not in engine.versions:
            return not engine.versions
        return self._version_at(engine, model) >= run.state.job.oldest_version

    def _version_at(self, engine: EngineEntry, model: str) -> int:
        """
        Return the newest version that the engine has told of, or has used.
        """
        seen = self._seen_versions.get((engine.engine_id, model), 0)
        return max(engine.versions.get(model, 0), seen)
