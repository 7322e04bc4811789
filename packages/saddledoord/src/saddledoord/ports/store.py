# SPDX-License-Identifier: MIT

"""
Interface of the platform's store: the log and registries.
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
    "Evacuation",
    "UnusableValue",
]


#: Default limit of the size of a page, in bytes.
MAX_PAGE_BYTES = 1_048_576
#: Default limit of the wait for the answer to a read, in seconds.
DEFAULT_ANSWER_TIMEOUT = 1.0


class StoreUnavailableError(Exception):
    """
    The store gave no usable answer in time.

    :param is_connection_lost: Whether only a connection may have failed that was open
        before the call. Otherwise the store was not reached over a new one, or refused
        the call.
    """

    def __init__(self, reason: str, is_connection_lost: bool = False) -> None:
        super().__init__(reason)
        self.is_connection_lost = is_connection_lost


class LogTruncatedError(Exception):
    """
    The log dropped records before they were read.

    :param first: Offset of the oldest record that is left.
    """

    def __init__(self, first: int) -> None:
        self.first = first
        super().__init__(f"records before offset {first} are gone")


@dataclass(frozen=True)
class Appended:
    """
    The log has the records.

    :param offset: Offset of the first record.
    """

    offset: int


@dataclass(frozen=True)
class NotAppended:
    """
    The log reported that it did not append the records.
    """

    reason: str


@dataclass(frozen=True)
class AppendOutcomeUnknown:
    """
    The log may have appended the records, or may still append them.
    """

    reason: str


@dataclass(frozen=True)
class LogPage:
    """
    Consecutive records of a stream.

    :param start: Offset of the first record.
    :param end: Offset after the newest record of the stream.
    """

    start: int
    records: tuple[bytes, ...]
    end: int

    @property
    def next_offset(self) -> int:
        """
        Offset of the next read.
        """
        return self.start + len(self.records)


class SharedLog(Protocol):
    """
    The platform's append-only log.
    """

    async def append(
        self,
        stream: str,
        records: Sequence[bytes],
        answer_timeout: float = 1.5,
        expected_end: int | None = None,
    ) -> Appended | NotAppended | AppendOutcomeUnknown:
        """
        Append all records atomically.

        :param answer_timeout: Longest wait for the answer, in seconds.
        :param expected_end: Offset at which the stream must end for the records to be
            appended; None for any.
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
        Read records from an offset.

        :param wait: How long the log may wait for a record, in seconds.
        :param answer_timeout: Longest wait for the answer beyond that, in seconds.
        :param max_bytes: Largest size of the page, in bytes; one record may exceed it.
        :raises StoreUnavailableError: If there was no usable answer.
        :raises LogTruncatedError: If the records at the offset were dropped.
        """


@dataclass(frozen=True)
class UnusableValue:
    """
    A value of a key that cannot be used.

    It differs from a removed key, which may return unchanged after an outage of the
    store.

    :param reason: Names the field that is invalid.
    """

    reason: str


@dataclass(frozen=True)
class KeyedEntry:
    """
    A decoded change of one key.

    :param value: None if the key was removed or is not relevant.
    """

    key: str
    offset: int
    value: object | UnusableValue | None


@dataclass(frozen=True)
class KeyedPage:
    """
    Consecutive changes of keys.

    :param whole: Whether these are the newest values of all keys.
    :param is_end: Whether there are no later changes.
    """

    entries: tuple[KeyedEntry, ...]
    next_offset: int
    whole: bool = False
    is_end: bool = True


class Registry(Protocol):
    """
    A table of keys that others write: the operator's configurations and named versions,
    or the engines' entries.
    """

    async def newest(self) -> KeyedPage:
        """
        Read the newest value of every key.

        :raises StoreUnavailableError: If there was no usable answer.
        """

    async def changes(self, start: int, wait: float) -> KeyedPage:
        """
        Read the changes from an offset.

        :raises StoreUnavailableError: If there was no usable answer.
        :raises LogTruncatedError: If the changes were dropped; `newest` still returns
            the values.
        """


@dataclass(frozen=True)
class NamedVersion:
    """
    A weight version that a trainer has named as the one that engines should load.
    """

    model: str
    version: int


@dataclass(frozen=True)
class Evacuation:
    """
    The operator's request to send nothing to a data centre's engines; it holds until
    its key is removed.
    """

    data_centre: str


OperatorValue = GatewayConfig | NamedVersion | Evacuation
