# SPDX-License-Identifier: MIT

"""
HTTP clients of backend servers: completions and orders of engines, service calls.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from saddledoor import NotRun, OutcomeUnknown, Part, ResultCode

from .answer_bodies import AnswerBodies
from .payloads import PiecewisePayload
from .send_deadline import SendDeadlineConnector, send
from .send_once import send_once


__all__ = [
    "UNUSABLE_JSON",
    "BackendClient",
    "CallAnswer",
    "CompletionBrokenError",
    "LoadReading",
]

#: Header of a request's id, which answers may repeat.
REQUEST_ID_HEADER = "X-Request-Id"
#: Response header of a backend server that refused a request before starting it.
NOT_STARTED_HEADER = "X-Not-Started"
#: Longest line of an engine's event stream, in bytes.
_MAX_EVENT_BYTES = 1_000_000
#: Maximum size of the empty lines between two events, in bytes.
_MAX_FILLER_BYTES = 1 << 14
#: Time of the decision to send what may be sent at any time.
_ANY_TIME = float("inf")
#: Timeout of opening a connection, in seconds.
_CONNECT_TIMEOUT = 1.0
#: Largest response body of a service, in bytes.
_MAX_RESPONSE_BYTES = 8_000_000
#: Maximum size of a body with its framing, as a multiple of the body's.
_MAX_FRAMED = 2
#: Maximum size of a report or of the answer to an order, in bytes.
_MAX_REPORT_BYTES = 1 << 20


class CompletionBrokenError(Exception):
    """
    An engine's stream ended before its end marker.

    :param handed_over: Whether any byte of the request may have reached the engine.
    """

    def __init__(self, reason: str, handed_over: bool) -> None:
        self.handed_over = handed_over
        super().__init__(reason)


#: Errors of a JSON document with other values than expected; numbers beyond those of
#: floats and deep nesting raise the last two.
UNUSABLE_JSON = (
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


@dataclass(frozen=True)
class CallAnswer:
    """
    A service's complete response.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class LoadReading:
    """
    Load and state that a backend server reports.

    :param load: Number of running and waiting requests.
    :param versions: Active weight version, by model.
    :param staged: Weight version that is ready to be activated, by model.
    """

    load: float
    leaving: bool
    versions: dict[str, int]
    staged: dict[str, int]


class BackendClient:
    """
    HTTP clients of backend servers.

    A backend server may send a second copy of an answer late, where the next answer of
    that connection is expected, and need not repeat the id of its request. So each send
    uses a new connection, except for readings of the load. `send_once` disables the
    retries of aiohttp.
    """

    def __init__(
        self, session: aiohttp.ClientSession, single_use: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._single_use = single_use
        self._bodies = AnswerBodies()

    @classmethod
    def open(cls) -> BackendClient:
        """
        Open the clients; requires a running event loop.
        """
        # An order that was given up must not arrive after one of the next lease holder.
        pooled = SendDeadlineConnector(limit=0, keepalive_timeout=15)
        single = SendDeadlineConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT)
        return cls(
            aiohttp.ClientSession(connector=pooled, timeout=timeout),
            aiohttp.ClientSession(
                connector=single,
                timeout=timeout,
                read_bufsize=_MAX_EVENT_BYTES,
                auto_decompress=False,
                middlewares=(send_once,),
            ),
        )

    @property
    def session(self) -> aiohttp.ClientSession:
        """
        The client with pooled connections, for other requests of this process.
        """
        return self._session

    async def close(self) -> None:
        await self._session.close()
        await self._single_use.close()

    async def read_load(self, address: str, timeout: float) -> LoadReading:
        """
        Read a backend server's load and state.

        :raises aiohttp.ClientError: If the request failed or the response is invalid.
        """
        limit = aiohttp.ClientTimeout(total=timeout)
        url = f"http://{address}/v1/load"
        send_id = secrets.token_hex(8)
        headers = {REQUEST_ID_HEADER: send_id}
        pending = self._session.get(url, headers=headers, timeout=limit)
        async with send(pending, _ANY_TIME, max_body=_MAX_REPORT_BYTES) as response:
            response.raise_for_status()
            # A server that repeats no id may still answer with an earlier reading.
            if response.headers.get(REQUEST_ID_HEADER, send_id) != send_id:
                response.close()
                raise aiohttp.ClientPayloadError("load: the answer to another request")
            body = await response.read()
        try:
            data = json.loads(body)
            return LoadReading(
                float(data["running"]) + float(data["waiting"]),
                data.get("state") == "leaving",
                {str(k): int(v) for k, v in data.get("versions", {}).items()},
                {str(k): int(v) for k, v in data.get("staged", {}).items()},
            )
        except UNUSABLE_JSON as error:
            raise aiohttp.ClientPayloadError(f"load: {error!r:.100}") from None

    async def order(self, address: str, order: dict, timeout: float) -> int:
        """
        Send an order to an engine and wait for its completion.

        :returns: The HTTP status; 409 means that the fencing number is outdated.
        :raises aiohttp.ClientError: If the outcome is unknown.
        """
        limit = aiohttp.ClientTimeout(total=timeout)
        url = f"http://{address}/v1/orders"
        pending = self._single_use.post(url, json=order, timeout=limit)
        async with send(pending, _ANY_TIME, max_body=_MAX_REPORT_BYTES) as response:
            await response.read()
            return response.status

    async def complete(
        self, address: str, request_id: str, body: dict, silence: float
    ) -> AsyncIterator[Part]:
        """
        Stream a completion's parts up to the end marker.

        :param silence: Longest wait for the next part, in seconds.
        :raises CompletionBrokenError: If the stream ended without the end marker.
        """
        url = f"http://{address}/v1/completions"
        headers = {REQUEST_ID_HEADER: request_id}
        limit = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT, sock_read=silence
        )
        try:
            pending = self._single_use.post(
                url, json=body, headers=headers, timeout=limit
            )
            async with send(pending, _ANY_TIME) as response:
                if response.status != 200:
                    reason = f"status {response.status}"
                    not_started = NOT_STARTED_HEADER in response.headers
                    raise CompletionBrokenError(reason, not not_started)
                empty = 0
                async for line in response.content:
                    data = line.strip().removeprefix(b"data:").strip()
                    if not data:
                        empty += len(line)
                        if empty > _MAX_FILLER_BYTES:
                            raise CompletionBrokenError("no event", True)
                        # The next lines may be there already.
                        await asyncio.sleep(0)
                        continue
                    empty = 0
                    if data == b"[DONE]":
                        break
                    yield _read_part(data, request_id)
                else:
                    raise CompletionBrokenError("no end marker", True)
        except aiohttp.ClientConnectorError as error:
            raise CompletionBrokenError(str(error), False) from None
        except (
            TimeoutError,
            aiohttp.ClientError,
            HttpProcessingError,
            ValueError,
            RuntimeError,
        ) as error:
            raise CompletionBrokenError(repr(error)[:200], True) from None

    async def call(
        self,
        address: str,
        *,
        request_id: str,
        method: str,
        target: str,
        content_type: str,
        body: bytes,
        timeout: float,
    ) -> CallAnswer | NotRun | OutcomeUnknown:
        """
        Send a request to a service and read its complete response.

        :param target: Path and query of the URL.
        """
        headers = {REQUEST_ID_HEADER: request_id, "Content-Type": content_type}
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=_CONNECT_TIMEOUT)
        try:
            pending = self._single_use.request(
                method,
                f"http://{address}{target}",
                data=PiecewisePayload(body),
                headers=headers,
                timeout=limit,
                allow_redirects=False,
            )
            max_body = _MAX_FRAMED * _MAX_RESPONSE_BYTES
            async with send(pending, _ANY_TIME, max_body=max_body) as response:
                return await _read_response(response, self._bodies)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotRun(ResultCode.NO_BACKEND, f"not connected: {error}")
        except (TimeoutError, aiohttp.ClientError) as error:
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, repr(error))


async def _read_response(
    response: aiohttp.ClientResponse, bodies: AnswerBodies
) -> CallAnswer | NotRun | OutcomeUnknown:
    if response.status == 503 and NOT_STARTED_HEADER in response.headers:
        return NotRun(
            ResultCode.NO_BACKEND, "the service vouches that it did not start"
        )
    body = await bodies.read(response, _MAX_RESPONSE_BYTES)
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return CallAnswer(response.status, content_type, body)


def _read_part(data: bytes, request_id: str) -> Part:
    try:
        event = json.loads(data)
        if not isinstance(event, dict) or event.get("id") != request_id:
            raise CompletionBrokenError("a part of another request", True)
        choice = event["choices"][0]
        version = event.get("weight_version")
        return Part(
            str(choice["text"]),
            int(event.get("tokens", 0)),
            version if isinstance(version, int) else None,
            choice.get("finish_reason"),
        )
    except UNUSABLE_JSON as error:
        raise CompletionBrokenError(f"event: {error!r:.100}", True) from None
