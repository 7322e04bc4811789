# SPDX-License-Identifier: MIT

"""
Events of a stream that arrives in chunks of any size.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import given
from hypothesis import strategies as st
from send_permits import make_permit

from engines import EngineClient
from event_stream import EventSplitter
from saddledoor import EngineEntry
from saddledoord._clock import boot_time
from saddledoord.ports import ForwardedRequest, Generation, GenerationFailedError


#: Characters that `str.splitlines` or `str.strip` treat as line ends or white space.
_SPECIAL = "\u2028\u2029\x85\x0b\x0c\x1c\x1d\x1e\x1f\xa0\t \ufeff"
_TEXT = st.text(st.characters(exclude_characters="\r\n", exclude_categories=["Cs"]))
_LINE = st.one_of(_TEXT, st.text(_SPECIAL + "ab:"))
_END = st.sampled_from(["\n", "\r", "\r\n"])


def _split(chunks: list[bytes]) -> tuple[list[list[str]], bool]:
    splitter = EventSplitter()
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    return events, splitter.is_within_event


def _cut(data: bytes, positions: list[int]) -> list[bytes]:
    cuts = sorted({0, len(data), *(p % (len(data) + 1) for p in positions)})
    return [data[start:end] for start, end in itertools.pairwise(cuts)]


@given(
    st.lists(
        st.tuples(
            st.lists(st.tuples(_LINE.filter(bool), _END), min_size=1, max_size=4), _END
        ),
        max_size=5,
    ),
    st.lists(st.integers(0, 10_000), max_size=30),
)
def test_the_lines_kept_are_the_lines_sent(events, positions):
    """
    Text would be lost at characters that only Python takes for line ends.
    """
    text = "".join(
        "".join(line + end for line, end in lines) + empty for lines, empty in events
    )
    # A line that ends with CR and an empty line that ends with LF are one line end, so
    # what was sent is read by the letter of the definition.
    assert _split(_cut(text.encode(), positions)) == _read_by_definition(text)


def _read_by_definition(text: str) -> tuple[list[list[str]], bool]:
    """
    Return the events of a text, and whether it ends within one.
    """
    *ended, rest = text.replace("\r\n", "\n").replace("\r", "\n").split("\n")
    events: list[list[str]] = []
    lines: list[str] = []
    for line in ended:
        if line and not line.startswith(":"):
            lines.append(line)
        elif lines and not line:
            events.append(lines)
            lines = []
    return events, bool(rest or lines)


_BYTES = st.lists(
    st.sampled_from([b"\r", b"\n", b"\r\n", b"a", b":", b"\xe2\x80\xa8", b"\xff"]),
    max_size=30,
).map(b"".join)


@given(
    st.one_of(_BYTES, st.binary(max_size=60)),
    st.lists(st.integers(0, 100), max_size=20),
)
def test_cuts_change_nothing(data, positions):
    """
    Whatever the bytes are, they are read alike in one chunk and in many.
    """

    def read(chunks):
        try:
            return _split(chunks)
        except ValueError:
            return None

    assert read(_cut(data, positions)) == read([data])


@pytest.mark.parametrize("end", ["\n", "\r", "\r\n"])
def test_an_event_is_passed_on_when_its_empty_line_has_come(end):
    """
    It must not wait for the next event.
    """
    data = f"id: 1{end}data: a{end}{end}".encode()
    splitter = EventSplitter()
    events = [event for byte in data for event in splitter.feed(bytes([byte]))]
    assert events == [["id: 1", "data: a"]]
    assert not splitter.is_within_event


def test_comments_are_no_events():
    """
    They keep a connection open and carry no text.
    """
    assert _split([b": still here\n\n:\n\ndata: a\n: b\n\n"]) == ([["data: a"]], False)


def test_an_event_without_an_end_is_bounded():
    """
    It would take all memory.
    """
    splitter = EventSplitter()
    with pytest.raises(ValueError, match="more than"):
        for _ in range(4):
            list(splitter.feed(b"a" * (1 << 20)))


def _generate(body: bytes, length: int | None = None) -> list[tuple[int, str]]:
    async def answer(request: web.Request) -> web.StreamResponse:
        headers = {"Saddledoor-Attempt-Id": request.headers["Saddledoor-Attempt-Id"]}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for byte in body:
            await response.write(bytes([byte]))
        return response

    async def play() -> list[tuple[int, str]]:
        app = web.Application()
        app.router.add_post("/roll", answer)
        async with TestServer(app, host="127.0.0.1") as server:
            address = f"127.0.0.1:{server.port}"
            engine = EngineEntry("engine-a", "pool", address, "dc-a", 4)
            client = EngineClient.open()
            request = ForwardedRequest("POST", "a", "/roll", (), b"", "i-1")
            generation = Generation(request, 0, 0)
            try:
                stream = client.generate(
                    make_permit(engine, boot_time()), generation, lambda: None
                )
                return [(e.number, e.data) async for e in stream]
            finally:
                await client.close()

    return asyncio.run(play())


@pytest.mark.parametrize("end", ["\n", "\r", "\r\n"])
def test_a_stream_s_text_is_what_the_engine_sent(end):
    """
    With each form of line end, and with characters that are none.
    """
    texts = [f"a{_SPECIAL}b", "", " leading", "trailing "]
    body = "".join(
        f"id: {number}{end}data: {text}{end}{end}"
        for number, text in enumerate(texts, 1)
    )
    assert _generate(body.encode()) == list(enumerate(texts, 1))


def test_a_stream_that_ends_within_an_event_is_broken():
    """
    The last event has no empty line, so it may be incomplete.
    """
    with pytest.raises(GenerationFailedError) as failure:
        _generate(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
    assert failure.value.outcome == GenerationFailedError.BROKEN


@pytest.mark.parametrize("number", ["1_0", " 1", "\u0661", "-1", ""])
def test_a_number_that_is_not_one_breaks_the_stream(number):
    """
    `int` would accept these characters; the event's place in the text is uncertain.
    """
    with pytest.raises(GenerationFailedError) as failure:
        _generate(f"id: {number}\ndata: a\n\n".encode())
    assert failure.value.outcome == GenerationFailedError.BROKEN


@pytest.mark.parametrize("filler", [b"\n", b"\r\n", b":\n", b": comment\r"])
def test_comments_and_empty_lines_without_end_are_refused(filler):
    """
    An engine that sends them for ever stopped the edges that read its stream.
    """
    splitter = EventSplitter()
    with pytest.raises(ValueError, match="no event"):
        for _ in range(200):
            list(splitter.feed(filler * 1000))


def test_comments_between_events_may_go_on():
    """
    Guards against a limit that counts those of the whole stream.
    """
    splitter = EventSplitter()
    comments = b": comment\n" * 2000 + b"\n" * 100
    events = [
        lines
        for number in range(50)
        for lines in splitter.feed(comments + b"data: %d\n\n" % number)
    ]
    assert events == [[f"data: {number}"] for number in range(50)]


def test_an_event_of_the_largest_size_is_whole():
    """
    Guards against a limit below the size of a long text in one event.
    """
    data = b"x" * 2_000_000
    (lines,) = EventSplitter().feed(b"data: " + data + b"\n\n")
    assert len(lines[0]) == len(data) + 6
