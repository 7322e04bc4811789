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


__all__ = ["ConfigStream", "PlatformAwayError", "fetch_json"]

_STREAM = "config"
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


class ConfigStream:
    """
    Reads and appends the configuration stream.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/streams/{_STREAM}"
        self._next = 0
        self.fold: ConfigFold | None = None
        self.entries: list[Entry] = []

    async def catch_up(self, wait: float = 0.0) -> None:
        """
        Read and fold everything that the log has now.

        :param wait: How long the log may wait for a record to come, in seconds.
        :raises PlatformAwayError: If the log gave no answer.
        """
        while True:
            params = {"from": str(self._next), "wait": str(wait)}
            limit = aiohttp.ClientTimeout(total=_TIMEOUT + wait)
            page = await fetch_json(
                self._session, "GET", self._url, params=params, timeout=limit
            )
            if self.fold is None:
                self.fold = ConfigFold.starting_at(page["first"])
            for item in page["records"]:
                self._take(item)
            self._next = max(self._next, page["next"])
            if not page["records"] or wait:
                return

    async def append(self, record: Record) -> None:
        """
        Append a record; on an error it may stand in the log all the same.

        :raises PlatformAwayError: If the log gave no answer.
        """
        limit = aiohttp.ClientTimeout(total=_TIMEOUT)
        body = {"records": [encode_record(record)]}
        await fetch_json(self._session, "POST", self._url, json=body, timeout=limit)

    def _take(self, item: dict) -> None:
        try:
            record = decode_record(item["data"])
        except UndecodableRecordError:
            return
        self.fold = self.fold.apply(item["offset"], record)
        self.entries.append(Entry(item["offset"], item["at"], record))


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
