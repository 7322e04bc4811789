# SPDX-License-Identifier: MIT

"""
What callers may ask of batch jobs, at any node: submit, read, end.
"""

from __future__ import annotations

import asyncio
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

#: Most text in one reading, in bytes; the platform's pages allow 1 MB.
_MOST_READ = 900_000
#: After how long, beyond the wait that its caller allows, a reading fetches no further
#: page of texts, in seconds. Callers have 1.5 s, of which a page may take 0.1 s and the
#: answer as much.
_READ_LIMIT = 0.8
#: How long a submission may try to get into the log, in seconds.
_ACCEPT_LIMIT = 1.2
#: Longest wait for the answer to one of them, in seconds: a store that is slowed down
#: 60 times takes 0.24 s, and the submitter does better elsewhere than behind a cut.
_APPEND_PATIENCE = 0.6
#: Pause between those tries, in seconds.
_ACCEPT_PAUSE = 0.05
#: When a refused submitter should come back, in seconds.
_COME_BACK = 0.2
#: How much longer ended jobs are kept for readers than callers may ask, in seconds:
#: what a submission may have been on its way.
_KEEP_MARGIN = 10.0
#: Pause after news of jobs at a node that runs none and at which nobody waits for a
#: result, in seconds. The node that runs them appends up to 50 times a second, and each
#: record would end the waiting read of every node.
_GATHER = 0.1
#: How often old jobs are looked for, in seconds: it looks at all of them, and a start
#: reads thousands of records.
_FORGET_EVERY = 1.0


@dataclass(frozen=True)
class Accepted:
    """
    The log holds the job, or its end.
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
    Results from one position on.
    """

    total: int
    next_position: int
    results: tuple[ResultWithText, ...]


@dataclass(frozen=True)
class JobNotFound:
    """
    The log holds no such job, item or body.
    """


@dataclass(frozen=True)
class JobStateUnknown:
    """
    This node cannot read the log just now, so it does not know.
    """

    retry_after: float = _COME_BACK


class JobService:
    """
    Answers from the fold of the log, read on where the fold alone is not sure.

    :param result_retention: Age up to which an ended job may be read, in seconds.
    :param retention: Age up to which the log keeps records, in seconds.
    :param store_is_silent: Whether this node has heard nothing of the store lately.
    :param runs_jobs: Whether this node runs any share of the jobs.
    """

    def __init__(
        self,
        log: SharedLog,
        book: JobFold,
        texts: TextStore,
        changes: ChangeNotifier,
        result_retention: float,
        retention: float,
        store_is_silent: Callable[[], bool],
        runs_jobs: Callable[[], bool],
    ) -> None:
        self._log = log
        self._store_is_silent = store_is_silent
        self._runs_jobs = runs_jobs
        self._book = book
        self._texts = texts
        self.set_retention(result_retention, retention)
        self._changes = changes
        self._changed = lambda: None
        self._forgot_at = boot_time()
        self._unreadable: set[tuple[str, str]] = set()
        self._follower = LogFollower(
            log, JOBS_STREAM, self._apply, batch_delay=self._gather
        )

    @property
    def caught_up(self) -> bool:
        """
        Whether the jobs accepted before this process began are known.
        """
        return self._follower.caught_up

    @property
    def store_reached(self) -> bool:
        """
        Whether the store answered this node's last read.
        """
        return self._follower.is_store_reachable

    @property
    def skipped(self) -> int:
        """
        Records of jobs that could not be read, a count.
        """
        return self._follower.skipped

    @property
    def unreadable_texts(self) -> int:
        """
        Results asked for whose text cannot be read, a count.
        """
        return len(self._unreadable)

    @property
    def synced_at(self) -> float:
        """
        When this node knew the log's end, monotonic, in seconds.
        """
        return self._follower.synced_at

    def open_jobs(self) -> list[JobState]:
        """
        Return the jobs that have something to run, oldest first.
        """
        return self._book.open_jobs()

    def set_retention(self, result_retention: float, retention: float) -> None:
        """
        Change how long jobs are kept for their readers, in seconds.
        """
        self._ended_for = result_retention + _KEEP_MARGIN
        self._open_for = max(self._ended_for, retention)

    def on_change(self, changed) -> None:
        """
        Call a function after each record.
        """
        self._changed = changed

    async def run(self) -> None:
        """
        Follow the log until cancelled.
        """
        await self._follower.run()

    async def sync(self) -> bool:
        """
        Learn everything that the log holds by now; false if the store did not answer.
        """
        return await self._follower.sync()

    async def submit(self, job: Job) -> Accepted | NotRun | OutcomeUnknown:
        """
        Accept a job once the log holds it; the same job again is accepted again.
        """
        known = self._book.get(job.job_id)
        if known is not None:
            if known.job.may_be_seen_by(job.workspace):
                return Accepted()
            return NotRun(ResultCode.BAD_REQUEST, "the job's id is taken", 0.0)
        if self._store_is_silent():
            return NotRun(ResultCode.LOG_AWAY, "the store is silent", _COME_BACK)
        outcome = await self._open(job, boot_time() + _ACCEPT_LIMIT)
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
        Return results from a position on, as many as their texts come in time.

        :param wait: How long to wait for one, in seconds.
        :param caller: The workspace of whoever asks, as in `Job`; for it, another
            workspace's jobs are none.
        """
        texts_deadline = boot_time() + wait + _READ_LIMIT
        state = await self._find(job_id, caller)
        if not isinstance(state, JobState):
            return state
        deadline = boot_time() + wait
        if self._gather() and self.store_reached:
            # Otherwise a step's last result might wait for the trainer's next read.
            await self._follower.sync()
        while position >= len(state.results) and boot_time() < deadline:
            if len(state.results) == state.job.size:
                break
            await self._changes.wait(job_id, deadline - boot_time())
        if position >= len(state.results) and not await self._follower.sync():
            return JobStateUnknown()
        results = _from_position(state.results, position)
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
        # Results whose texts did not come in time are left to the next reading.
        read = tuple(
            self._read_result(job_id, result, text)
            for result, text in zip(results, texts, strict=False)
        )
        return JobResultsPage(state.job.size, position + len(read), read)

    def _read_result(
        self, job_id: str, result: ItemResult, text: bytes
    ) -> ResultWithText:
        """
        Return a result; one whose text cannot be read is one that was given up.

        At every node, since all read the same bytes, and the results behind it are
        still read.
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
        Have a job's items, by id; only nodes that need them read them.

        :raises StoreUnavailableError: If they cannot be had now.
        :raises UndecodableRecordError: If they are unusable.
        """
        if state.items is None:
            (data,) = await self._texts.read([state.job.items])
            state.items = {item.item_id: item for item in decode_job_items(data)}
        return state.items

    async def end(
        self, job_id: str, caller: str | None = None
    ) -> Accepted | JobNotFound | JobStateUnknown:
        """
        End a job once the log holds its end.

        :param caller: See `read`.
        """
        state = await self._find(job_id, caller)
        if not isinstance(state, JobState):
            return state
        if state.ended:
            return Accepted()
        record = encode_job_record(JobEnded(job_id))
        outcome = await self._append_surely([record], boot_time() + _ACCEPT_LIMIT)
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
        state = self._book.get(job_id)
        if state is None and not await self._follower.sync():
            _log.info("job_unsure", job=job_id, caught_up=self.caught_up)
            return JobStateUnknown()
        state = self._book.get(job_id)
        if state is None:
            _log.info("job_unknown", job=job_id)
            return JobNotFound()
        if not state.job.may_be_seen_by(caller):
            _log.info("job_of_another_workspace", job=job_id, caller=caller)
            return JobNotFound()
        return state

    async def _open(
        self, job: Job, deadline: float
    ) -> Accepted | NotRun | OutcomeUnknown:
        """
        Store a job's items, then the record that makes it count.
        """
        try:
            items = encode_job_items(job.items)
            (stored,) = await self._texts.write([items], deadline)
        except StoreUnavailableError as error:
            # Items alone never run.
            return NotRun(ResultCode.LOG_AWAY, str(error), _COME_BACK)
        opened = encode_job_record(JobOpened.of(job, stored))
        return await self._append_surely([opened], deadline)

    async def _append_surely(
        self, records: list[bytes], deadline: float
    ) -> Accepted | NotRun | OutcomeUnknown:
        """
        Append, again and again; the fold ignores what comes twice.

        :param deadline: When no further try begins, monotonic, in seconds.
        """
        may_be_there = False
        reason = "the items took all the time"
        while boot_time() < deadline:
            outcome = await self._log.append(JOBS_STREAM, records, _APPEND_PATIENCE)
            match outcome:
                case Appended():
                    return Accepted()
                case AppendOutcomeUnknown(reason=reason):
                    may_be_there = True
                case NotAppended(reason=reason):
                    pass
            await asyncio.sleep(_ACCEPT_PAUSE)
        if may_be_there:
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, reason)
        return NotRun(ResultCode.LOG_AWAY, reason, _COME_BACK)

    def _gather(self) -> float:
        return 0.0 if self._runs_jobs() or self._changes.has_waiters else _GATHER

    def _apply(self, offset: int, data: bytes) -> None:
        job_id = self._book.apply(decode_job_record(data), boot_time())
        if boot_time() - self._forgot_at > _FORGET_EVERY:
            self._forgot_at = boot_time()
            self._book.forget(self._forgot_at, self._ended_for, self._open_for)
        self._changes.notify(job_id)
        self._changed()


def _from_position(results: list[ItemResult], position: int) -> tuple[ItemResult, ...]:
    chosen: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += result.text.size
        if chosen and size > _MOST_READ:
            break
        chosen.append(result)
    return tuple(chosen)
