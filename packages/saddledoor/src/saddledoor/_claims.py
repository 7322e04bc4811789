# SPDX-License-Identifier: MIT

"""
Decides who may run an unrepeatable request: the first claim of its key in the log.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ._records import ClaimBatch, ClaimRelease, KeyClaim, Record


__all__ = ["ClaimFold", "IssuedKeys", "IssuedKey", "key_digest", "partition_of"]


def key_digest(partner: str, service: str, key: str) -> str:
    """
    Return the digest of an idempotency key, distinct for each partner and service.
    """
    text = "\x00".join((partner, service, key))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def partition_of(digest: str, partitions: int) -> int:
    """
    Return the partition of the claim stream that a key belongs to.
    """
    return int(digest[:8], 16) % partitions


class ClaimFold:
    """
    Owners of the keys of one partition, folded from the log.

    The state is updated in place, since it holds every key of the retention period.

    :param retention: How long a key is retained, in seconds of the log's clock, so
        that every reader drops it at the same record.
    :param first: Offset of the first record to fold.
    """

    @property
    def next_offset(self) -> int:
        """
        Offset of the next record to fold.
        """
        return self._next_offset

    def __init__(self, retention: float, first: int = 0) -> None:
        self._retention = retention
        self._next_offset = first
        self._owners: OrderedDict[str, tuple[KeyClaim, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._owners)

    def apply(self, offset: int, logged_at: float, record: Record | None) -> None:
        """
        Fold one record.

        :param logged_at: When the record was appended, in seconds of the log's clock.
        :param record: The record, or None if it could not be decoded.
        """
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        self._drop_expired(logged_at)
        match record:
            case ClaimBatch():
                self._apply_batch(record, logged_at)
            case ClaimRelease():
                self._apply_release(record)

    def owner(self, key: str) -> KeyClaim | None:
        """
        Return the claim that owns a key, or None.
        """
        entry = self._owners.get(key)
        return entry[0] if entry else None

    def _apply_batch(self, batch: ClaimBatch, logged_at: float) -> None:
        for claim in batch.claims:
            self._owners.setdefault(claim.key, (claim, logged_at))

    def _apply_release(self, record: ClaimRelease) -> None:
        claim = self.owner(record.key)
        if claim is not None and claim.claim_id == record.claim_id:
            del self._owners[record.key]

    def _drop_expired(self, logged_at: float) -> None:
        for key in list(_keys_logged_before(self._owners, logged_at - self._retention)):
            del self._owners[key]


def _keys_logged_before(
    owners: OrderedDict[str, tuple[KeyClaim, float]], cutoff: float
) -> Iterator[str]:
    # Claims are stored in log order, so the oldest ones come first.
    for key, (_, logged_at) in owners.items():
        if logged_at >= cutoff:
            return
        yield key


@dataclass
class IssuedKey:
    """
    An idempotency key that this process issued.

    :param partner: The only partner that may use it.
    """

    partner: str
    used: bool = False


class IssuedKeys:
    """
    Idempotency keys issued by this process, which name it as their issuer.

    The use of these keys is not logged: each incarnation is unique, so the memory of
    the issuing process decides whether a key was used. A key that it does not know
    counts as used.

    :param incarnation: Unique name of this process.
    :param capacity: Maximum number of keys; beyond it the oldest ones are dropped.
    """

    def __init__(self, incarnation: str, capacity: int = 100_000) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._keys: OrderedDict[str, IssuedKey] = OrderedDict()

    def issue(self, nonce: str, partner: str) -> str:
        """
        Return a new key.

        :param nonce: Random text without a dot.
        """
        key = f"vm.{self._incarnation}.{nonce}"
        self._keys[key] = IssuedKey(partner)
        while len(self._keys) > self._capacity:
            self._keys.popitem(last=False)
        return key

    def consume(self, key: str, partner: str) -> bool:
        """
        Mark a key as used.

        :returns: Whether the key was issued to this partner and not used before.
        """
        issued_key = self._keys.get(key)
        if issued_key is None or issued_key.used or issued_key.partner != partner:
            return False
        issued_key.used = True
        return True

    def restore(self, key: str) -> None:
        """
        Make a used key usable again, if its request was not handed to a service.
        """
        if key in self._keys:
            self._keys[key].used = False

    @staticmethod
    def issuer(key: str) -> str | None:
        """
        Return the incarnation that issued a key, or None for a caller's own key.
        """
        parts = key.split(".")
        return parts[1] if len(parts) == 3 and parts[0] == "vm" else None
