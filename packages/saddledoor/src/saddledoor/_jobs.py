# SPDX-License-Identifier: MIT

"""
Batch jobs and the records that the log holds of them.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = [
    "ItemFailed",
    "ItemCheckpoint",
    "ItemResultRecorded",
    "ItemResult",
    "Job",
    "JobEnded",
    "JobItem",
    "JobOpened",
    "JobRecord",
    "ScoreCall",
    "StoredText",
]


@dataclass(frozen=True)
class ScoreCall:
    """
    The request that scores a finished text.

    :param request_id: The caller's name for it; it may be repeated.
    """

    request_id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True)
class JobItem:
    """
    A generation that a job asks for.

    :param headers: Passed on to the engine as they are.
    :param tokens: Prompt and longest answer together, a count.
    :param group: Items of one group share their prompt; empty without groups.
    :param expected_tokens: The trainer's guess of the answer's length, a count; often
        far off, right at the median; 0 without one.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str = ""
    score: ScoreCall | None = None
    expected_tokens: int = 0


@dataclass(frozen=True)
class Job:
    """
    Generations that a trainer submits at once.

    :param oldest_version: Oldest weight version that may make a token.
    :param groups_wanted: Whole groups that the trainer waits for, a count.
    :param workspace: Whose it is; empty if it was taken without a key, none if there
        were no workspaces.
    """

    job_id: str
    host: str
    path: str
    model: str
    step: int
    oldest_version: int
    groups_wanted: int
    items: tuple[JobItem, ...]
    workspace: str | None = None


@dataclass(frozen=True)
class StoredText:
    """
    Where a text is, apart from the records that every node reads.

    :param offsets: Its records in the stream of texts, in order.
    :param size: Of all of them, in bytes.
    """

    offsets: tuple[int, ...] = ()
    size: int = 0


@dataclass(frozen=True)
class ItemResult:
    """
    What a reader gets for an item.

    :param done: False if the item was given up; then the rest is empty.
    :param versions: Every weight version that made an event of the text.
    :param score: The mark of the scoring call's answer.
    """

    item_id: str
    done: bool
    text: StoredText = StoredText()
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True)
class JobOpened:
    """
    A job is accepted.

    Every node reads this, so its items stand apart: 136 items with bodies of 500 bytes
    take 73 KB, and 195 nodes would read them at once, at 80 MB a second for all
    together. In a play with 195 nodes no read was answered for 0.5 s after two jobs.

    :param size: Of its items, a count.
    :param items: Where they are, as `encode_job_items` gives them.
    :param workspace: Whose job it is, as in `Job`.
    """

    job_id: str
    host: str
    path: str
    model: str
    step: int
    oldest_version: int
    groups_wanted: int
    size: int
    items: StoredText
    workspace: str | None = None

    @classmethod
    def of(cls, job: Job, items: StoredText) -> JobOpened:
        """
        Open a job whose items have been stored.
        """
        return cls(
            job.job_id,
            job.host,
            job.path,
            job.model,
            job.step,
            job.oldest_version,
            job.groups_wanted,
            len(job.items),
            items,
            job.workspace,
        )

    @property
    def series(self) -> str:
        """
        Names the jobs of one trainer, which one node runs as long as it lives: it knows
        exactly what they have in flight, and keeps its connections to the engines.
        """
        return f"{self.host}/{self.model}"

    def may_be_seen_by(self, workspace: str | None) -> bool:
        """
        Return whether a caller may ask for the job, by the workspace of its key.

        Jobs of no workspace are anybody's, as they were before there were any.
        """
        return not self.workspace or workspace in (None, self.workspace)


@dataclass(frozen=True)
class ItemResultRecorded:
    """
    An item's result.
    """

    job_id: str
    result: ItemResult


@dataclass(frozen=True)
class ItemFailed:
    """
    An engine answered that it failed on an item.

    :param failure_id: Names this answer: an append may be done twice.
    :param scoring: Whether it was the scoring call.
    """

    job_id: str
    item_id: str
    failure_id: str
    scoring: bool = False


@dataclass(frozen=True)
class ItemCheckpoint:
    """
    Events that the next node to run an item may go on from.

    :param first: Number of the first of them.
    :param count: Of the events.
    :param follows: The chain that the event before them belongs to.
    :param chain: Names the run that made them.
    :param versions: Weight versions that made any of the text so far.
    :param text: The events as `encode_events` gives them.
    """

    job_id: str
    item_id: str
    first: int
    count: int
    follows: str
    chain: str
    versions: tuple[int, ...]
    text: StoredText


@dataclass(frozen=True)
class JobEnded:
    """
    The trainer has ended the job; nothing of it runs any more.
    """

    job_id: str


JobRecord = JobOpened | ItemResultRecorded | ItemFailed | ItemCheckpoint | JobEnded
