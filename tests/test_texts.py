# SPDX-License-Identifier: MIT

"""
Texts that are kept apart from the records that every node reads.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog

from saddledoor import StoredText
from saddledoord.cluster.follow import LogFollower
from saddledoord.jobs import texts as texts_module
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import StoreUnavailableError


def _store(log: FakeLog) -> TextStore:
    return TextStore(log, largest_record=1000, largest_append=4000)


def test_a_text_larger_than_a_record_comes_back_whole():
    """
    Cut into records, and into several appends, between texts that are short or empty.
    """
    log = FakeLog()
    made = [b"short", bytes(range(256)) * 50, b"", b"end"]

    async def play():
        written = await _store(log).write(made)
        return written, await _store(log).read(written)

    written, read = asyncio.run(play())
    assert read == made
    assert [text.size for text in written] == [len(text) for text in made]


def test_a_text_whose_append_lost_its_answer_is_written_again():
    """
    It stands in the log twice; one of the copies is named.
    """
    log = FakeLog()
    log.lose = 1

    async def play():
        written = await _store(log).write([b"text"])
        return await _store(log).read(written)

    assert asyncio.run(play()) == [b"text"]
    assert log.records["texts"] == [b"text", b"text"]


def test_neighbouring_texts_are_read_at_once_and_by_one_reader():
    """
    A hundred items that are taken up together cost one read.
    """
    log = FakeLog()

    async def play():
        written = await _store(log).write([b"%d" % n for n in range(100)])
        store = _store(log)
        return await asyncio.gather(*(store.read([text]) for text in written))

    assert asyncio.run(play()) == [[b"%d" % n] for n in range(100)]
    assert log.reads["texts"] == 1


def test_readers_that_wait_behind_a_failed_read_fail_at_once():
    """
    Each would wait for the store's silence in turn otherwise.
    """
    log = FakeLog()

    async def play():
        written = await _store(log).write([b"%d" % n for n in range(9)])
        log.away = True
        store = _store(log)
        reads = (store.read([text]) for text in written)
        return await asyncio.gather(*reads, return_exceptions=True)

    outcomes = asyncio.run(play())
    assert all(isinstance(outcome, StoreUnavailableError) for outcome in outcomes)
    assert log.reads["texts"] == 1


def test_a_text_that_the_log_does_not_hold_is_an_error():
    """
    Not an empty text.
    """
    with pytest.raises(StoreUnavailableError):
        asyncio.run(_store(FakeLog()).read([StoredText((3,), 10)]))


def test_what_is_remembered_is_bounded(monkeypatch):
    """
    The oldest texts are read again.
    """
    monkeypatch.setattr(texts_module, "_REMEMBERED", 1000)
    log = FakeLog()

    async def play():
        store = _store(log)
        written = await store.write([bytes(400)] * 10)
        await store.read(written[-1:])
        assert log.reads["texts"] == 0
        return await store.read(written[:1])

    assert asyncio.run(play()) == [bytes(400)]
    assert log.reads["texts"] == 1


def test_callers_that_want_the_log_s_end_share_reads():
    """
    Those who wait behind a read are answered by the next one, all of them.
    """
    log = FakeLog()
    seen: list[bytes] = []

    async def play():
        follower = LogFollower(log, "jobs", lambda offset, data: seen.append(data))
        following = asyncio.create_task(follower.run())
        await follower.sync()
        log.reads.clear()
        log.records["jobs"].append(b"news")
        answers = await asyncio.gather(*(follower.sync() for _ in range(50)))
        following.cancel()
        return answers

    assert asyncio.run(play()) == [True] * 50
    assert seen == [b"news"]
    assert log.reads["jobs"] <= 3
