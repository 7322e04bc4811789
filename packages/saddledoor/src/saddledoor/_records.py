# SPDX-License-Identifier: MIT

"""
Types of the records in the platform's log, and their JSON encoding.
"""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from .exceptions import UndecodableRecordError
from .leases import (
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseSnapshot,
    LeaseSnapshotRequest,
)


__all__ = [
    "BurnTotals",
    "ClaimBatch",
    "ClaimRelease",
    "ConfigProposal",
    "ConfigSnapshot",
    "ConfigVerdict",
    "EngineCrashed",
    "KeyClaim",
    "LeaseClaim",
    "LeaseRelease",
    "LeaseRenewal",
    "PendingProposal",
    "Record",
    "RequestsCleared",
    "StartClaimed",
    "UsageCounted",
    "UsageDecided",
    "decode_record",
    "encode_record",
    "pack_document",
    "unpack_document",
]

#: Largest document after decompression, in bytes.
_MAX_DOCUMENT_BYTES = 8_000_000


@dataclass(frozen=True)
class ConfigProposal:
    """
    A complete deployment file that an operator proposes as the configuration.

    :param record_id: Identifier of the proposal, the same in a repeated append.
    :param base: Offset of the accepted configuration that was edited; -1 for none.
    :param document: Canonical form of the file, packed by `pack_document`.
    """

    record_id: str
    base: int
    document: str
    author: str = ""
    kind: Literal["config_proposal"] = "config_proposal"


@dataclass(frozen=True)
class ConfigVerdict:
    """
    Result of validating a proposal; the first verdict in the log applies.

    :param proposal: Offset of the proposal.
    """

    proposal: int
    valid: bool
    reason: str = ""
    kind: Literal["config_verdict"] = "config_verdict"


@dataclass(frozen=True)
class PendingProposal:
    """
    A proposal that has no verdict yet, with its offset.
    """

    offset: int
    proposal: ConfigProposal


@dataclass(frozen=True)
class ConfigSnapshot:
    """
    State of the configuration fold, for readers of a log that dropped old records.

    :param offset: Offset of the accepted proposal.
    :param folded_to: Offset of the first record that the state does not include.
    :param document: The accepted document, packed by `pack_document`.
    :param pending: Proposals that had no verdict yet.
    """

    offset: int
    folded_to: int
    document: str
    pending: tuple[PendingProposal, ...] = ()
    kind: Literal["config_snapshot"] = "config_snapshot"


@dataclass(frozen=True)
class KeyClaim:
    """
    Claim of one key in a batch.

    :param key: Digest of partner, service and idempotency key.
    :param claim_id: Identifier of the claim.
    :param owner: Incarnation of the VM that would run the request.
    """

    key: str
    claim_id: str
    owner: str


@dataclass(frozen=True)
class ClaimBatch:
    """
    Claims of one group commit; the first claim of a key in the log wins.
    """

    claims: tuple[KeyClaim, ...]
    kind: Literal["claim_batch"] = "claim_batch"


@dataclass(frozen=True)
class ClaimRelease:
    """
    Frees a key; its owner confirms that no request was handed to a service.
    """

    key: str
    claim_id: str
    kind: Literal["claim_release"] = "claim_release"


@dataclass(frozen=True)
class BurnTotals:
    """
    Counters of one process since its start, for the burn report.

    :param every: Interval between the records of the process, in seconds.
    :param totals: Good events and all events by ``objective|subject``.
    :param final: Whether the process exits and counts nothing more.
    """

    incarnation: str
    data_centre: str
    every: float
    totals: dict[str, tuple[int, int]]
    final: bool = False
    kind: Literal["burn_totals"] = "burn_totals"


@dataclass(frozen=True)
class EngineCrashed:
    """
    An engine's process crashed while it ran requests.

    :param started_at: Start of the crashed process, in Unix milliseconds; None if
        unknown.
    :param requests: Requests that it had started shortly before, by `request_key`.
    :param isolated: The request among them that had started in isolation; None if there
        is none. Records of earlier releases lack the field.
    :param late: Whether the isolated request had run for longer than poison requests
        do before they crash an engine. Records of earlier releases lack the field.
    """

    engine: str
    started_at: int | None
    requests: tuple[str, ...]
    isolated: str | None = None
    late: bool = False
    kind: Literal["engine_ended"] = "engine_ended"


@dataclass(frozen=True)
class RequestsCleared:
    """
    Requests that engines have run without a crash.

    :param requests: The requests by `request_key`.
    :param unproved_only: Whether quarantines stay in force: the requests have not run,
        but their job has ended. Records of earlier releases lack the field.
    """

    requests: tuple[str, ...]
    unproved_only: bool = False
    kind: Literal["requests_cleared"] = "requests_cleared"


@dataclass(frozen=True)
class StartClaimed:
    """
    A node's claim to be the only one to start a request that may crash engines.

    :param request: The request by `request_key`.
    :param after: The newest claim of the request that the node had read; empty if there
        was none. The claim is void if a newer one stands before it in the log.
    """

    request: str
    claim_id: str
    after: str
    kind: Literal["start_claimed"] = "start_claimed"


@dataclass(frozen=True)
class UsageCounted:
    """
    Requests counted by one process: those that an engine began to run in a time window.

    :param source: Identifier of the process.
    :param window: Number of the window.
    :param counts: Totals of the window so far by workspace; a missing workspace has
        not changed.
    :param whole: Whether the process will count nothing more in the window.
    :param written_in: Window in which the record was written. Records of earlier
        releases lack the field.
    """

    source: str
    window: int
    counts: dict[str, int]
    whole: bool = False
    written_in: int | None = None
    kind: Literal["usage_counted"] = "usage_counted"


@dataclass(frozen=True)
class UsageDecided:
    """
    Reported usage of a time window; the first such record of a window applies.

    :param window: Number of the window.
    :param counts: Requests by workspace.
    """

    window: int
    counts: dict[str, int]
    kind: Literal["usage_decided"] = "usage_decided"


Record = (
    BurnTotals
    | ConfigProposal
    | ConfigVerdict
    | ConfigSnapshot
    | LeaseClaim
    | LeaseRenewal
    | LeaseRelease
    | LeaseSnapshot
    | LeaseSnapshotRequest
    | ClaimBatch
    | ClaimRelease
    | EngineCrashed
    | RequestsCleared
    | StartClaimed
    | UsageCounted
    | UsageDecided
)

_ADAPTER: TypeAdapter[Record] = TypeAdapter(
    Annotated[Record, Field(discriminator="kind")]
)


def encode_record(record: Record) -> str:
    """
    Encode a record as JSON.
    """
    return _ADAPTER.dump_json(record).decode()


def decode_record(text: str | bytes) -> Record:
    """
    Decode a record.

    :raises UndecodableRecordError: If the text is not a valid record of a known type.
    """
    try:
        return _ADAPTER.validate_json(text)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        raise UndecodableRecordError(f"{first['loc']}: {first['msg']}") from None


def pack_document(data: bytes) -> str:
    """
    Compress a document for use in a record.
    """
    return base64.b85encode(zlib.compress(data, 9)).decode()


def unpack_document(text: str) -> bytes:
    """
    Decompress a document that `pack_document` compressed.

    :raises UndecodableRecordError: If the text is not a packed document or too large.
    """
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(base64.b85decode(text), _MAX_DOCUMENT_BYTES)
    except (ValueError, zlib.error) as error:
        raise UndecodableRecordError(f"document: {error}") from None
    if not unpacker.eof:
        raise UndecodableRecordError("document: truncated or too large")
    return data
