# SPDX-License-Identifier: MIT

"""
Runs the items of this node's share of the jobs at the engines.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

import structlog

from saddledoor import (
    EngineEntry,
    GatewayRoute,
    ItemFailed,
    ItemResult,
    ItemResultRecorded,
    JobItem,
    JobState,
    PoisonStatus,
)
from saddledoor.exceptions import UndecodableRecordError

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..ports import GenerationFailedError, StoreUnavailableError
from ..serving.engine_crash_watch import EngineCrashWatch
from ..serving.pool import EnginePool, Reservation
from ..serving.unresponsive_engines import UnresponsiveEngines
from .attempt import AttemptRunner
from .item_loader import ItemLoader
from .item_run import ItemRun
from .item_times import ItemPhase
from .log_freshness import LogFreshness
from .placement import Placement
from .record_writer import RecordWriter
from .scoring import Scorer, ScoringFailedError
from .service import JobService
from .texts import TextStore


__all__ = ["JobRunner"]

_log = structlog.get_logger()

#: How often engines are looked at again while items wait, in seconds.
_TICK = 0.05
#: How often events are given to the log, so that another node may go on, in seconds.
_KEEP_EVERY = 0.5
#: Fewest new events of an item that are worth a record, a count.
_KEEP_LEAST = 8


Key = tuple[str, str]


class JobRunner:
    """
    Keeps every engine's slots filled with items that still count.

    :param owns: Whether this node runs a share of the jobs.
    """

    @property
    def unreadable_items(self) -> int:
        """
        Jobs of this node whose items could not be read, a count.
        """
        return self._items.unreadable

    def __init__(
        self,
        jobs: JobService,
        view: ClusterView,
        pool: EnginePool,
        silent: UnresponsiveEngines,
        placement: Placement,
        attempts: AttemptRunner,
        ends: EngineCrashWatch,
        writer: RecordWriter,
        texts: TextStore,
        scorer: Scorer,
        owns: Callable[[str], bool],
        log_freshness: LogFreshness,
    ) -> None:
        self._jobs = jobs
        self._view = view
        self._pool = pool
        self._silent = silent
        self._writer = writer
        self._texts = texts
        self._scorer = scorer
        self._owns = owns
        self._log_freshness = log_freshness
        self._attempts = attempts
        self._ends = ends
        self._placement = placement
        self._runs: dict[Key, ItemRun] = {}
        self._items = ItemLoader(jobs, self.wake)
        self._wake = asyncio.Event()
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
            # Whoever has stood still asks first which items have ended engines.
            await self._ends.refresh()
            self._reconcile()
            if self._may_start():
                self._dispatch()
            try:
                async with asyncio.timeout(_TICK if self._waiting() else None):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def drop_unowned(self) -> None:
        """
        Drop at once what this node should not run any more.
        """
        self._reconcile()

    def hand_over(self) -> None:
        """
        Give all items up, and leave what was made of their texts to the next node.
        """
        self._stopped = True
        for key in list(self._runs):
            self._drop(key, "handed_over")

    async def persist(self) -> None:
        """
        Give the log what was made of long texts, until cancelled.
        """
        while True:
            await asyncio.sleep(_KEEP_EVERY)
            for run in self._runs.values():
                busy = run.listing or run.writing
                if run.unkept >= _KEEP_LEAST and not busy:
                    run.persist(self._writer)

    def _waiting(self) -> bool:
        return any(run.is_idle for run in self._runs.values())

    def _may_start(self) -> bool:
        """
        Whether this node would know by now that a job has ended.
        """
        return self._log_freshness.may_start(boot_time())

    def _reconcile(self) -> None:
        """
        Begin what this node should run, drop what it should not.
        """
        if not self._jobs.caught_up:
            # A job may seem open whose end is in the log already.
            return
        wanted: dict[Key, tuple[JobState, JobItem]] = {}
        for state in self._own_jobs():
            self._items.request_items(state)
            for item in state.items_without_result():
                wanted[state.job.job_id, item.item_id] = (state, item)
        for key in list(self._runs):
            if key not in wanted:
                self._drop(key, "not_wanted")
        new = [key for key in wanted if key not in self._runs]
        for key in new:
            self._runs[key] = ItemRun.begin(*wanted[key])
        for job_id in {job_id for job_id, _ in new}:
            runs = [run for key, run in self._runs.items() if key[0] == job_id]
            kept = sum(run.held_by_log.count for run in runs)
            items = sum(1 for key in new if key[0] == job_id)
            state = runs[0].state
            self._placement.announced(state.job, state.items.values())
            _log.info("job_taken_up", job=job_id, items=items, kept_events=kept)

    def _own_jobs(self) -> list[JobState]:
        """
        Return the open jobs of this node's shares.
        """
        if self._stopped:
            return []
        jobs = self._jobs.open_jobs()
        return [s for s in jobs if self._owns(self._view.share_of(s.job))]

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
        run.persist(self._writer)

    def _dispatch(self) -> None:
        no_room: set[tuple[str, str, int]] = set()
        idle = [run for run in self._runs.values() if run.is_idle]
        idle.sort(key=self._placement.latest_start)
        for run in idle:
            job = run.state.job
            route = self._view.route(job.host, run.item.path.partition("?")[0])
            if route is None:
                continue
            if self._too_old(run, route):
                self._give_up(run)
                continue
            needs = (route.name, job.model, job.oldest_version)
            if needs in no_room and not run.unfit:
                continue
            self._placement.weigh(run)
            poison_status = self._ends.poison_status(run.key)
            if poison_status is PoisonStatus.QUARANTINED:
                self._log_barred(run)
                continue
            engine = self._choose(run, route, poison_status)
            if engine is None:
                if poison_status is not PoisonStatus.AMBIGUOUS:
                    no_room.add(needs)
                run.unfit.clear()
                continue
            self._begin(run, route, engine)

    def _choose(
        self, run: ItemRun, route: GatewayRoute, poison_status: PoisonStatus
    ) -> EngineEntry | None:
        """
        Return an engine for an item by what is known of it, or none.
        """
        if poison_status is PoisonStatus.CLEAN:
            return self._placement.choose(run, route, run.unfit)
        taken = self._ends.engines_with_suspects(run.key)
        alone = self._placement.choose(run, route, run.unfit | taken)
        if alone is not None or poison_status is PoisonStatus.AMBIGUOUS:
            return alone
        return self._placement.choose(run, route, run.unfit)

    def _log_barred(self, run: ItemRun) -> None:
        if run.barred:
            return
        run.barred = True
        _log.warning(
            "item_barred",
            job=run.state.job.job_id,
            item=run.item.item_id,
            content=run.key,
            engines=run.engines,
        )

    def _begin(self, run: ItemRun, route: GatewayRoute, engine: EngineEntry) -> None:
        place = self._placement.reserve(run, engine)
        run.engines.append(engine.engine_id)
        run.times.enter(ItemPhase.FIRST_EVENT, boot_time())
        run.task = asyncio.create_task(self._work(run, route, engine, place))
        run.task.add_done_callback(lambda task: self._ended(run, task, place))

    def _ended(self, run: ItemRun, task: asyncio.Task, place: Reservation) -> None:
        # A task that is cancelled before it began has not given its place back.
        place.release()
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "item_task_failed",
                job=run.state.job.job_id,
                item=run.item.item_id,
                exc_info=task.exception(),
            )
            # By a fault of ours, not of the item: it must not wait for ever.
            run.task = None
        self.wake()

    def _too_old(self, run: ItemRun, route: GatewayRoute) -> bool:
        if route.max_item_age is None:
            return False
        # Not by a time of day, which may jump and differs between VMs.
        age = boot_time() - run.state.first_seen_at
        return age > route.max_item_age

    async def _work(
        self, run: ItemRun, route: GatewayRoute, engine: EngineEntry, place: Reservation
    ) -> None:
        with place:
            try:
                await self._load(run)
                # This process may have stood still while it read.
                whole = self._may_start()
                if whole:
                    await self._attempts.run(run, route, engine)
            except GenerationFailedError as error:
                self._failed(run, engine, error.outcome, str(error))
                whole = False
        # The slot is free for the next item while this one is scored.
        self.wake()
        if whole:
            self._placement.whole(run)
            await self._finish(run)
        else:
            run.times.enter(ItemPhase.PLACE, boot_time())
            run.task = None

    async def _load(self, run: ItemRun) -> None:
        """
        Go on from what others made of the text, or begin anew if it cannot be had.
        """
        try:
            await run.load(self._texts)
        except (StoreUnavailableError, UndecodableRecordError) as error:
            _log.warning(
                "kept_text_not_loaded",
                job=run.state.job.job_id,
                item=run.item.item_id,
                events=run.held_by_log.count,
                reason=str(error),
            )
            run.start_over()

    def _failed(
        self, run: ItemRun, engine: EngineEntry, outcome: str, reason: str
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
                self._pool.record_refusal(engine, run.state.job.model)
            case GenerationFailedError.STALLED:
                self._silent.probe(engine)
            case GenerationFailedError.SLOW | GenerationFailedError.RESTARTED:
                pass
            case GenerationFailedError.FAILED:
                run.unfit.add(engine.incarnation)
                self._count_failure(run)
            case GenerationFailedError.REJECTED:
                self._give_up(run)
            case _:
                self._pool.record_failure(engine)
                self._silent.probe(engine)

    def _count_failure(self, run: ItemRun) -> None:
        job, item_id = run.state.job, run.item.item_id
        self._writer.put(ItemFailed(job.job_id, item_id, _new_failure()))
        run.failures += 1
        route = self._view.route(job.host, run.item.path.partition("?")[0])
        if route is not None and run.failures >= route.max_attempts:
            self._give_up(run)

    async def _finish(self, run: ItemRun) -> None:
        job_id, item = run.state.job.job_id, run.item
        mark = ""
        if item.score is not None:
            run.times.enter(ItemPhase.SCORE, boot_time())
            try:
                mark = await self._scorer.score(
                    item.score,
                    run.state.score_failures(item.item_id),
                    lambda: self._writer.put(
                        ItemFailed(job_id, item.item_id, _new_failure(), scoring=True)
                    ),
                    lambda: self._log_freshness.may_score(boot_time()),
                )
            except ScoringFailedError:
                _log.info("item_not_scored", job=job_id, item=item.item_id)
                self._give_up(run)
                return
        versions = run.text.versions
        run.listing = True
        run.times.enter(ItemPhase.LOG, boot_time())
        self._writer.put_with_text(
            run.text.text.encode(),
            lambda text: ItemResultRecorded(
                job_id, ItemResult(item.item_id, True, text, versions, mark)
            ),
            lambda: self._log_group(run),
        )

    def _log_group(self, run: ItemRun) -> None:
        """
        Tell where the time went of the item that its group waited for last.
        """
        run.written = True
        group = (run.state.job.job_id, run.item.group)
        for key, other in self._runs.items():
            if (key[0], other.item.group) == group and not other.written:
                return
        _log.info(
            "group_listed",
            job=run.state.job.job_id,
            group=run.item.group,
            item=run.item.item_id,
            events=run.text.last,
            versions=run.text.versions,
            engines=run.engines,
            seconds=run.times.rounded(boot_time()),
        )

    def _give_up(self, run: ItemRun) -> None:
        """
        Have an item listed as given up; the run stays until the log holds it.
        """
        run.listing = True
        result = ItemResult(run.item.item_id, done=False)
        self._writer.put(ItemResultRecorded(run.state.job.job_id, result))


def _new_failure() -> str:
    return secrets.token_hex(4)
