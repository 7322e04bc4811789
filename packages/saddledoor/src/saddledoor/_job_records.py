# SPDX-License-Identifier: MIT

"""
The byte form of job records: msgpack arrays, a letter for the type first.
"""

from __future__ import annotations

import msgpack

from ._jobs import (
    ItemFailed,
    ItemKept,
    ItemListed,
    ItemResult,
    Job,
    JobChunk,
    JobEnded,
    JobItem,
    JobRecord,
    ScoreCall,
    StoredText,
)
from .exceptions import UndecodableRecordError


__all__ = [
    "decode_events",
    "decode_job",
    "decode_job_record",
    "encode_events",
    "encode_job_record",
    "job_chunks",
]


def encode_job_record(record: JobRecord) -> bytes:
    """
    Return a record's bytes.
    """
    match record:
        case JobChunk():
            fields = [record.writer, record.index, record.count, record.data]
            return msgpack.packb(["c", record.job_id, *fields])
        case ItemListed(result=result):
            fields = [result.item_id, result.done, list(result.versions), result.score]
            return msgpack.packb(["r", record.job_id, *fields, *_place(result.text)])
        case ItemFailed():
            fields = [record.item_id, record.failure_id, record.scoring]
            return msgpack.packb(["f", record.job_id, *fields])
        case ItemKept():
            fields = [record.item_id, record.first, record.count, record.follows]
            made = [record.chain, list(record.versions)]
            place = _place(record.text)
            return msgpack.packb(["k", record.job_id, *fields, *made, *place])
        case JobEnded():
            return msgpack.packb(["e", record.job_id])


def decode_job_record(data: bytes) -> JobRecord:
    """
    Read a record.

    :raises UndecodableRecordError: If it is none of the known types.
    """
    try:
        kind, job_id, *fields = msgpack.unpackb(data)
        return _DECODERS[kind](job_id, *fields)
    except (ValueError, KeyError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"job record: {error!r}") from None


def _place(text: StoredText) -> list:
    return [list(text.offsets), text.size]


def _listed(job_id, item_id, done, versions, score, offsets, size) -> ItemListed:
    text = StoredText(tuple(offsets), size)
    return ItemListed(job_id, ItemResult(item_id, done, text, tuple(versions), score))


def _kept(job_id, item_id, first, count, follows, chain, versions, *place) -> ItemKept:
    offsets, size = place
    text = StoredText(tuple(offsets), size)
    made = (chain, tuple(versions))
    return ItemKept(job_id, item_id, first, count, follows, *made, text)


_DECODERS = {
    "c": JobChunk,
    "r": _listed,
    "f": ItemFailed,
    "k": _kept,
    "e": JobEnded,
}


def encode_events(events: tuple[str, ...]) -> bytes:
    """
    Return the bytes of a kept part of a text.
    """
    return msgpack.packb(list(events))


def decode_events(data: bytes) -> tuple[str, ...]:
    """
    Read a kept part of a text.

    :raises UndecodableRecordError: If it is none.
    """
    try:
        return tuple(str(event) for event in msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"kept events: {error!r}") from None


def job_chunks(job: Job, writer: str, chunk_bytes: int) -> list[JobChunk]:
    """
    Cut a job into records that the log takes.

    :param writer: Names this append.
    :param chunk_bytes: Largest piece, in bytes.
    """
    data = _encode_job(job)
    pieces = [data[i : i + chunk_bytes] for i in range(0, len(data), chunk_bytes)]
    return [
        JobChunk(job.job_id, writer, index, len(pieces), piece)
        for index, piece in enumerate(pieces)
    ]


def _encode_job(job: Job) -> bytes:
    head = [job.job_id, job.host, job.path, job.model, job.step, job.oldest_version]
    items = [_item_fields(item) for item in job.items]
    return msgpack.packb([*head, job.groups_wanted, items])


def _item_fields(item: JobItem) -> list:
    score = item.score
    call = score and [score.request_id, score.host, score.path, score.body]
    head = [item.item_id, item.path, [list(pair) for pair in item.headers]]
    return [*head, item.body, item.tokens, item.group, call, item.expected_tokens]


def decode_job(data: bytes) -> Job:
    """
    Read a job that was put together from its pieces.

    :raises ValueError: If it is not one.
    """
    try:
        *head, items = msgpack.unpackb(data)
        return Job(*head, tuple(_item(*fields) for fields in items))
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"job: {error!r}") from None


def _item(item_id, path, headers, body, tokens, group, call, expected) -> JobItem:
    pairs = tuple((name, value) for name, value in headers)
    score = ScoreCall(*call) if call else None
    return JobItem(item_id, path, pairs, body, tokens, group, score, expected)
