# SPDX-License-Identifier: MIT

"""
Runs the items of this node's share of the jobs at the engines.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from saddledoor import (
    EngineEntry,
    EventText,
    GatewayRoute,
    ItemFailed,
    ItemKept,
    ItemListed,
    ItemResult,
    JobBook,
    JobItem,
    JobState,
)

from ..cluster.view import ClusterView
from ..ports import Engines, ForwardedRequest, Generation, GenerationFailedError
from ..serving.pool import EnginePool, Place
from .record_writer import RecordWriter
from .scoring import ScoreImpossibleError, Scorer


__all__ = ["JobRunner"]

_log = structlog.get_logger()

#: How often engines are looked at again while items wait, in seconds.
_TICK = 0.05
#: Longest silence within a stream, in seconds: twice what a change of weights takes.
_SILENCE = 2.0
#: An item is given up so much later than the route allows, in seconds: clocks differ.
_CLOCK_MARGIN = 1.0
#: Urgency of items; the platform's default is 5.
_URGENCY = 5

Key = tuple[str, str]


@dataclass
class _ItemRun:
    """
    What this node holds of an item: its text so far and the task that works on it.

    :param listing: Whether its result is on its way into the log.
    :param failures: Failed runs, a count; the log's own lags behind this node's.
    :param unfit: Engines that cannot run it now, by id.
    """

    state: JobState
    item: JobItem
    text: EventText
    task: asyncio.Task | None = None
    listing: bool = False
    failures: int = 0
    unfit: set[str] = field(default_factory=set)


class JobRunner:
    """
    Keeps every engine's slots filled with items that still count.

    :param owns: Whether this node runs a series of jobs.
    """

    def __init__(
        self,
        book: JobBook,
        view: ClusterView,
        pool: EnginePool,
        engines: Engines,
        writer: RecordWriter,
        scorer: Scorer,
        owns: Callable[[str], bool],
    ) -> None:
        self._book = book
        self._view = view
        self._pool = pool
        self._engines = engines
        self._writer = writer
        self._scorer = scorer
        self._owns = owns
        self._runs: dict[Key, _ItemRun] = {}
        self._wake = asyncio.Event()
        self._seen_versions: dict[tuple[str, str], int] = {}
        self._stopped = False

    def wake(self) -> None:
        """
        Look again at what is to be done.
        """
        self._wake.set()

    async def run(self) -> None:
        """
        Run items until cancelled.
        """
        while True:
            self._wake.clear()
            self._reconcile()
            self._dispatch()
            try:
                async with asyncio.timeout(_TICK if self._waiting() else None):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def hand_over(self) -> None:
        """
        Give all items up, and leave what was made of their texts to the next node.
        """
        self._stopped = True
        for key in list(self._runs):
            self._drop(key, "handed_over")

    def _waiting(self) -> bool:
        return any(_is_idle(run) for run in self._runs.values())

    def _reconcile(self) -> None:
        """
        Begin what this node should run, drop what it should not.
        """
        wanted: dict[Key, tuple[JobState, JobItem]] = {}
        if not self._stopped:
            for state in self._book.open_jobs():
                if self._owns(state.job.series):
                    for item in state.unlisted():
                        wanted[state.job.job_id, item.item_id] = (state, item)
        for key in list(self._runs):
            if key not in wanted:
                self._drop(key, "not_wanted")
        for key, (state, item) in wanted.items():
            if key not in self._runs:
                text = EventText(state.kept.get(item.item_id))
                failures = state.failures.get(item.item_id, 0)
                self._runs[key] = _ItemRun(state, item, text, failures=failures)

    def _drop(self, key: Key, reason: str) -> None:
        run = self._runs.pop(key)
        if run.task is not None:
            run.task.cancel()
        listed = run.item.item_id in run.state.listed
        if listed or run.state.ended:
            return
        _log.info(
            "item_dropped",
            job=key[0],
            item=key[1],
            reason=reason,
            events=run.text.last,
        )
        if run.text.last:
            self._writer.put(ItemKept(key[0], key[1], run.text.keep()))

    def _dispatch(self) -> None:
        no_room: set[tuple[str, str, int]] = set()
        for run in list(self._runs.values()):
            if not _is_idle(run):
                continue
            job = run.state.job
            route = self._view.route(job.host, run.item.path.partition("?")[0])
            if route is None:
                continue
            if self._too_old(run, route):
                self._list(run, ItemResult(run.item.item_id, done=False))
                continue
            service = route.shares[0].service
            needs = (service, job.model, job.oldest_version)
            if needs in no_room and not run.unfit:
                continue
            engine = self._pool.choose(
                service,
                exclude=run.unfit,
                fits=lambda engine, run=run: self._fits(engine, run),
                room_only=True,
            )
            if engine is None:
                no_room.add(needs)
                run.unfit.clear()
                continue
            self._begin(run, route, engine)

    def _begin(self, run: _ItemRun, route: GatewayRoute, engine: EngineEntry) -> None:
        place = self._pool.take(engine)
        run.task = asyncio.create_task(self._work(run, route, engine, place))
        run.task.add_done_callback(lambda task: self._ended(task, place))

    def _ended(self, task: asyncio.Task, place: Place) -> None:
        # A task that is cancelled before it began has not given its place back.
        place.release()
        if not task.cancelled() and task.exception() is not None:
            _log.error("item_task_failed", exc_info=task.exception())
        self.wake()

    def _too_old(self, run: _ItemRun, route: GatewayRoute) -> bool:
        if route.give_up_after is None:
            return False
        age = time.time() - run.state.job.submitted_at
        return age > route.give_up_after + _CLOCK_MARGIN

    def _fits(self, engine: EngineEntry, run: _ItemRun) -> bool:
        """
        Whether an engine's weights are new enough, as far as this node knows.
        """
        model = run.state.job.model
        known = engine.versions.get(model)
        if known is None:
            return not engine.versions
        seen = self._seen_versions.get((engine.engine_id, model), 0)
        return max(known, seen) >= run.state.job.oldest_version

    async def _work(
        self, run: _ItemRun, route: GatewayRoute, engine: EngineEntry, place: Place
    ) -> None:
        with place:
            whole = await self._generate(run, route, engine)
        # The slot is free for the next item while this one is scored.
        self.wake()
        if whole:
            await self._finish(run)
        else:
            run.task = None

    async def _generate(
        self, run: _ItemRun, route: GatewayRoute, engine: EngineEntry
    ) -> bool:
        generation = Generation(_request(run), run.text.last, _URGENCY)
        stream = self._engines.generate(engine, generation)
        try:
            while True:
                async with asyncio.timeout(_SILENCE):
                    event = await anext(stream, None)
                if event is None:
                    break
                self._take(run, route, engine, event)
        except TimeoutError:
            self._failed(run, engine, GenerationFailedError.BROKEN, "silent")
            return False
        except GenerationFailedError as error:
            self._failed(run, engine, error.outcome, str(error))
            return False
        finally:
            # Closes the connection, so the engine stops at once.
            await stream.aclose()
        return True

    def _take(
        self, run: _ItemRun, route: GatewayRoute, engine: EngineEntry, event
    ) -> None:
        job = run.state.job
        self._pool.answered(engine)
        if event.version is not None:
            self._seen_versions[engine.engine_id, job.model] = event.version
        mixed = run.text.versions and event.version not in run.text.versions
        if route.single_version and mixed:
            run.text = EventText()
            raise GenerationFailedError(
                GenerationFailedError.NOT_STARTED, "weights changed within the text"
            )
        if not run.text.take(event, job.oldest_version):
            run.unfit.add(engine.engine_id)
            raise GenerationFailedError(
                GenerationFailedError.NOT_STARTED,
                f"event {event.number} of version {event.version} after"
                f" {run.text.last} does not fit {job.oldest_version}",
            )

    def _failed(
        self, run: _ItemRun, engine: EngineEntry, outcome: str, reason: str
    ) -> None:
        job_id, item_id = run.state.job.job_id, run.item.item_id
        _log.info(
            "item_attempt_failed",
            job=job_id,
            item=item_id,
            engine=engine.engine_id,
            outcome=outcome,
            reason=reason,
            events=run.text.last,
        )
        match outcome:
            case GenerationFailedError.NOT_STARTED:
                self._pool.refused(engine)
            case GenerationFailedError.FAILED:
                run.unfit.add(engine.engine_id)
                self._count_failure(run)
            case GenerationFailedError.IMPOSSIBLE:
                self._list(run, ItemResult(item_id, done=False))
            case _:
                self._pool.failed(engine)

    def _count_failure(self, run: _ItemRun) -> None:
        job, item_id = run.state.job, run.item.item_id
        self._writer.put(ItemFailed(job.job_id, item_id))
        run.failures += 1
        route = self._view.route(job.host, run.item.path.partition("?")[0])
        if route is not None and run.failures >= route.max_attempts:
            self._list(run, ItemResult(item_id, done=False))

    async def _finish(self, run: _ItemRun) -> None:
        job_id, item = run.state.job.job_id, run.item
        mark = ""
        if item.score is not None:
            try:
                mark = await self._scorer.score(
                    item.score,
                    run.state.score_failures.get(item.item_id, 0),
                    lambda: self._writer.put(ItemFailed(job_id, item.item_id, True)),
                )
            except ScoreImpossibleError:
                _log.info("item_not_scored", job=job_id, item=item.item_id)
                self._list(run, ItemResult(item.item_id, done=False))
                return
        text = run.text
        self._list(run, ItemResult(item.item_id, True, text.text, text.versions, mark))

    def _list(self, run: _ItemRun, result: ItemResult) -> None:
        """
        Have a result listed; the run stays until the log holds it.
        """
        run.listing = True
        self._writer.put(ItemListed(run.state.job.job_id, result))


def _is_idle(run: _ItemRun) -> bool:
    return run.task is None and not run.listing


def _request(run: _ItemRun) -> ForwardedRequest:
    item = run.item
    return ForwardedRequest(
        "POST", run.state.job.host, item.path, item.headers, item.body, item.item_id
    )
