# SPDX-License-Identifier: MIT

"""
Answers of engines that are no valid HTTP, or hold no valid text.
"""

from __future__ import annotations

import asyncio

import pytest
from raw_server import answer_head, open_raw_server
from send_permits import make_permit

from engines import EngineClient
from saddledoor import EngineEntry, OutcomeUnknown
from saddledoord._clock import boot_time
from saddledoord.ports import (
    EngineAnswer,
    ForwardedRequest,
    Generation,
    GenerationFailedError,
    UnusableAnswer,
)


_SEAL = b"Saddledoor-Server-Seal: mark"
_LENGTH = b"Content-Length: 2"
_CHUNKED = b"Transfer-Encoding: chunked"


def _call(answer: bytes):
    """
    Return the outcome of a call that gets an answer.
    """

    async def run():
        client = EngineClient.open()
        try:
            async with open_raw_server(lambda: answer) as address:
                engine = EngineEntry("engine-a", "pool", address, "dc-a", 4)
                request = ForwardedRequest("POST", "a", "/look", (), b"x", "r-1", True)
                return await client.call(make_permit(engine, boot_time()), request, 5.0)
        finally:
            await client.close()

    return asyncio.run(run())


def _events(answer: bytes) -> list[str]:
    """
    Return the events of a stream that gets an answer.
    """

    async def run():
        client = EngineClient.open()
        try:
            async with open_raw_server(lambda: answer) as address:
                engine = EngineEntry("engine-a", "pool", address, "dc-a", 4)
                request = ForwardedRequest("POST", "a", "/roll", (), b"x", "r-1")
                stream = client.generate(
                    make_permit(engine, boot_time()),
                    Generation(request, 0, 0),
                    lambda: None,
                )
                return [event.data async for event in stream]
        finally:
            await client.close()

    return asyncio.run(run())


@pytest.mark.parametrize("mark", [b"ma\xe9rk", b"\xff", b"m\xc3\xa4rk", b"ma rk", b""])
def test_a_mark_that_is_no_text_makes_an_answer_unusable(mark):
    """
    It became a score that could not be encoded, which ended the process.
    """
    head = answer_head("200 OK", b"Saddledoor-Server-Seal: " + mark, _LENGTH)
    assert isinstance(_call(head + b"\r\nhi"), UnusableAnswer)


@pytest.mark.parametrize(
    "line", [b"X-Odd: a\x01b", b"X-Odd: \x7f", b"X(Odd): a", b"X-\xe9: a"]
)
def test_an_answer_with_an_invalid_head_is_unusable(line):
    """
    It could not be passed on, and the caller's connection ended without an answer.
    """
    outcome = _call(answer_head("200 OK", _SEAL, line, _LENGTH) + b"\r\nhi")
    assert isinstance(outcome, OutcomeUnknown)


@pytest.mark.parametrize("status", ["099 Odd", "101 Switching Protocols"])
def test_an_answer_with_the_head_of_no_final_response_is_unusable(status):
    """
    Such a status cannot be passed on.
    """
    outcome = _call(answer_head(status, _SEAL, _LENGTH) + b"\r\nhi")
    assert isinstance(outcome, OutcomeUnknown)


def test_a_header_that_is_not_utf_8_is_passed_on():
    """
    HTTP allows other bytes in a value that is not interpreted.
    """
    outcome = _call(answer_head("200 OK", _SEAL, b"X-Odd: \xe9", _LENGTH) + b"\r\nhi")
    assert isinstance(outcome, EngineAnswer)
    assert ("X-Odd", "\udce9") in outcome.headers


def test_a_stream_that_closes_its_connection_by_an_invalid_body_is_broken():
    """
    The client raised an error that was no failed attempt of the item.
    """
    head = answer_head("200 OK", _CHUNKED) + b"\r\n"
    event = b"id: 1\ndata: a\n\n"
    chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
    with pytest.raises(GenerationFailedError) as caught:
        _events(head + chunk + b"no length\r\n")
    assert caught.value.outcome == GenerationFailedError.BROKEN
