# SPDX-License-Identifier: MIT

"""
Batch jobs folded from the log, so that every node gives the same answers.

The first result record of an item determines its position among the results; later
ones are ignored, whichever node appended them. A node that wrongly considers itself
responsible for a job therefore cannot change its results.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ._jobs import (
    FailureCounted,
    ItemCheckpoint,
    ItemFailed,
    ItemRejected,
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobItem,
    JobOpened,
    JobRecord,
    StoredText,
)


__all__ = ["JobFold", "JobState", "CheckpointedText"]

#: Maximum number of items that are remembered as rejected, and as failed; the oldest
#: are dropped first.
_MAX_REJECTED = 65_536


@dataclass(frozen=True)
class CheckpointedText:
    """
    The beginning of an unfinished text, as stored by the log.

    :param count: Number of events, from the first one on without gaps.
    :param versions: Weight versions that made the events, in order of appearance.
    :param chain: Id of the run that made the last event, as in `TextSegment`.
    :param parts: Where the events are stored, in order.
    """

    count: int = 0
    versions: tuple[int, ...] = ()
    chain: str = ""
    parts: tuple[StoredText, ...] = ()


@dataclass
class JobState:
    """
    A job and its state in the log.

    :param position: Position of the job among all jobs, from 1.
    :param first_seen_at: When this process first read of the job, monotonic, in
        seconds; the job is at least that old.
    :param items: Items by id, in the job's order; none before this node has read them.
    :param results: Results in the order of their positions.
    :param listed: Ids of the items that have a result.
    :param failed: Failed runs and failed scoring calls.
    :param kept: Checkpoints of the unfinished texts, by item id.
    :param ended: Whether the trainer has ended the job.
    """

    job: JobOpened
    position: int
    first_seen_at: float
    items: dict[str, JobItem] | None = None
    results: list[ItemResult] = field(default_factory=list)
    listed: set[str] = field(default_factory=set)
    failed: set[ItemFailed] = field(default_factory=set)
    kept: dict[str, CheckpointedText] = field(default_factory=dict)
    ended: bool = False

    @property
    def is_open(self) -> bool:
        """
        Whether the job has items left to run.
        """
        return not self.ended and len(self.listed) < self.job.size

    def failures(self, item_id: str) -> int:
        """
        Return the number of failed runs of an item.
        """
        return self._count_failures(item_id, scoring=False)

    def score_failures(self, item_id: str) -> int:
        """
        Return the number of failed scoring calls of an item.
        """
        return self._count_failures(item_id, scoring=True)

    def _count_failures(self, item_id: str, scoring: bool) -> int:
        return sum(f.item_id == item_id and f.scoring == scoring for f in self.failed)

    def items_without_result(self) -> Iterator[JobItem]:
        """
        Return the items without a result, in the job's order; no items before this node
        has read them.
        """
        items = self.items or {}
        return (item for name, item in items.items() if name not in self.listed)


@dataclass
class _Failures:
    """
    Failed attempts of an item or a scoring call.

    :param since: Time of the first record, monotonic, in seconds.
    """

    since: float
    ids: set[str] = field(default_factory=set)


class JobFold:
    """
    All jobs, folded from the log's records.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, JobState] = {}
        self._accepted = 0
        self._oldest_allowed: dict[str, int] = {}
        # By item key: time of the first record, monotonic, in seconds.
        self._rejected: dict[str, float] = {}
        self._failed: dict[str, _Failures] = {}

    def get(self, job_id: str) -> JobState | None:
        """
        Return a job, or none if it is unknown.
        """
        return self._jobs.get(job_id)

    def open_jobs(self) -> list[JobState]:
        """
        Return the jobs that have items left to run, oldest first.
        """
        return [state for state in self._jobs.values() if state.is_open]

    @property
    def open_items_size(self) -> int:
        """
        Size of the items of all open jobs, in bytes.
        """
        return sum(state.job.items.size for state in self.open_jobs())

    def oldest_allowed(self, model: str) -> int:
        """
        Return the oldest weight version that the newest job of a model allows.
        """
        return self._oldest_allowed.get(model, 0)

    def is_rejected(self, key: str) -> bool:
        """
        Return whether an engine answered, in any job, that an item can never be done.

        :param key: The item by `request_key`.
        """
        return key in self._rejected

    def failures(self, key: str) -> int:
        """
        Return the number of failed attempts of an item or a scoring call, in any job.

        :param key: As `request_key` returns it.
        """
        failed = self._failed.get(key)
        return len(failed.ids) if failed is not None else 0

    def apply(self, record: JobRecord, now: float = 0.0) -> str:
        """
        Fold one record.

        :param now: Monotonic, in seconds; only used for the ages of jobs.
        :returns: Id of the record's job.
        """
        if isinstance(record, JobOpened):
            self._open(record, now)
            return record.job_id
        if isinstance(record, ItemRejected):
            # Kept apart from the job, which may be forgotten sooner.
            self._rejected.setdefault(record.key, now)
            if len(self._rejected) > _MAX_REJECTED:
                del self._rejected[next(iter(self._rejected))]
            return record.job_id
        if isinstance(record, FailureCounted):
            self._failed.setdefault(record.key, _Failures(now)).ids.add(
                record.failure_id
            )
            if len(self._failed) > _MAX_REJECTED:
                del self._failed[next(iter(self._failed))]
            return record.job_id
        state = self._jobs.get(record.job_id)
        if state is not None:
            _apply_change(state, record)
        return record.job_id

    def clear(self) -> None:
        """
        Drop all jobs: the log has dropped records that were not read, which may have
        been of any of them. Then every known job has all its records.
        """
        self._jobs.clear()

    def forget(self, now: float, ended_retention: float, open_retention: float) -> None:
        """
        Drop the jobs and the rejected and failed items whose retention has expired.

        :param now: Monotonic, in seconds.
        :param ended_retention: Maximum age of an ended job, in seconds.
        :param open_retention: Maximum age of any other job, and of a rejected or failed
            item, in seconds.
        """
        for job_id, state in list(self._jobs.items()):
            retention = ended_retention if state.ended else open_retention
            if now - state.first_seen_at > retention:
                del self._jobs[job_id]
        for key, since in list(self._rejected.items()):
            if now - since <= open_retention:
                break
            del self._rejected[key]
        for key, failed in list(self._failed.items()):
            if now - failed.since <= open_retention:
                break
            del self._failed[key]

    def _open(self, job: JobOpened, now: float) -> None:
        if job.job_id in self._jobs:
            # Submitted twice, or appended again after a lost answer.
            return
        self._accepted += 1
        self._jobs[job.job_id] = JobState(job, self._accepted, now)
        newest = max(job.oldest_version, self.oldest_allowed(job.model))
        self._oldest_allowed[job.model] = newest


def _apply_change(
    state: JobState, record: ItemResultRecorded | ItemFailed | ItemCheckpoint | JobEnded
) -> None:
    match record:
        case ItemResultRecorded(result=result):
            if result.item_id not in state.listed:
                state.listed.add(result.item_id)
                state.results.append(result)
                state.kept.pop(result.item_id, None)
        case ItemFailed():
            state.failed.add(record)
        case ItemCheckpoint():
            _extend_checkpoint(state, record)
        case JobEnded():
            state.ended = True
            state.kept.clear()
            # They are read again from the log if a caller asks for one.
            state.items = None


def _extend_checkpoint(state: JobState, record: ItemCheckpoint) -> None:
    """
    Extend an item's checkpoint by events that directly follow its last event.

    Two nodes may run an item concurrently from the same checkpoint. Their events must
    not be mixed even if the numbers fit, so the ids of the runs are compared too. A
    record that starts at the first event replaces a shorter checkpoint.
    """
    before = state.kept.get(record.item_id, CheckpointedText())
    if state.ended or record.item_id in state.listed:
        return
    if record.first == before.count + 1 and record.follows == before.chain:
        new_versions = [v for v in record.versions if v not in before.versions]
        state.kept[record.item_id] = CheckpointedText(
            before.count + record.count,
            (*before.versions, *new_versions),
            record.chain,
            (*before.parts, record.text),
        )
    elif record.first == 1 and record.count > before.count:
        state.kept[record.item_id] = CheckpointedText(
            record.count, record.versions, record.chain, (record.text,)
        )
