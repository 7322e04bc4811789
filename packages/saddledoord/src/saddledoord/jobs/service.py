# SPDX-License-Identifier: MIT

"""
Serves the operations on batch jobs that callers may send to any node.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saddledoor import (
    ItemResult,
    Job,
    JobEnded,
    JobFold,
    JobItem,
    JobOpened,
    JobState,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    decode_job_items,
    decode_job_record,
    encode_job_items,
    encode_job_record,
)
from saddledoor.exceptions import UndecodableRecordError

from .._clock import boot_time
from ..cluster.change_notifier import ChangeNotifier
from ..cluster.follow import LogFollower
from ..ports import (
    Appended,
    AppendOutcomeUnknown,
    NotAppended,
    SharedLog,
    StoreUnavailableError,
)
from ..serving.outcomes import refuse_without_region
from .record_writer import JOBS_STREAM
from .texts import TextStore


__all__ = [
    "Accepted",
    "JobResultsPage",
    "JobService",
    "JobNotFound",
    "ResultWithText",
    "JobStateUnknown",
]

_log = structlog.get_logger()

#: Most text on one page of results, in bytes; the platform allows 1 MB.
_MAX_PAGE_TEXT = 900_000
#: Time after the end of the caller's wait from which no further text is read, in
#: seconds; leaves time to answer before the caller times out, which is after 1.5 s. A
#: page may take 0.1 s and the answer as much.
_TEXT_READ_LIMIT = 0.8
#: Longest time for which an append to the log is retried, in seconds.
_APPEND_RETRY_LIMIT = 1.2
#: Timeout of one such append, in seconds; a store that is slowed down 60 times takes
#: 0.24 s, and a caller behind a cut does better at another VM.
_APPEND_TIMEOUT = 0.6
#: Pause between these retries, in seconds.
_APPEND_RETRY_PAUSE = 0.05
#: Time after which a rejected caller should retry, in seconds.
_RETRY_AFTER = 0.2
#: Time for which ended jobs are retained beyond the configured one, in seconds; covers
#: submissions that were in flight.
_RETENTION_MARGIN = 10.0
#: Pause between reads of the log at a node that runs no jobs and has no waiting caller,
#: in seconds. Without it each append, up to 50 a second, would wake every node.
_BATCH_DELAY = 0.1
#: Interval between removals of expired jobs, in seconds: each looks at all jobs, and a
#: replay reads thousands of records.
_EXPIRY_INTERVAL = 1.0


@dataclass(frozen=True)
class Accepted:
    """
    The log holds the job, or the record of its end.
    """


@dataclass(frozen=True)
class ResultWithText:
    """
    A result with its text.
    """

    result: ItemResult
    text: str


@dataclass(frozen=True)
class JobResultsPage:
    """
    A page of a job's results.

    :param total: Number of items of the job.
    :param next_position: Position after the last result of the page.
    """

    total: int
    next_position: int
    results: tuple[ResultWithText, ...]


@dataclass(frozen=True)
class JobNotFound:
    """
    The log holds no such job or item that the caller may see.
    """


@dataclass(frozen=True)
class JobStateUnknown:
    """
    This node cannot read the log now; the caller should retry.

    :param retry_after: Time until the retry, in seconds.
    """

    retry_after: float = _RETRY_AFTER


def _any_region(_: Job) -> None:
    return None


class JobService:
    """
    Answers callers from the jobs that this node has read from the log; reads the log
    first if a job or its results may be missing.

    :param result_retention: Age up to which an ended job may be read, in seconds.
    :param retention: Age up to which the log retains records, in seconds.
    :param store_is_silent: Tells whether the store has not answered lately.
    :param runs_jobs: Tells whether this node holds any work share.
    :param regions_of: Returns the regions that may run a job; none if any may.
    :param largest_items: Limit of the items of all open jobs together, in bytes. A
        single job may exceed it.
    """

    def __init__(
        self,
        log: SharedLog,
        fold: JobFold,
        texts: TextStore,
        changes: ChangeNotifier,
        result_retention: float,
        retention: float,
        store_is_silent: Callable[[], bool],
        runs_jobs: Callable[[], bool],
        regions_of: Callable[[Job], frozenset[str] | None] = _any_region,
        largest_items: float = math.inf,
    ) -> None:
        self._largest_items = largest_items
        self._regions_of = regions_of
        self._log = log
        self._store_is_silent = store_is_silent
        self._runs_jobs = runs_jobs
        self._fold = fold
        self._texts = texts
        self.set_retention(result_retention, retention)
        self._changes = changes
        self._on_record = lambda: None
        self._expired_at = boot_time()
        self._unreadable: set[tuple[str, str]] = set()
        self._truncated_at = float("-inf")
        self._follower = LogFollower(
            log,
            JOBS_STREAM,
            self._apply,
            batch_delay=self._batch_delay,
            on_truncated=self._restart,
        )

    @property
    def caught_up(self) -> bool:
        """
        Whether the log has been read up to its end at the start of this process.
        """
        return self._follower.caught_up

    @property
    def is_store_reachable(self) -> bool:
        """
        Whether the store answered the last read.
        """
        return self._follower.is_store_reachable

    @property
    def skipped(self) -> int:
        """
        Number of job records that could not be decoded.
        """
        return self._follower.skipped

    @property
    def unreadable_texts(self) -> int:
        """
        Number of requested results whose text could not be decoded.
        """
        return len(self._unreadable)

    @property
    def synced_at(self) -> float:
        """
        When this node last had read the whole log, monotonic, in seconds.
        """
        return self._follower.synced_at

    def open_jobs(self) -> list[JobState]:
        """
        Return the jobs with unfinished items, oldest first.
        """
        return self._fold.open_jobs()

    def failures(self, key: str) -> int:
        """
        Return the number of failed attempts in any job; see `JobFold`.
        """
        return self._fold.failures(key)

    def is_rejected(self, key: str) -> bool:
        """
        Return whether an engine answered that an item can never be done; see `JobFold`.
        """
        return self._fold.is_rejected(key)

    def set_retention(self, result_retention: float, retention: float) -> None:
        """
        Change the ages up to which jobs may be read and records are retained, in
        seconds.
        """
        self._ended_retention = result_retention + _RETENTION_MARGIN
        self._open_retention = max(self._ended_retention, retention)

    def on_record(self, callback) -> None:
        """
        Set the function that is called after each record.
        """
        self._on_record = callback

    async def run(self) -> None:
        """
        Follow the log until cancelled.
        """
        await self._follower.run()

    async def sync(self) -> bool:
        """
        Read the log up to its end; return False if the store does not answer.
        """
        return await self._follower.sync()

    async def submit(self, job: Job) -> Accepted | NotRun | OutcomeUnknown:
        """
        Append a job to the log; a repeated submission is accepted without a change.
        """
        known = self._fold.get(job.job_id)
        if known is not None:
            return _answer_repeated(known, job)
        if self._store_is_silent():
            return NotRun(ResultCode.LOG_AWAY, "the store is silent", _RETRY_AFTER)
        regions = self._regions_of(job)
        if regions == frozenset():
            _log.info("no_region_allowed", job=job.job_id, workspace=job.workspace)
            return refuse_without_region()
        if not self._has_room(job):
            _log.info("no_room_for_job", job=job.job_id)
            detail = "the open jobs take all the memory for jobs"
            return NotRun(ResultCode.OVERLOADED, detail, _RETRY_AFTER)
        deadline = boot_time() + _APPEND_RETRY_LIMIT
        outcome = await self._append_opened(job, regions, deadline)
        code = ResultCode.DONE if isinstance(outcome, Accepted) else outcome.code
        _log.info(
            "job_submitted",
            job=job.job_id,
            model=job.model,
            step=job.step,
            items=len(job.items),
            groups_wanted=job.groups_wanted,
            oldest_version=job.oldest_version,
            outcome=code.name.lower(),
        )
        return outcome

    async def read(
        self, job_id: str, position: int, wait: float, caller: str | None = None
    ) -> JobResultsPage | JobNotFound | JobStateUnknown:
        """
        Return results from a position on, as far as their texts are read in time.

        :param wait: Longest wait for a result at that position, in seconds.
        :param caller: The caller's workspace, see `Job.may_be_seen_by`; None if
            workspaces are not configured. A job of another workspace is answered as not
            found.
        """
        texts_deadline = boot_time() + wait + _TEXT_READ_LIMIT
        state = await self._find(job_id, caller)
        if not isinstance(state, JobState):
            return state
        deadline = boot_time() + wait
        if self._batch_delay() and self.is_store_reachable:
            # The log may hold results that this node has not read yet.
            await self._follower.sync()
        while position >= len(state.results) and boot_time() < deadline:
            if len(state.results) == state.job.size:
                break
            await self._changes.wait(job_id, deadline - boot_time())
        # No result can follow the last item's, so its reader needs no read of the log.
        is_complete = len(state.results) == state.job.size
        if position >= len(state.results) and not is_complete:
            if not await self._follower.sync():
                _log.info("results_unsure", job=job_id, position=position)
                return JobStateUnknown()
            if self._fold.get(job_id) is not state:
                # The log has dropped records meanwhile, maybe results of this job.
                _log.info("job_maybe_dropped", job=job_id)
                return JobStateUnknown()
        results = _page_from(state.results, position)
        try:
            texts = await self._texts.read_first(
                [result.text for result in results], texts_deadline
            )
        except StoreUnavailableError as error:
            _log.info("texts_not_read", job=job_id, reason=str(error))
            return JobStateUnknown()
        if len(texts) < len(results):
            _log.info(
                "reading_in_part",
                job=job_id,
                position=position,
                given=len(texts),
                listed=len(results),
            )
        # The next call returns the results whose texts were not read in time.
        read = tuple(
            self._read_result(job_id, result, text)
            for result, text in zip(results, texts, strict=False)
        )
        return JobResultsPage(state.job.size, position + len(read), read)

    def _read_result(
        self, job_id: str, result: ItemResult, text: bytes
    ) -> ResultWithText:
        """
        Return a result; one whose text cannot be decoded counts as given up.

        Every node reads the same bytes and so gives the same answer.
        """
        try:
            return ResultWithText(result, text.decode())
        except UnicodeDecodeError as error:
            if (job_id, result.item_id) not in self._unreadable:
                self._unreadable.add((job_id, result.item_id))
                _log.error(
                    "text_unreadable",
                    job=job_id,
                    item=result.item_id,
                    reason=str(error.reason),
                )
            return ResultWithText(ItemResult(result.item_id, done=False), "")

    async def body(
        self, job_id: str, item_id: str, caller: str | None = None
    ) -> bytes | JobNotFound | JobStateUnknown:
        """
        Return the body of an item.

        :param caller: See `read`.
        """
        state = await self._find(job_id, caller)
        if not isinstance(state, JobState):
            return state
        try:
            items = await self.load_items(state)
        except (StoreUnavailableError, UndecodableRecordError) as error:
            _log.info("items_not_loaded", job=job_id, reason=str(error))
            return JobStateUnknown()
        item = items.get(item_id)
        return item.body if item is not None else JobNotFound()

    async def load_items(self, state: JobState) -> dict[str, JobItem]:
        """
        Return a job's items by id, and read them from the log at the first call.

        :raises StoreUnavailableError: If they cannot be read now.
        :raises UndecodableRecordError: If they cannot be decoded.
        """
        if state.items is None:
            (data,) = await self._texts.read([state.job.items])
            state.items = {item.item_id: item for item in decode_job_items(data)}
        return state.items

    async def end(
        self, job_id: str, caller: str | None = None
    ) -> Accepted | JobNotFound | JobStateUnknown:
        """
        Append the end of a job to the log.

        :param caller: See `read`.
        """
        state = await self._find(job_id, caller)
        if not isinstance(state, JobState):
            return state
        if state.ended:
            return Accepted()
        record = encode_job_record(JobEnded(job_id))
        outcome = await self._append_with_retries(
            [record], boot_time() + _APPEND_RETRY_LIMIT
        )
        _log.info(
            "job_ended",
            job=job_id,
            listed=len(state.results),
            acknowledged=isinstance(outcome, Accepted),
        )
        return outcome if isinstance(outcome, Accepted) else JobStateUnknown()

    async def _find(
        self, job_id: str, caller: str | None
    ) -> JobState | JobNotFound | JobStateUnknown:
        state = self._fold.get(job_id)
        # During the replay the fold holds a part of the log only.
        is_unsure = state is None or not self.caught_up
        if is_unsure and not await self._follower.sync():
            _log.info("job_unsure", job=job_id, caught_up=self.caught_up)
            return JobStateUnknown()
        state = self._fold.get(job_id)
        if state is None and self._may_lack_jobs():
            _log.info("job_maybe_dropped", job=job_id)
            return JobStateUnknown()
        if state is None:
            _log.info("job_unknown", job=job_id)
            return JobNotFound()
        if not state.job.may_be_seen_by(caller):
            _log.info("job_of_another_workspace", job=job_id, caller=caller)
            return JobNotFound()
        return state

    def _has_room(self, job: Job) -> bool:
        """
        Return whether a job's items fit beside those of the open jobs.

        The node that runs the jobs keeps all of them in memory.
        """
        held = self._fold.open_items_size
        size = sum(len(item.body) for item in job.items)
        return not held or held + size <= self._largest_items

    async def _append_opened(
        self, job: Job, regions: frozenset[str] | None, deadline: float
    ) -> Accepted | NotRun | OutcomeUnknown:
        """
        Write a job's items, then the record that opens the job.
        """
        try:
            items = encode_job_items(job.items)
            (stored,), is_known = await asyncio.gather(
                self._texts.write([items], deadline, regions),
                self._sync_for_workspace(job),
            )
        except StoreUnavailableError as error:
            # Without the second record the items never run.
            return NotRun(ResultCode.LOG_AWAY, str(error), _RETRY_AFTER)
        if not is_known:
            reason = "the log cannot be read"
            return NotRun(ResultCode.LOG_AWAY, reason, _RETRY_AFTER)
        known = self._fold.get(job.job_id)
        if known is not None:
            return _answer_repeated(known, job)
        opened = encode_job_record(JobOpened.of(job, stored))
        return await self._append_with_retries([opened], deadline)

    async def _sync_for_workspace(self, job: Job) -> bool:
        """
        Read the log up to its end if the job's id may be another workspace's; return
        False if the store does not answer.

        All readers ignore a second job with the same id, so it would be accepted and
        never run.
        """
        return job.workspace is None or await self._follower.sync()

    async def _append_with_retries(
        self, records: list[bytes], deadline: float
    ) -> Accepted | NotRun | OutcomeUnknown:
        """
        Append with retries; readers ignore duplicates.

        :param deadline: Time after which no retry starts, monotonic, in seconds.
        """
        may_be_logged = False
        reason = "the items took all the time"
        while boot_time() < deadline:
            outcome = await self._log.append(JOBS_STREAM, records, _APPEND_TIMEOUT)
            match outcome:
                case Appended():
                    return Accepted()
                case AppendOutcomeUnknown(reason=reason):
                    may_be_logged = True
                case NotAppended(reason=reason):
                    pass
            await asyncio.sleep(_APPEND_RETRY_PAUSE)
        if may_be_logged:
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, reason)
        return NotRun(ResultCode.LOG_AWAY, reason, _RETRY_AFTER)

    def _may_lack_jobs(self) -> bool:
        """
        Whether other nodes may know jobs whose records were dropped before this node
        read them, and that must still be readable.
        """
        return boot_time() - self._truncated_at < self._ended_retention

    def _restart(self, first: int) -> None:
        """
        Forget the jobs: the log has dropped records that were not read.
        """
        _log.warning("job_history_incomplete", first=first)
        self._truncated_at = boot_time()
        self._fold.clear()
        self._on_record()

    def _batch_delay(self) -> float:
        return 0.0 if self._runs_jobs() or self._changes.has_waiters else _BATCH_DELAY

    def _apply(self, offset: int, data: bytes) -> None:
        job_id = self._fold.apply(decode_job_record(data), boot_time())
        if boot_time() - self._expired_at > _EXPIRY_INTERVAL:
            self._expired_at = boot_time()
            self._fold.forget(
                self._expired_at, self._ended_retention, self._open_retention
            )
        self._changes.notify(job_id)
        self._on_record()


def _answer_repeated(known: JobState, job: Job) -> Accepted | NotRun:
    if known.job.may_be_seen_by(job.workspace):
        return Accepted()
    return NotRun(ResultCode.BAD_REQUEST, "the job's id is taken", 0.0)


def _page_from(results: list[ItemResult], position: int) -> tuple[ItemResult, ...]:
    chosen: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += result.text.size
        if chosen and size > _MAX_PAGE_TEXT:
            break
        chosen.append(result)
    return tuple(chosen)
