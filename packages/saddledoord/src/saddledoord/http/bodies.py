# SPDX-License-Identifier: MIT

"""
Reads request bodies and encodes response bodies of the HTTP interface.
"""

from __future__ import annotations

import asyncio
import io
import json
import time

from saddledoor import (
    Answer,
    NotRun,
    OutcomeUnknown,
    Part,
    ResultCode,
    decoded_json_size,
)

from .._state import NodeState
from ..request_memory import ClientLeftError, NoRoomError, take_room
from .memory import EncodedRefusal, no_room


__all__ = [
    "completion_media",
    "encode_event",
    "encode_memory_refusal",
    "encode_refusal",
    "error_body",
    "part_media",
    "read_body",
    "read_json",
]

#: Timeout of reading a request body without a configuration, in seconds.
_DEFAULT_BODY_TIMEOUT = 5.0

JSON = "application/json"


def encode_refusal(resp, outcome: NotRun | OutcomeUnknown) -> None:
    """
    Write a refusal to the response.
    """
    resp.status = outcome.code.http_status
    resp.content_type = JSON
    resp.text = json.dumps({"error": error_body(outcome)})
    if isinstance(outcome, NotRun) and outcome.retry_after > 0:
        resp.set_header("Retry-After", f"{outcome.retry_after:.1f}")
    if outcome.code is ResultCode.BODY_TIMEOUT:
        resp.set_header("Connection", "close")


def error_body(outcome: NotRun | OutcomeUnknown) -> dict[str, object]:
    """
    Return the error object of a refusal.
    """
    body: dict[str, object] = {
        "code": int(outcome.code),
        "name": outcome.code.name.lower(),
        "family": outcome.code.family.value,
        "message": outcome.detail,
    }
    if isinstance(outcome, NotRun):
        body["retry_after_s"] = outcome.retry_after
    return body


async def read_body(req, state: NodeState, max_bytes: int) -> bytes | NotRun:
    """
    Read a request body; return a refusal if it is too large or too slow.
    """
    deployment = state.deployment
    timeout = deployment.limits.body_timeout_s if deployment else _DEFAULT_BODY_TIMEOUT
    if (req.content_length or 0) > max_bytes:
        detail = f"{req.content_length} bytes; at most {max_bytes}"
        return NotRun(ResultCode.TOO_LARGE, detail, 0.0)
    # Returns its content without a copy.
    body = io.BytesIO()
    try:
        async with asyncio.timeout(timeout):
            async for chunk in req.stream:
                body.write(chunk)
                if body.tell() > max_bytes:
                    detail = f"at most {max_bytes} bytes"
                    return NotRun(ResultCode.TOO_LARGE, detail, 0.0)
    except TimeoutError:
        detail = f"the body did not end within {timeout} s"
        return NotRun(ResultCode.BODY_TIMEOUT, detail, 0.0)
    except ClientLeftError:
        return NotRun(ResultCode.BODY_TIMEOUT, "the client has left", 0.0)
    except NoRoomError:
        return no_room()
    return body.getvalue()


async def read_json(req, state: NodeState, max_bytes: int) -> bytes | NotRun:
    """
    Read a request body as `read_body`, with room to decode it.
    """
    body = await read_body(req, state, max_bytes)
    if isinstance(body, bytes) and not take_room(decoded_json_size(body)):
        return no_room()
    return body


def encode_memory_refusal(outcome: NotRun) -> EncodedRefusal:
    """
    Return the headers and the body of a refusal that the server sends.
    """
    headers = [
        (b"content-type", JSON.encode()),
        (b"retry-after", f"{outcome.retry_after:.1f}".encode()),
    ]
    return headers, json.dumps({"error": error_body(outcome)}).encode()


def completion_media(answer: Answer, model: str) -> dict[str, object]:
    """
    Return the response body of a completion.
    """
    return {
        "object": "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [
            {"index": 0, "text": answer.text, "finish_reason": answer.finish_reason}
        ],
        "usage": {"completion_tokens": answer.tokens},
        "weight_versions": [[r.version, r.first, r.last] for r in answer.runs],
    }


def part_media(part: Part) -> dict[str, object]:
    """
    Return the data of one event of a streamed completion.
    """
    return {
        "choices": [
            {"index": 0, "text": part.text, "finish_reason": part.finish_reason}
        ],
        "tokens": part.tokens,
        "weight_version": part.version,
    }


def encode_event(data: dict[str, object]) -> bytes:
    """
    Encode a server-sent event.
    """
    return f"data: {json.dumps(data)}\n\n".encode()
