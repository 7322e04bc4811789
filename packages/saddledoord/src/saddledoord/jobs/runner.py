# SPDX-License-Identifier: MIT

"""
Runs the items of this node's share of the jobs at the engines.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterable

import structlog

from saddledoor import (
    Denial,
    EngineEntry,
    FailureCounted,
    GatewayConfig,
    GatewayRoute,
    Incarnation,
    ItemFailed,
    ItemRejected,
    ItemResult,
    ItemResultRecorded,
    JobItem,
    JobState,
    ScoreCall,
    SendNeeds,
    request_key,
)
from saddledoor.exceptions import UndecodableRecordError

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..ports import GenerationFailedError, StoreUnavailableError
from ..serving.engine_crash_watch import EngineCrashWatch
from ..serving.gate import SendGate
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

#: Interval between attempts to dispatch waiting items, in seconds.
_DISPATCH_INTERVAL = 0.05
#: Interval between writes of events to the log, from where another node can resume, in
#: seconds.
_PERSIST_INTERVAL = 0.5
#: Fewest new events of an item for which a record is written.
_MIN_NEW_EVENTS = 8


ItemKey = tuple[str, str]


class JobRunner:
    """
    Dispatches the unfinished items of this node's jobs to engines with free slots.

    :param holds: Tells whether this node holds a work share.
    """

    @property
    def unreadable_items(self) -> int:
        """
        Number of this node's jobs whose items could not be decoded.
        """
        return self._items.unreadable

    def __init__(
        self,
        jobs: JobService,
        view: ClusterView,
        pool: EnginePool,
        gate: SendGate,
        unresponsive: UnresponsiveEngines,
        placement: Placement,
        attempts: AttemptRunner,
        crash_watch: EngineCrashWatch,
        writer: RecordWriter,
        texts: TextStore,
        scorer: Scorer,
        holds: Callable[[str], bool],
        log_freshness: LogFreshness,
    ) -> None:
        self._jobs = jobs
        self._view = view
        self._pool = pool
        self._gate = gate
        self._unresponsive = unresponsive
        self._writer = writer
        self._texts = texts
        self._scorer = scorer
        self._holds = holds
        self._log_freshness = log_freshness
        self._attempts = attempts
        self._crash_watch = crash_watch
        self._placement = placement
        self._runs: dict[ItemKey, ItemRun] = {}
        self._items = ItemLoader(jobs, self.wake)
        self._wake = asyncio.Event()
        self._stopped = False
        #: The configuration by which the needs of the items were found.
        self._needs_config: GatewayConfig | None = None

    def wake(self) -> None:
        """
        Run the next iteration of `run` without delay.
        """
        self._wake.set()

    async def run(self) -> None:
        """
        Dispatch items until cancelled.
        """
        while True:
            self._wake.clear()
            self._reconcile()
            if self._may_start():
                self._dispatch()
            try:
                async with asyncio.timeout(
                    _DISPATCH_INTERVAL if self._waiting() else None
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def drop_unowned(self) -> None:
        """
        Drop the items that this node should no longer run.
        """
        self._reconcile()

    def hand_over(self) -> None:
        """
        Drop all items, and queue their events for the log so that other nodes resume.
        """
        self._stopped = True
        for key in list(self._runs):
            self._drop(key, "handed_over")

    async def persist(self) -> None:
        """
        Write the events of unfinished texts to the log until cancelled.
        """
        while True:
            await asyncio.sleep(_PERSIST_INTERVAL)
            for run in self._runs.values():
                busy = run.result_queued or run.persisting
                if run.unpersisted >= _MIN_NEW_EVENTS and not busy:
                    run.persist(self._writer)

    def _waiting(self) -> bool:
        return any(run.is_idle for run in self._runs.values())

    def _may_start(self) -> bool:
        """
        Whether items may be sent to engines; see `LogFreshness`.
        """
        return self._log_freshness.may_start(boot_time())

    def _may_score(self, run: ItemRun) -> bool:
        """
        Whether a text may be scored now.

        The runs of an ended job are dropped only some time after its end is read.
        """
        return self._log_freshness.may_score(boot_time()) and not run.state.ended

    def _reconcile(self) -> None:
        """
        Create the items that this node should run, and drop those it should not.
        """
        if not self._jobs.caught_up:
            # A job may seem open although the log holds its end.
            return
        if self._view.config is not self._needs_config:
            self._needs_config = self._view.config
            for run in self._runs.values():
                run.needs = self._needs(run.state, run.item)
        wanted: dict[ItemKey, tuple[JobState, JobItem]] = {}
        for state in self._own_jobs():
            self._items.request_items(state)
            for item in state.items_without_result():
                wanted[state.job.job_id, item.item_id] = (state, item)
        for key in list(self._runs):
            if key not in wanted:
                self._drop(key, "not_wanted")
        new = [key for key in wanted if key not in self._runs]
        for key in new:
            state, item = wanted[key]
            self._runs[key] = ItemRun.create(state, item, self._needs(state, item))
        for job_id in {job_id for job_id, _ in new}:
            runs = [run for key, run in self._runs.items() if key[0] == job_id]
            kept = sum(run.checkpointed_text.count for run in runs)
            items = sum(1 for key in new if key[0] == job_id)
            state = runs[0].state
            self._placement.record_expected_lengths(state.job, state.items.values())
            _log.info("job_taken_up", job=job_id, items=items, kept_events=kept)

    def _own_jobs(self) -> list[JobState]:
        """
        Return the open jobs of the work shares that this node holds.
        """
        if self._stopped:
            return []
        # The second check holds for a share whose name only looks like another one's.
        return [
            state
            for state in self._jobs.open_jobs()
            if self._holds(self._view.share_of(state.job))
            and self._view.residency.may_run(state.job)
        ]

    def _needs(self, state: JobState, item: JobItem) -> SendNeeds:
        """
        Return what the gate has to check for an item, by the newest configuration.
        """
        path = item.path.partition("?")[0]
        return SendNeeds(self._view.residency.item_regions(state.job, path))

    def _drop(self, key: ItemKey, reason: str) -> None:
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
        unavailable: set[tuple[str, str, int, SendNeeds]] = set()
        idle = [run for run in self._runs.values() if run.is_idle]
        idle.sort(key=self._placement.latest_start)
        for run in idle:
            job = run.state.job
            route = self._view.route(job.host, run.item.path.partition("?")[0])
            if route is None:
                continue
            if self._is_expired(run, route):
                self._give_up(run)
                continue
            if self._failures(run) >= route.max_attempts:
                _log.info(
                    "failed_item_given_up",
                    job=job.job_id,
                    item=run.item.item_id,
                    content=run.key,
                    failures=self._failures(run),
                )
                self._give_up(run)
                continue
            if self._jobs.is_rejected(run.key):
                _log.info(
                    "rejected_item_given_up",
                    job=job.job_id,
                    item=run.item.item_id,
                    content=run.key,
                )
                self._give_up(run)
                continue
            requirements = (route.name, job.model, job.oldest_version, run.needs)
            if requirements in unavailable and not run.ineligible:
                continue
            self._placement.update_is_long(run)
            engine = self._choose(run, route)
            if engine is None:
                unavailable.add(requirements)
                run.ineligible.clear()
                continue
            self._begin(run, route, engine)

    def _choose(self, run: ItemRun, route: GatewayRoute) -> EngineEntry | None:
        """
        Return an engine for an item, or None.
        """

        def choose(excluded: Iterable[Incarnation]) -> EngineEntry | None:
            return self._placement.choose(run, route, run.ineligible.union(excluded))

        return self._crash_watch.choose_unsuspected(choose)

    def _begin(self, run: ItemRun, route: GatewayRoute, engine: EngineEntry) -> None:
        reservation = self._placement.reserve(run, engine)
        run.engines.append(engine.engine_id)
        run.times.enter(ItemPhase.FIRST_EVENT, boot_time())
        run.task = asyncio.create_task(self._run_item(run, route, engine, reservation))
        run.task.add_done_callback(
            lambda task: self._task_ended(run, task, reservation)
        )

    def _task_ended(
        self, run: ItemRun, task: asyncio.Task, reservation: Reservation
    ) -> None:
        # A task that is cancelled before its first step has not released it.
        reservation.release()
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "item_task_failed",
                job=run.state.job.job_id,
                item=run.item.item_id,
                exc_info=task.exception(),
            )
            # A defect of this program, not a failure of the item: run the item again.
            run.task = None
        self.wake()

    def _is_expired(self, run: ItemRun, route: GatewayRoute) -> bool:
        if route.max_item_age is None:
            return False
        # Monotonic: the wall clock may jump and differs between VMs.
        age = boot_time() - run.state.first_seen_at
        return age > route.max_item_age

    async def _run_item(
        self,
        run: ItemRun,
        route: GatewayRoute,
        engine: EngineEntry,
        reservation: Reservation,
    ) -> None:
        with reservation:
            try:
                await self._load(run)
                decided_at = boot_time()
                # The process may have been paused during the read.
                complete = self._may_start() and not run.state.ended
                if complete:
                    # The configuration may have changed during the read.
                    run.needs = self._needs(run.state, run.item)
                    permit = self._gate.permit(engine, run.needs, decided_at, True)
                    reservation.record_sent()
                    complete = not isinstance(permit, Denial)
                if complete:
                    await self._attempts.run(run, route, permit)
            except GenerationFailedError as error:
                self._handle_failure(run, engine, error.outcome, str(error))
                complete = False
        # The slot is free for another item while this one is scored.
        self.wake()
        if complete:
            self._placement.record_finished(run)
            await self._finish(run)
        else:
            run.times.enter(ItemPhase.PLACE, boot_time())
            run.task = None

    async def _load(self, run: ItemRun) -> None:
        """
        Read the events in the log, or start from the prompt if they cannot be read.
        """
        try:
            await run.load(self._texts)
        except (StoreUnavailableError, UndecodableRecordError) as error:
            _log.warning(
                "kept_text_not_loaded",
                job=run.state.job.job_id,
                item=run.item.item_id,
                events=run.checkpointed_text.count,
                reason=str(error),
            )
            run.discard_text()

    def _handle_failure(
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
                self._unresponsive.probe(engine)
            case GenerationFailedError.SLOW | GenerationFailedError.RESTARTED:
                pass
            case GenerationFailedError.FAILED:
                run.ineligible.add(engine.incarnation)
                self._count_failure(run)
            case GenerationFailedError.REJECTED:
                # Before the result, so that the next job's reader knows of it.
                self._writer.put(ItemRejected(job_id, run.key))
                self._give_up(run)
            case _:
                self._pool.record_failure(engine)
                self._unresponsive.probe(engine)

    def _count_failure(self, run: ItemRun) -> None:
        job, item_id = run.state.job, run.item.item_id
        failure_id = _new_failure()
        self._writer.put(ItemFailed(job.job_id, item_id, failure_id))
        self._writer.put(FailureCounted(job.job_id, run.key, failure_id))
        run.failures = self._failures(run) + 1
        route = self._view.route(job.host, run.item.path.partition("?")[0])
        if route is not None and run.failures >= route.max_attempts:
            self._give_up(run)

    def _failures(self, run: ItemRun) -> int:
        """
        Return the number of failed attempts of an item, in any job.
        """
        return max(run.failures, self._jobs.failures(run.key))

    def _record_score_failure(self, run: ItemRun, key: str) -> None:
        job_id, failure_id = run.state.job.job_id, _new_failure()
        self._writer.put(ItemFailed(job_id, run.item.item_id, failure_id, scoring=True))
        self._writer.put(FailureCounted(job_id, key, failure_id))

    async def _finish(self, run: ItemRun) -> None:
        job_id, item = run.state.job.job_id, run.item
        signature = ""
        if item.score is not None:
            run.times.enter(ItemPhase.SCORE, boot_time())
            try:
                key = _score_key(item.score)
                signature = await self._scorer.score(
                    item.score,
                    max(
                        run.state.score_failures(item.item_id),
                        self._jobs.failures(key),
                    ),
                    lambda: self._record_score_failure(run, key),
                    lambda: self._may_score(run),
                    run.state.job.workspace,
                )
            except ScoringFailedError:
                _log.info("item_not_scored", job=job_id, item=item.item_id)
                self._give_up(run)
                return
        versions = run.text.versions
        run.result_queued = True
        run.times.enter(ItemPhase.LOG, boot_time())
        self._writer.put_with_text(
            run.text.text.encode(),
            lambda text: ItemResultRecorded(
                job_id, ItemResult(item.item_id, True, text, versions, signature)
            ),
            lambda: self._log_group(run),
            run.needs.regions,
        )

    def _log_group(self, run: ItemRun) -> None:
        """
        Log the times of an item if it is the last of its group in the log.
        """
        run.result_logged = True
        group = (run.state.job.job_id, run.item.group)
        for key, other in self._runs.items():
            if (key[0], other.item.group) == group and not other.result_logged:
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
        Queue a result that lists an item as given up.

        The run is dropped when this node reads the result in the log.
        """
        run.result_queued = True
        result = ItemResult(run.item.item_id, done=False)
        self._writer.put(ItemResultRecorded(run.state.job.job_id, result))


def _score_key(call: ScoreCall) -> str:
    return request_key(call.host, "POST", call.path, call.body, call.request_id)


def _new_failure() -> str:
    return secrets.token_hex(4)
