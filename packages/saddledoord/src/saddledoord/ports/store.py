# SPDX-License-Identifier: MIT

"""
The platform's store as the gateway sees it: the log and registries.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from saddledoor import GatewayConfig


__all__ = [
    "Appended",
    "KeyedEntry",
    "KeyedPage",
    "MAX_PAGE_BYTES",
    "LogTruncatedError",
    "LogPage",
    "NamedVersion",
    "NotAppended",
    "OperatorValue",
    "Registry",
    "SharedLog",
    "StoreUnavailableError",
    "DEFAULT_ANSWER_TIMEOUT",
    "AppendOutcomeUnknown",
    "UnusableValue",
]


#: Most that one read brings unless the reader says otherwise, in bytes.
MAX_PAGE_BYTES = 1_048_576
#: Longest wait for the answer to a read unless the reader says otherwise, in seconds: a
#: store that is slowed down 60 times takes 0.24 s.
DEFAULT_ANSWER_TIMEOUT = 1.0


class StoreUnavailableError(Exception):
    """
    The store gave no usable answer in time.
    """


class LogTruncatedError(Exception):
    """
    Records were dropped before they were read.

    :param first: Oldest offset that is still there.
    """

    def __init__(self, first: int) -> None:
        self.first = first
        super().__init__(f"records before offset {first} are gone")


@dataclass(frozen=True)
class Appended:
    """
    The records are in the log.

    :param offset: Offset of the first.
    """

    offset: int


@dataclass(frozen=True)
class NotAppended:
    """
    The log vouches that it did not take the records.
    """

    reason: str


@dataclass(frozen=True)
class AppendOutcomeUnknown:
    """
    The records may be in the log, or may still come into it.
    """

    reason: str


@dataclass(frozen=True)
class LogPage:
    """
    Records from one offset on.

    :param end: Offset after the log's newest record.
    """

    start: int
    records: tuple[bytes, ...]
    end: int

    @property
    def next_offset(self) -> int:
        """
        Where the next read begins.
        """
        return self.start + len(self.records)


class SharedLog(Protocol):
    """
    The platform's append-only log.
    """

    async def append(
        self, stream: str, records: Sequence[bytes], answer_timeout: float = 1.5
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        Append all the records in one piece, or none of them.

        :param answer_timeout: Longest wait for the answer, in seconds.
        """

    async def read(
        self,
        stream: str,
        start: int,
        wait: float = 0.0,
        max_bytes: int = MAX_PAGE_BYTES,
        answer_timeout: float = DEFAULT_ANSWER_TIMEOUT,
    ) -> LogPage:
        """
        Read records from an offset on.

        :param wait: How long the log may wait for one, in seconds.
        :param answer_timeout: Longest wait for the answer beyond that, in seconds.
        :param max_bytes: Most that the answer may hold, in bytes, but for one record.
        :raises StoreUnavailableError: If there was no usable answer.
        :raises LogTruncatedError: If the records at the offset were dropped.
        """


@dataclass(frozen=True)
class UnusableValue:
    """
    Something stands under a key, and it is nothing that may be used.

    Apart from a removal: a key that lapsed while the store was away may come back as it
    was, but one that holds something else now has said so.

    :param reason: Names the field.
    """

    reason: str


@dataclass(frozen=True)
class KeyedEntry:
    """
    A change of one key, decoded.

    :param value: None if the key was removed or says nothing here.
    """

    key: str
    offset: int
    value: object | UnusableValue | None


@dataclass(frozen=True)
class KeyedPage:
    """
    Changes of keys, in order.

    :param whole: Whether these are the newest values of all keys.
    :param is_end: Whether there was nothing behind them.
    """

    entries: tuple[KeyedEntry, ...]
    next_offset: int
    whole: bool = False
    is_end: bool = True


class Registry(Protocol):
    """
    A table of keys that others write: the operator's, or the engines' entries.
    """

    async def newest(self) -> KeyedPage:
        """
        Read the newest value of every key.

        :raises StoreUnavailableError: If there was no usable answer.
        """

    async def changes(self, start: int, wait: float) -> KeyedPage:
        """
        Read the changes from an offset on.

        :raises StoreUnavailableError: If there was no usable answer.
        :raises LogTruncatedError: If they were dropped; `newest` still has the values.
        """


@dataclass(frozen=True)
class NamedVersion:
    """
    A weight version that a trainer has named.
    """

    model: str
    version: int


OperatorValue = GatewayConfig | NamedVersion
