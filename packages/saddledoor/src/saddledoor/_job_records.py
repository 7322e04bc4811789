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
    JobEnded,
    JobItem,
    JobOpened,
    JobRecord,
    ScoreCall,
    StoredText,
)
from .exceptions import UndecodableRecordError


__all__ = [
    "decode_events",
    "decode_job_items",
    "decode_job_record",
    "encode_events",
    "encode_job_items",
    "encode_job_record",
]


def encode_job_record(record: JobRecord) -> bytes:
    """
    Return a record's bytes.
    """
    match record:
        case JobOpened():
            route = [record.host, record.path]
            wanted = [record.model, record.step, record.oldest_version]
            fields = [*route, *wanted, record.groups_wanted, record.size]
            return msgpack.packb(["o", record.job_id, *fields, *_place(record.items)])
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


def _opened(*fields) -> JobOpened:
    *head, offsets, size = fields
    return JobOpened(*head, StoredText(tuple(offsets), size))


def _listed(job_id, item_id, done, versions, score, offsets, size) -> ItemListed:
    text = StoredText(tuple(offsets), size)
    return ItemListed(job_id, ItemResult(item_id, done, text, tuple(versions), score))


def _kept(job_id, item_id, first, count, follows, chain, versions, *place) -> ItemKept:
    offsets, size = place
    text = StoredText(tuple(offsets), size)
    made = (chain, tuple(versions))
    return ItemKept(job_id, item_id, first, count, follows, *made, text)


_DECODERS = {
    "o": _opened,
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


def encode_job_items(items: tuple[JobItem, ...]) -> bytes:
    """
    Return the bytes of a job's items.
    """
    return msgpack.packb([_item_fields(item) for item in items])


def decode_job_items(data: bytes) -> tuple[JobItem, ...]:
    """
    Read a job's items.

    :raises UndecodableRecordError: If they are none.
    """
    try:
        return tuple(_item(*fields) for fields in msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"job items: {error!r}") from None


def _item_fields(item: JobItem) -> list:
    score = item.score
    call = score and [score.request_id, score.host, score.path, score.body]
    head = [item.item_id, item.path, [list(pair) for pair in item.headers]]
    return [*head, item.body, item.tokens, item.group, call, item.expected_tokens]


def _item(item_id, path, headers, body, tokens, group, call, expected) -> JobItem:
    pairs = tuple((name, value) for name, value in headers)
    score = ScoreCall(*call) if call else None
    return JobItem(item_id, path, pairs, body, tokens, group, score, expected)
