# SPDX-License-Identifier: MIT

"""
Binary encoding of job records: msgpack arrays that start with a one-letter type tag.
"""

from __future__ import annotations

import msgpack

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
    Encode a record.
    """
    match record:
        case JobOpened():
            route = [record.host, record.path]
            requirements = [record.model, record.step, record.oldest_version]
            fields = [*route, *requirements, record.groups_wanted, record.size]
            location = _encode_location(record.items)
            owner = [record.workspace]
            if record.workspace is None and record.items.regions is None:
                owner = []
            # The regions, which end the location, come after the workspace: records of
            # older releases end with the workspace.
            return msgpack.packb(
                ["o", record.job_id, *fields, *location[:2], *owner, *location[2:]]
            )
        case ItemResultRecorded(result=result):
            fields = [result.item_id, result.done, list(result.versions), result.score]
            return msgpack.packb(
                ["r", record.job_id, *fields, *_encode_location(result.text)]
            )
        case ItemFailed():
            fields = [record.item_id, record.failure_id, record.scoring]
            return msgpack.packb(["f", record.job_id, *fields])
        case ItemRejected():
            return msgpack.packb(["x", record.job_id, record.key])
        case FailureCounted():
            return msgpack.packb(["c", record.job_id, record.key, record.failure_id])
        case ItemCheckpoint():
            fields = [record.item_id, record.first, record.count, record.follows]
            provenance = [record.chain, list(record.versions)]
            location = _encode_location(record.text)
            return msgpack.packb(["k", record.job_id, *fields, *provenance, *location])
        case JobEnded():
            return msgpack.packb(["e", record.job_id])


def decode_job_record(data: bytes) -> JobRecord:
    """
    Decode a record and check the type of each field: a folded record cannot be undone.

    :raises UndecodableRecordError: If the data is not a valid record of a known type.
    """
    try:
        kind, job_id, *fields = msgpack.unpackb(data)
        return _DECODERS[kind](job_id, *fields)
    except (ValueError, KeyError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"job record: {error!r}") from None


def _encode_location(text: StoredText) -> list:
    regions = [] if text.regions is None else [list(text.regions)]
    return [list(text.offsets), text.size, *regions]


def _require_str(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, not {type(value).__name__}")
    return value


def _require_int(value: object) -> int:
    # bool is a subclass of int.
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"expected a non-negative integer, not {type(value).__name__}")
    return value


def _require_bool(value: object) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected a boolean, not {type(value).__name__}")
    return value


def _require_bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, not {type(value).__name__}")
    return value


def _require_list(value: object) -> list:
    if not isinstance(value, list):
        raise TypeError(f"expected a list, not {type(value).__name__}")
    return value


def _require_ints(value: object) -> tuple[int, ...]:
    return tuple(_require_int(number) for number in _require_list(value))


def _decode_stored_text(
    offsets: object, size: object, regions: object = None
) -> StoredText:
    """
    Return a location; a record of a release without regions has none.
    """
    names = None
    if regions is not None:
        names = tuple(_require_str(name) for name in _require_list(regions))
    return StoredText(_require_ints(offsets), _require_int(size), names)


def _decode_opened(job_id, host, path, model, *fields) -> JobOpened:
    (
        step,
        oldest_version,
        groups_wanted,
        size,
        offsets,
        bytes_stored,
        *optional,
    ) = fields
    workspace, *regions = optional or [None]
    return JobOpened(
        _require_str(job_id),
        _require_str(host),
        _require_str(path),
        _require_str(model),
        _require_int(step),
        _require_int(oldest_version),
        _require_int(groups_wanted),
        _require_int(size),
        _decode_stored_text(offsets, bytes_stored, *regions),
        _decode_workspace(workspace),
    )


def _decode_workspace(workspace: object) -> str | None:
    """
    Return a job's workspace, or None in a record of a release without the field.
    """
    return None if workspace is None else _require_str(workspace)


def _decode_result(
    job_id, item_id, done, versions, score, *location
) -> ItemResultRecorded:
    result = ItemResult(
        _require_str(item_id),
        _require_bool(done),
        _decode_stored_text(*location),
        _require_ints(versions),
        _require_str(score),
    )
    return ItemResultRecorded(_require_str(job_id), result)


def _decode_failed(job_id, item_id, failure_id, scoring) -> ItemFailed:
    return ItemFailed(
        _require_str(job_id),
        _require_str(item_id),
        _require_str(failure_id),
        _require_bool(scoring),
    )


def _decode_rejected(job_id, key) -> ItemRejected:
    return ItemRejected(_require_str(job_id), _require_str(key))


def _decode_failure_counted(job_id, key, failure_id) -> FailureCounted:
    return FailureCounted(
        _require_str(job_id), _require_str(key), _require_str(failure_id)
    )


def _decode_checkpoint(
    job_id, item_id, first, count, follows, chain, versions, *location
) -> ItemCheckpoint:
    return ItemCheckpoint(
        _require_str(job_id),
        _require_str(item_id),
        _require_int(first),
        _require_int(count),
        _require_str(follows),
        _require_str(chain),
        _require_ints(versions),
        _decode_stored_text(*location),
    )


def _decode_ended(job_id) -> JobEnded:
    return JobEnded(_require_str(job_id))


_DECODERS = {
    "o": _decode_opened,
    "r": _decode_result,
    "f": _decode_failed,
    "x": _decode_rejected,
    "c": _decode_failure_counted,
    "k": _decode_checkpoint,
    "e": _decode_ended,
}


def encode_events(events: tuple[str, ...]) -> bytes:
    """
    Encode the events of a persisted part of a text.
    """
    return msgpack.packb(list(events))


def decode_events(data: bytes) -> tuple[str, ...]:
    """
    Decode the events of a persisted part of a text.

    :raises UndecodableRecordError: If the data is not a list of strings.
    """
    try:
        return tuple(
            _require_str(event) for event in _require_list(msgpack.unpackb(data))
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"checkpointed events: {error!r}") from None


def encode_job_items(items: tuple[JobItem, ...]) -> bytes:
    """
    Encode a job's items.
    """
    return msgpack.packb([_encode_item(item) for item in items])


def decode_job_items(data: bytes) -> tuple[JobItem, ...]:
    """
    Decode a job's items.

    :raises UndecodableRecordError: If the data is not a list of valid items.
    """
    try:
        return tuple(
            _decode_item(*fields) for fields in _require_list(msgpack.unpackb(data))
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise UndecodableRecordError(f"job items: {error!r}") from None


def _encode_item(item: JobItem) -> list:
    score = item.score
    call = score and [score.request_id, score.host, score.path, score.body]
    head = [item.item_id, item.path, [list(pair) for pair in item.headers]]
    return [*head, item.body, item.tokens, item.group, call, item.expected_tokens]


def _decode_item(
    item_id, path, headers, body, tokens, group, call, expected
) -> JobItem:
    return JobItem(
        _require_str(item_id),
        _require_str(path),
        tuple(
            (_require_str(name), _require_str(value))
            for name, value in _require_list(headers)
        ),
        _require_bytes(body),
        _require_int(tokens),
        _require_str(group),
        None if call is None else _decode_score_call(*_require_list(call)),
        _require_int(expected),
    )


def _decode_score_call(request_id, host, path, body) -> ScoreCall:
    return ScoreCall(
        _require_str(request_id),
        _require_str(host),
        _require_str(path),
        _require_bytes(body),
    )
