# SPDX-License-Identifier: MIT

"""
Batch jobs and their log records.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = [
    "ItemFailed",
    "ItemCheckpoint",
    "ItemRejected",
    "FailureCounted",
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

    :param request_id: Id given by the caller; the request may be repeated with it.
    """

    request_id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True)
class JobItem:
    """
    One generation of a job.

    :param headers: Passed on to the engine unchanged.
    :param tokens: Tokens of the prompt and of the longest allowed answer together.
    :param group: Group of items that share a prompt; empty without groups.
    :param score: Request that scores the text; none if it is not scored.
    :param expected_tokens: The trainer's estimate of the answer's length, in tokens;
        accurate only as a median over many items; 0 if there is none.
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
    Generations that a trainer submits together.

    :param oldest_version: Oldest weight version that may make a token.
    :param groups_wanted: Number of complete groups that the trainer waits for.
    :param workspace: Workspace that owns the job; empty if it was accepted without a
        key, none if no workspaces were configured.
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
    Location of a text in the stream of texts, which nodes read only on demand.

    :param offsets: Offsets of its records in the stream, in order.
    :param size: Total size of these records, in bytes.
    :param regions: Regions whose stream holds the records, sorted; none if the stream
        of all regions does.
    """

    offsets: tuple[int, ...] = ()
    size: int = 0
    regions: tuple[str, ...] | None = None


@dataclass(frozen=True)
class ItemResult:
    """
    The result of an item, as callers read it.

    :param done: False if the item was given up; the following fields are empty then.
    :param versions: Every weight version that made an event of the text.
    :param score: The score in the scoring call's answer.
    """

    item_id: str
    done: bool
    text: StoredText = StoredText()
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True)
class JobOpened:
    """
    Record of an accepted job.

    Every node reads this record, so the items, which are large, are stored apart.

    :param size: Number of items.
    :param items: Location of the items in the form of `encode_job_items`.
    :param workspace: Workspace that owns the job, as in `Job`.
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
        Return the record of a job whose items have been stored.
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
        Key that the jobs of one trainer share.

        One node runs all jobs of a series, so it knows exactly what they have in flight
        and reuses its connections to the engines.
        """
        return f"{self.host}/{self.model}"

    def may_be_seen_by(self, workspace: str | None) -> bool:
        """
        Return whether a caller with a key of this workspace may read the job.

        A job without a workspace may be read by every caller.

        :param workspace: Workspace of the caller's key; none if no workspaces are
            configured.
        """
        return not self.workspace or workspace in (None, self.workspace)


@dataclass(frozen=True)
class ItemResultRecorded:
    """
    Record of an item's result.
    """

    job_id: str
    result: ItemResult


@dataclass(frozen=True)
class ItemFailed:
    """
    Record of a failed run, or a failed scoring call, of an item.

    :param failure_id: Id of this failure, so that a repeated append counts once.
    :param scoring: Whether the scoring call failed.
    """

    job_id: str
    item_id: str
    failure_id: str
    scoring: bool = False


@dataclass(frozen=True)
class ItemRejected:
    """
    Record that an engine answered that an item can never be done.

    Such an item is given up in later jobs without another attempt. A release without
    this record skips it.

    :param key: The item by `request_key`, which covers its id and its body.
    """

    job_id: str
    key: str


@dataclass(frozen=True)
class FailureCounted:
    """
    Record of an answer that counts as a failed attempt of an item or of its scoring
    call, also in later jobs with the same item.

    A release without this record skips it, and counts the failures of each job alone.

    :param key: The item or the scoring call by `request_key`.
    :param failure_id: Unique id of the failure.
    """

    job_id: str
    key: str
    failure_id: str


@dataclass(frozen=True)
class ItemCheckpoint:
    """
    Checkpoint of an unfinished item, from which another node may resume.

    :param first: Number of the first event in this record.
    :param count: Number of events in this record.
    :param follows: Id of the run that made the event before the first one of this
        record; empty if there is none.
    :param chain: Id of the run that made the last event, as in `TextSegment`.
    :param versions: Weight versions that made any part of the text so far.
    :param text: Location of the events in the form of `encode_events`.
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
    Record that the trainer has ended the job; its items stop running.
    """

    job_id: str


JobRecord = (
    JobOpened
    | ItemResultRecorded
    | ItemFailed
    | ItemRejected
    | FailureCounted
    | ItemCheckpoint
    | JobEnded
)
