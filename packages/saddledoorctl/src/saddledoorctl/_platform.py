# SPDX-License-Identifier: MIT

"""
HTTP clients of the command line for the log service and for daemons' status.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import aiohttp

from saddledoor import ConfigFold, Record, decode_record, encode_record
from saddledoor.exceptions import UndecodableRecordError


__all__ = [
    "ConfigStream",
    "LogStream",
    "PlatformUnavailableError",
    "fetch_each",
    "fetch_json",
    "fetch_text",
]

#: Longest wait for one answer, in seconds.
_TIMEOUT = 5.0


class PlatformUnavailableError(Exception):
    """
    The log or a VM is unreachable, or its answer is unusable.
    """


@dataclass(frozen=True)
class Entry:
    """
    A record of a stream of the log.

    :param at: When the log stored it, in seconds since 1970.
    """

    offset: int
    at: float
    record: Record


class LogStream:
    """
    Reads and appends one stream of the log.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, name: str) -> None:
        self._session = session
        self._url = f"{url}/v1/streams/{name}"
        self._next = 0
        self.entries: list[Entry] = []

    async def catch_up(self, wait: float = 0.0) -> None:
        """
        Read all new records of the stream.

        :param wait: How long the log may wait for a new record, in seconds; unless 0,
            only one page is read.
        :raises PlatformUnavailableError: If the log gave no usable answer.
        """
        while True:
            params = {"from": str(self._next), "wait": str(wait)}
            limit = aiohttp.ClientTimeout(total=_TIMEOUT + wait)
            page = await fetch_json(
                self._session, "GET", self._url, params=params, timeout=limit
            )
            self.load(page)
            if not page["records"] or wait:
                return

    def load(self, page: dict) -> None:
        """
        Add the records of a page, read from the log or from a dump file.
        """
        self._start_page(page["first"])
        for item in page["records"]:
            self._add_record(item)
        self._next = max(self._next, page["next"])

    async def append(self, record: Record) -> None:
        """
        Append a record; after an error its outcome is unknown.

        :raises PlatformUnavailableError: If the log gave no usable answer.
        """
        limit = aiohttp.ClientTimeout(total=_TIMEOUT)
        body = {"records": [encode_record(record)]}
        await fetch_json(self._session, "POST", self._url, json=body, timeout=limit)

    def _start_page(self, first: int) -> None:
        """
        Hook for subclasses; called with the log's oldest offset, before a page's
        records.
        """

    def _add_record(self, item: dict) -> Entry | None:
        try:
            record = decode_record(item["data"])
        except UndecodableRecordError:
            return None
        entry = Entry(item["offset"], item["at"], record)
        self.entries.append(entry)
        return entry


class ConfigStream(LogStream):
    """
    The configuration stream and the state folded from its records.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        super().__init__(session, url, "config")
        self.fold: ConfigFold | None = None

    def _start_page(self, first: int) -> None:
        if self.fold is None:
            self.fold = ConfigFold.starting_at(first)

    def _add_record(self, item: dict) -> Entry | None:
        entry = super()._add_record(item)
        if entry is not None:
            self.fold = self.fold.apply(entry.offset, entry.record)
        return entry


async def fetch_json(
    session: aiohttp.ClientSession, method: str, url: str, **options: object
) -> dict:
    """
    Send a request and return the JSON body of its answer.

    :raises PlatformUnavailableError: If there is no answer, the status is not 200 or
        the body is not JSON.
    """
    try:
        async with session.request(method, url, **options) as response:
            if response.status != 200:
                raise PlatformUnavailableError(f"{url}: status {response.status}")
            return await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise PlatformUnavailableError(f"{url}: {error!r}") from None


async def fetch_text(session: aiohttp.ClientSession, url: str) -> str:
    """
    Fetch a URL and return the body as text.

    :raises PlatformUnavailableError: If there is no answer or the status is not 200.
    """
    limit = aiohttp.ClientTimeout(total=_TIMEOUT)
    try:
        async with session.get(url, timeout=limit) as response:
            if response.status != 200:
                raise PlatformUnavailableError(f"{url}: status {response.status}")
            return await response.text()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise PlatformUnavailableError(f"{url}: {error!r}") from None


async def fetch_each(
    session: aiohttp.ClientSession, urls: Iterable[str]
) -> dict[str, dict | None]:
    """
    Fetch JSON from several URLs at once; None for those without a usable answer.
    """

    async def one(url: str) -> dict | None:
        limit = aiohttp.ClientTimeout(total=2.0)
        try:
            return await fetch_json(session, "GET", url, timeout=limit)
        except PlatformUnavailableError:
            return None

    listed = list(urls)
    answers = await asyncio.gather(*(one(url) for url in listed))
    return dict(zip(listed, answers, strict=True))
