# SPDX-License-Identifier: MIT

"""
The byte form of job records: msgpack arrays, a letter for the type first.
"""

from __future__ import annotations

import msgpack

from ._jobs import (
    ItemCheckpoint,
    ItemFailed,
    ItemResult,
    ItemResultRecorded,
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
            place = _place(record.items)
            owner = [] if record.workspace is None else [record.workspace]
            return msgpack.packb(["o", record.job_id, *fields, *place, *owner])
        case ItemResultRecorded(result=result):
            fields = [result.item_id, result.done, list(result.versions), result.score]
            return msgpack.packb(["r", record.job_id, *fields, *_place(result.text)])
        case ItemFailed():
            fields = [record.item_id, record.failure_id, record.scoring]
            return msgpack.packb(["f", record.job_id, *fields])
        case ItemCheckpoint():
            fields = [record.item_id, record.first, record.count, record.follows]
            made = [record.chain, list(record.versions)]
            place = _place(record.text)
            return msgpack.packb(["k", record.job_id, *fields, *made, *place])
        case JobEnded():
            return msgpack.packb(["e", record.job_id])


def decode_job_record(data: bytes) -> JobRecord:
    """
    Read a record; each field is checked, since what is folded cannot be taken back.

    :raises UndecodableRecordError: If it is none of the known types.
    """
    try:
        kind, job_id, *fields = msgpack.unpackb(data)
        return _DECODERS[kind](job_id, *fields)
    except (ValueError, KeyError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"job record: {error!r}") from None


def _place(text: StoredText) -> list:
    return [list(text.offsets), text.size]


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a text is needed, not {type(value).__name__}")
    return value


def _whole(value: object) -> int:
    # For Python a boolean is a whole number.
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"a whole number is needed, not {type(value).__name__}")
    return value


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"true or false is needed, not {type(value).__name__}")
    return value


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"bytes are needed, not {type(value).__name__}")
    return value


def _array(value: object) -> list:
    if not isinstance(value, list):
        raise TypeError(f"a list is needed, not {type(value).__name__}")
    return value


def _wholes(value: object) -> tuple[int, ...]:
    return tuple(_whole(number) for number in _array(value))


def _stored(offsets: object, size: object) -> StoredText:
    return StoredText(_wholes(offsets), _whole(size))


def _opened(job_id, host, path, model, *fields) -> JobOpened:
    step, oldest_version, groups_wanted, size, offsets, bytes_stored, *owner = fields
    return JobOpened(
        _text(job_id),
        _text(host),
        _text(path),
        _text(model),
        _whole(step),
        _whole(oldest_version),
        _whole(groups_wanted),
        _whole(size),
        _stored(offsets, bytes_stored),
        _owner(*owner),
    )


def _owner(workspace: object = None) -> str | None:
    """
    Return a job's workspace, none in the records of writers that knew of none.
    """
    return None if workspace is None else _text(workspace)


def _listed(job_id, item_id, done, versions, score, *place) -> ItemResultRecorded:
    result = ItemResult(
        _text(item_id), _flag(done), _stored(*place), _wholes(versions), _text(score)
    )
    return ItemResultRecorded(_text(job_id), result)


def _failed(job_id, item_id, failure_id, scoring) -> ItemFailed:
    return ItemFailed(_text(job_id), _text(item_id), _text(failure_id), _flag(scoring))


def _kept(
    job_id, item_id, first, count, follows, chain, versions, *place
) -> ItemCheckpoint:
    return ItemCheckpoint(
        _text(job_id),
        _text(item_id),
        _whole(first),
        _whole(count),
        _text(follows),
        _text(chain),
        _wholes(versions),
        _stored(*place),
    )


def _ended(job_id) -> JobEnded:
    return JobEnded(_text(job_id))


_DECODERS = {
    "o": _opened,
    "r": _listed,
    "f": _failed,
    "k": _kept,
    "e": _ended,
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
        return tuple(_text(event) for event in _array(msgpack.unpackb(data)))
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
        return tuple(_item(*fields) for fields in _array(msgpack.unpackb(data)))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"job items: {error!r}") from None


def _item_fields(item: JobItem) -> list:
    score = item.score
    call = score and [score.request_id, score.host, score.path, score.body]
    head = [item.item_id, item.path, [list(pair) for pair in item.headers]]
    return [*head, item.body, item.tokens, item.group, call, item.expected_tokens]


def _item(item_id, path, headers, body, tokens, group, call, expected) -> JobItem:
    return JobItem(
        _text(item_id),
        _text(path),
        tuple((_text(name), _text(value)) for name, value in _array(headers)),
        _bytes(body),
        _whole(tokens),
        _text(group),
        None if call is None else _score_call(*_array(call)),
        _whole(expected),
    )


def _score_call(request_id, host, path, body) -> ScoreCall:
    return ScoreCall(_text(request_id), _text(host), _text(path), _bytes(body))
