# SPDX-License-Identifier: MIT

"""
Records of the platform's log: their types and their JSON form.
"""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from .exceptions import UndecodableRecordError


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
    "UsageCounted",
    "UsageDecided",
    "decode_record",
    "encode_record",
    "pack_document",
    "unpack_document",
]

#: Largest document in a record after unpacking, in bytes.
_MAX_UNPACKED = 8_000_000


@dataclass(frozen=True)
class ConfigProposal:
    """
    A whole deployment file that an operator asks to put in force.

    :param record_id: Names this publication across appends whose answer was lost.
    :param base: Offset of the accepted configuration it was edited from; -1 for none.
    :param document: The packed canonical file.
    """

    record_id: str
    base: int
    document: str
    author: str = ""
    kind: Literal["config_proposal"] = "config_proposal"


@dataclass(frozen=True)
class ConfigVerdict:
    """
    Whether a proposal is valid; the first verdict in the log decides for all.
    """

    proposal: int
    valid: bool
    reason: str = ""
    kind: Literal["config_verdict"] = "config_verdict"


@dataclass(frozen=True)
class PendingProposal:
    """
    A proposal without a verdict yet, and its offset.
    """

    offset: int
    proposal: ConfigProposal


@dataclass(frozen=True)
class ConfigSnapshot:
    """
    The whole state of the fold again, before the log drops what it came from.

    :param offset: The offset under which the configuration was accepted.
    :param folded_to: The writer had folded every record below this offset.
    :param pending: What had no verdict there.
    """

    offset: int
    folded_to: int
    document: str
    pending: tuple[PendingProposal, ...] = ()
    kind: Literal["config_snapshot"] = "config_snapshot"


@dataclass(frozen=True)
class LeaseClaim:
    """
    A try to take a lease.

    :param seen: Offset of the newest claim or renewal that the taker saw; -1 for none.
    """

    record_id: str
    name: str
    holder: str
    seen: int
    kind: Literal["lease_claim"] = "lease_claim"


@dataclass(frozen=True)
class LeaseRenewal:
    """
    The holder with this fencing number goes on.
    """

    name: str
    fence: int
    kind: Literal["lease_renewal"] = "lease_renewal"


@dataclass(frozen=True)
class LeaseRelease:
    """
    The holder with this fencing number gives the lease up.
    """

    name: str
    fence: int
    kind: Literal["lease_release"] = "lease_release"


@dataclass(frozen=True)
class KeyClaim:
    """
    One key in a batch.

    :param key: Digest of partner, service and the caller's key.
    :param claim_id: Names the attempt that would run it.
    :param owner: Incarnation of the VM that would run it.
    """

    key: str
    claim_id: str
    owner: str


@dataclass(frozen=True)
class ClaimBatch:
    """
    Keys that are claimed by one group commit; the first claim of a key wins.
    """

    claims: tuple[KeyClaim, ...]
    kind: Literal["claim_batch"] = "claim_batch"


@dataclass(frozen=True)
class ClaimRelease:
    """
    The winner of a claim vouches that nothing was handed over; the key is free.
    """

    key: str
    claim_id: str
    kind: Literal["claim_release"] = "claim_release"


@dataclass(frozen=True)
class BurnTotals:
    """
    What one process has counted since it began, for the burn report.

    :param every: How often it writes such a record, in seconds.
    :param totals: Good and all events by ``objective|subject``.
    :param final: Whether the process ends now, with nothing left to count.
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
    An engine's process ended while it ran requests.

    :param started_at: Of the life that ended, in Unix milliseconds; none if unknown.
    :param requests: That it had begun to run just before, by `request_key`.
    """

    engine: str
    started_at: int | None
    requests: tuple[str, ...]
    kind: Literal["engine_ended"] = "engine_ended"


@dataclass(frozen=True)
class RequestsCleared:
    """
    Engines have run these requests, by `request_key`, and gone on.
    """

    requests: tuple[str, ...]
    kind: Literal["requests_cleared"] = "requests_cleared"


@dataclass(frozen=True)
class UsageCounted:
    """
    Requests that one process saw begin in a window of time.

    :param source: Names the process.
    :param window: Number of the window.
    :param counts: By workspace, of the whole window so far; workspaces that are not
        named have not changed.
    :param whole: Whether the process will count nothing more in the window.
    """

    source: str
    window: int
    counts: dict[str, int]
    whole: bool = False
    kind: Literal["usage_counted"] = "usage_counted"


@dataclass(frozen=True)
class UsageDecided:
    """
    What is reported of a window; the first such record of a window counts.
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
    | ClaimBatch
    | ClaimRelease
    | EngineCrashed
    | RequestsCleared
    | UsageCounted
    | UsageDecided
)

_ADAPTER: TypeAdapter[Record] = TypeAdapter(
    Annotated[Record, Field(discriminator="kind")]
)


def encode_record(record: Record) -> str:
    """
    Return the record as JSON text.
    """
    return _ADAPTER.dump_json(record).decode()


def decode_record(text: str | bytes) -> Record:
    """
    Read a record.

    :raises UndecodableRecordError: If it is none of the known types.
    """
    try:
        return _ADAPTER.validate_json(text)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        raise UndecodableRecordError(f"{first['loc']}: {first['msg']}") from None


def pack_document(data: bytes) -> str:
    """
    Compress a document for a record: a fleet reads every one of them.
    """
    return base64.b85encode(zlib.compress(data, 9)).decode()


def unpack_document(text: str) -> bytes:
    """
    Undo `pack_document`.

    :raises UndecodableRecordError: If the text is not a packed document or too large.
    """
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(base64.b85decode(text), _MAX_UNPACKED)
    except (ValueError, zlib.error) as error:
        raise UndecodableRecordError(f"document: {error}") from None
    if not unpacker.eof:
        raise UndecodableRecordError("document: cut short or too large")
    return data
