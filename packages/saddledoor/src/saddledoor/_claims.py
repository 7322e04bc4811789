# SPDX-License-Identifier: MIT

"""
Who may run an unrepeatable request: the first claim of its key in the log.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ._records import ClaimBatch, ClaimRelease, KeyClaim, Record


__all__ = ["ClaimFold", "IssuedKeys", "KeyState", "key_digest", "partition_of"]


def key_digest(partner: str, service: str, key: str) -> str:
    """
    Return the name of a caller's key; partners and services never share one.
    """
    text = "\x00".join((partner, service, key))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def partition_of(digest: str, partitions: int) -> int:
    """
    Return the partition of the claim stream that decides a key.
    """
    return int(digest[:8], 16) % partitions


class ClaimFold:
    """
    Owners of keys in one partition, by the log's order.

    State is updated in place: the fold holds every key that is remembered.

    :param remember: How long a key is remembered, in seconds of the log's own time,
        so that every reader forgets it at the same record.
    """

    @property
    def next_offset(self) -> int:
        """
        Offset of the next record to fold.
        """
        return self._next_offset

    def __init__(self, remember: float, first: int = 0) -> None:
        self._remember = remember
        self._next_offset = first
        self._owners: OrderedDict[str, tuple[KeyClaim, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._owners)

    def apply(self, offset: int, logged_at: float, record: Record | None) -> None:
        """
        Fold one record.

        :param logged_at: When the log took the record, by the log's clock, in seconds.
        :param record: The record, or none if it could not be decoded.
        """
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        self._forget(logged_at)
        match record:
            case ClaimBatch():
                self._claim(record, logged_at)
            case ClaimRelease():
                self._release(record)

    def owner(self, key: str) -> KeyClaim | None:
        """
        Return the claim that won a key, or none.
        """
        entry = self._owners.get(key)
        return entry[0] if entry else None

    def _claim(self, batch: ClaimBatch, logged_at: float) -> None:
        for claim in batch.claims:
            self._owners.setdefault(claim.key, (claim, logged_at))

    def _release(self, record: ClaimRelease) -> None:
        claim = self.owner(record.key)
        if claim is not None and claim.claim_id == record.claim_id:
            del self._owners[record.key]

    def _forget(self, logged_at: float) -> None:
        for key in list(_older(self._owners, logged_at - self._remember)):
            del self._owners[key]


def _older(
    owners: OrderedDict[str, tuple[KeyClaim, float]], limit: float
) -> Iterator[str]:
    # Claims stand in the log's order, so the old ones are in front.
    for key, (_, logged_at) in owners.items():
        if logged_at >= limit:
            return
        yield key


@dataclass
class KeyState:
    """
    What this VM's memory knows of a key that it issued.

    :param partner: Who asked for it; it is nobody else's.
    """

    partner: str
    used: bool = False


class IssuedKeys:
    """
    Keys that name this VM's incarnation as their issuer.

    They need no log: the incarnation is never replaced, so its memory is the only
    judge of its keys, and a key of another incarnation is spent.

    :param incarnation: Unique name of this process.
    :param capacity: Keys kept; issuing beyond it forgets unused keys, which are
        then spent.
    """

    def __init__(self, incarnation: str, capacity: int = 100_000) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._keys: OrderedDict[str, KeyState] = OrderedDict()

    def issue(self, nonce: str, partner: str) -> str:
        """
        Return a new key.

        :param nonce: Random text without a dot.
        """
        key = f"vm.{self._incarnation}.{nonce}"
        self._keys[key] = KeyState(partner)
        while len(self._keys) > self._capacity:
            self._keys.popitem(last=False)
        return key

    def consume(self, key: str, partner: str) -> bool:
        """
        Use a key up; true the first time only, and only for its own partner.
        """
        state = self._keys.get(key)
        if state is None or state.used or state.partner != partner:
            return False
        state.used = True
        return True

    def restore(self, key: str) -> None:
        """
        Make a key usable again after nothing was handed over.
        """
        if key in self._keys:
            self._keys[key].used = False

    @staticmethod
    def issuer(key: str) -> str | None:
        """
        Return the incarnation that decides a key, or none for a caller's own key.
        """
        parts = key.split(".")
        return parts[1] if len(parts) == 3 and parts[0] == "vm" else None
