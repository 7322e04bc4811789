# SPDX-License-Identifier: MIT

"""
Batch jobs as a fold over the log: every node that reads it gives the same answers.

The log's order decides everything a reader can see. An item's first result record
makes its position; any later one, by whichever node, changes nothing. So a node that
wrongly believes it still runs a job can do no harm by what it appends.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ._jobs import (
    ItemCheckpoint,
    ItemFailed,
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobItem,
    JobOpened,
    JobRecord,
    StoredText,
)


__all__ = ["JobFold", "JobState", "CheckpointedText"]


@dataclass(frozen=True)
class CheckpointedText:
    """
    What the log holds of a text whose run was given up.

    :param count: Of the events, from the first one on without gaps.
    :param versions: Weight versions that made them, in order of appearance.
    :param chain: Names the run of the last of them; empty for no events.
    :param parts: Their texts, in order.
    """

    count: int = 0
    versions: tuple[int, ...] = ()
    chain: str = ""
    parts: tuple[StoredText, ...] = ()


@dataclass
class JobState:
    """
    A job and what the log says of it.

    :param first_seen_at: When this process learnt of it, monotonic, in seconds; the job
        is at least as old as that says.
    :param items: By id, in the job's order; none before this node has read them.
    :param results: In the order of their positions.
    """

    job: JobOpened
    order: int
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
        Whether something is left to run.
        """
        return not self.ended and len(self.listed) < self.job.size

    def failures(self, item_id: str) -> int:
        """
        Return how many runs of an item have failed, a count.
        """
        return self._count(item_id, scoring=False)

    def score_failures(self, item_id: str) -> int:
        """
        Return how many scoring calls of an item have failed, a count.
        """
        return self._count(item_id, scoring=True)

    def _count(self, item_id: str, scoring: bool) -> int:
        return sum(f.item_id == item_id and f.scoring == scoring for f in self.failed)

    def items_without_result(self) -> Iterator[JobItem]:
        """
        Return the items that have no result, in the order of the job; none before this
        node has read them.
        """
        items = self.items or {}
        return (item for name, item in items.items() if name not in self.listed)


class JobFold:
    """
    All jobs, folded from the log's records.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, JobState] = {}
        self._accepted = 0
        self._oldest_allowed: dict[str, int] = {}

    def get(self, job_id: str) -> JobState | None:
        """
        Return a job, or none if the log holds none of that name.
        """
        return self._jobs.get(job_id)

    def open_jobs(self) -> list[JobState]:
        """
        Return the jobs that have something to run, oldest first.
        """
        return [state for state in self._jobs.values() if state.is_open]

    def oldest_allowed(self, model: str) -> int:
        """
        Return the oldest weight version that the newest job of a model allows.
        """
        return self._oldest_allowed.get(model, 0)

    def apply(self, record: JobRecord, now: float = 0.0) -> str:
        """
        Fold one record.

        :param now: Monotonic, in seconds; only for the ages of jobs.
        :returns: The job it belongs to.
        """
        if isinstance(record, JobOpened):
            self._open(record, now)
            return record.job_id
        state = self._jobs.get(record.job_id)
        if state is not None:
            _apply_change(state, record)
        return record.job_id

    def forget(self, now: float, ended_for: float, open_for: float) -> None:
        """
        Drop the jobs that nobody may ask for any more.

        :param now: Monotonic, in seconds.
        :param ended_for: Age up to which an ended job is kept, in seconds.
        :param open_for: Age up to which any job is kept, in seconds.
        """
        for job_id, state in list(self._jobs.items()):
            keep = ended_for if state.ended else open_for
            if now - state.first_seen_at > keep:
                del self._jobs[job_id]

    def _open(self, job: JobOpened, now: float) -> None:
        if job.job_id in self._jobs:
            # Submitted twice, or its append had lost its answer.
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
            _keep(state, record)
        case JobEnded():
            state.ended = True
            state.kept.clear()


def _keep(state: JobState, record: ItemCheckpoint) -> None:
    """
    Add events that go on exactly where the kept ones end, in the same chain.

    Two nodes may run an item at once, from the same kept events: what the second one
    appends must not be joined to what the first one has, even where the numbers fit.
    A whole text that is longer takes the place of what was kept.
    """
    before = state.kept.get(record.item_id, CheckpointedText())
    if state.ended or record.item_id in state.listed:
        return
    if record.first == before.count + 1 and record.follows == before.chain:
        new = [v for v in record.versions if v not in before.versions]
        state.kept[record.item_id] = CheckpointedText(
            before.count + record.count,
            (*before.versions, *new),
            record.chain,
            (*before.parts, record.text),
        )
    elif record.first == 1 and record.count > before.count:
        state.kept[record.item_id] = CheckpointedText(
            record.count, record.versions, record.chain, (record.text,)
        )
