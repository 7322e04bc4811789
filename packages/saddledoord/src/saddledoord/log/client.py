# SPDX-License-Identifier: MIT

"""
HTTP client of the platform's append-only log service.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

from saddledoor import Record, decode_record, encode_record
from saddledoor.exceptions import UndecodableRecordError

from ..observability.daemon_metrics import Metrics


__all__ = ["LogUnavailableError", "LogClient", "LogPage", "LoggedRecord"]


class LogUnavailableError(Exception):
    """
    The log gave no usable answer; an append may still have taken effect.
    """


@dataclass(frozen=True)
class LoggedRecord:
    """
    A record of a stream.

    :param at: When it was appended, by the log's clock, in seconds since 1970.
    :param record: None if it could not be decoded.
    """

    offset: int
    at: float
    record: Record | None


@dataclass(frozen=True)
class LogPage:
    """
    The answer to a read.

    :param first: Offset of the oldest record that the log still has.
    :param next_offset: Offset of the next read.
    """

    first: int
    next_offset: int
    records: tuple[LoggedRecord, ...]


class LogClient:
    """
    Appends to and reads from streams of the log.

    :param timeout: Longest wait for an answer beyond a read's own wait, in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout: float, metrics: Metrics
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = timeout
        self._metrics = metrics

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """
        Append records atomically.

        :returns: Offset of the first record.
        :raises LogUnavailableError: If there was no usable answer; the append may still
            have taken effect.
        """
        body = {"records": [encode_record(record) for record in records]}
        self._metrics.log_appends.add(1, {"stream": stream.split("-")[0]})
        answer = await self._request("POST", stream, body=body, wait=0.0)
        return int(answer["first"])

    async def read(self, stream: str, start: int, wait: float = 0.0) -> LogPage:
        """
        Read records from an offset.

        :param wait: How long the log may wait for a record, in seconds.
        :raises LogUnavailableError: If the log gave no usable answer.
        """
        params = {"from": str(start), "wait": f"{wait:.2f}"}
        answer = await self._request("GET", stream, params=params, wait=wait)
        records = tuple(self._decode(item) for item in answer["records"])
        return LogPage(int(answer["first"]), int(answer["next"]), records)

    async def _request(
        self,
        method: str,
        stream: str,
        *,
        wait: float,
        body: object = None,
        params: dict[str, str] | None = None,
    ) -> dict:
        url = f"{self._url}/v1/streams/{stream}"
        timeout = aiohttp.ClientTimeout(total=self._timeout + wait)
        try:
            async with self._session.request(
                method, url, json=body, params=params, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise LogUnavailableError(f"status {response.status}")
                return await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise LogUnavailableError(repr(error)) from None

    def _decode(self, item: dict) -> LoggedRecord:
        try:
            record = decode_record(item["data"])
        except UndecodableRecordError:
            self._metrics.log_undecodable.add(1)
            record = None
        return LoggedRecord(int(item["offset"]), float(item["at"]), record)
