# SPDX-License-Identifier: MIT

"""
Adapter to the platform's append-only log service.
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
    The log gave no usable answer; an append may have taken effect all the same.
    """


@dataclass(frozen=True)
class LoggedRecord:
    """
    A record as the log holds it.

    :param at: When the log took it, by the log's clock, in seconds.
    :param record: None if it could not be decoded.
    """

    offset: int
    at: float
    record: Record | None


@dataclass(frozen=True)
class LogPage:
    """
    An answer to a read.

    :param first: Oldest offset that the log still has.
    :param next_offset: Where the next read begins.
    """

    first: int
    next_offset: int
    records: tuple[LoggedRecord, ...]


class LogClient:
    """
    Appends to and reads from the log's streams over HTTP.

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
        Append records in one piece.

        :returns: Offset of the first.
        :raises LogUnavailableError: Also when the append may have taken effect.
        """
        body = {"records": [encode_record(record) for record in records]}
        self._metrics.log_appends.add(1, {"stream": stream.split("-")[0]})
        answer = await self._ask("POST", stream, body=body, wait=0.0)
        return int(answer["first"])

    async def read(self, stream: str, start: int, wait: float = 0.0) -> LogPage:
        """
        Read what stands at ``start`` and after it.

        :param wait: How long the log may wait for a record to come, in seconds.
        :raises LogUnavailableError: If the log gave no usable answer.
        """
        params = {"from": str(start), "wait": f"{wait:.2f}"}
        answer = await self._ask("GET", stream, params=params, wait=wait)
        records = tuple(self._decode(item) for item in answer["records"])
        return LogPage(int(answer["first"]), int(answer["next"]), records)

    async def _ask(
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
