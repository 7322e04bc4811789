# SPDX-License-Identifier: MIT

"""
Adapters of the command line: the log service and daemons' status.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import aiohttp

from saddledoor import ConfigFold, Record, decode_record, encode_record
from saddledoor.exceptions import UndecodableRecordError


__all__ = ["ConfigStream", "LogStream", "PlatformAwayError", "fetch_any", "fetch_json"]

#: Longest wait for one answer, in seconds.
_TIMEOUT = 5.0


class PlatformAwayError(Exception):
    """
    The log or a VM gave no usable answer.
    """


@dataclass(frozen=True)
class Entry:
    """
    A record of the configuration stream.

    :param at: When the log took it, in seconds since 1970.
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
        Read everything that the log has now.

        :param wait: How long the log may wait for a record to come, in seconds.
        :raises PlatformAwayError: If the log gave no answer.
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
        Take a page as the log gives it, from the log or from a file.
        """
        self._begin(page["first"])
        for item in page["records"]:
            self._take(item)
        self._next = max(self._next, page["next"])

    async def append(self, record: Record) -> None:
        """
        Append a record; on an error it may stand in the log all the same.

        :raises PlatformAwayError: If the log gave no answer.
        """
        limit = aiohttp.ClientTimeout(total=_TIMEOUT)
        body = {"records": [encode_record(record)]}
        await fetch_json(self._session, "POST", self._url, json=body, timeout=limit)

    def _begin(self, first: int) -> None:
        """
        Learn the oldest offset that the log has.
        """

    def _take(self, item: dict) -> Entry | None:
        try:
            record = decode_record(item["data"])
        except UndecodableRecordError:
            return None
        entry = Entry(item["offset"], item["at"], record)
        self.entries.append(entry)
        return entry


class ConfigStream(LogStream):
    """
    The configuration stream and its fold.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        super().__init__(session, url, "config")
        self.fold: ConfigFold | None = None

    def _begin(self, first: int) -> None:
        if self.fold is None:
            self.fold = ConfigFold.starting_at(first)

    def _take(self, item: dict) -> Entry | None:
        entry = super()._take(item)
        if entry is not None:
            self.fold = self.fold.apply(entry.offset, entry.record)
        return entry


async def fetch_json(
    session: aiohttp.ClientSession, method: str, url: str, **options: object
) -> dict:
    """
    Ask for JSON.

    :raises PlatformAwayError: If there is no usable answer.
    """
    try:
        async with session.request(method, url, **options) as response:
            if response.status != 200:
                raise PlatformAwayError(f"{url}: status {response.status}")
            return await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise PlatformAwayError(f"{url}: {error!r}") from None


async def fetch_any(
    session: aiohttp.ClientSession, urls: Iterable[str]
) -> dict[str, dict | None]:
    """
    Ask several addresses; none where one gave no answer.
    """

    async def one(url: str) -> dict | None:
        limit = aiohttp.ClientTimeout(total=2.0)
        try:
            return await fetch_json(session, "GET", url, timeout=limit)
        except PlatformAwayError:
            return None

    listed = list(urls)
    answers = await asyncio.gather(*(one(url) for url in listed))
    return dict(zip(listed, answers, strict=True))
