# SPDX-License-Identifier: MIT

"""
Storage of texts in a stream of their own.
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
    It is split into records and several appends, between short and empty texts.
    """
    log = FakeLog()
    payloads = [b"short", bytes(range(256)) * 50, b"", b"end"]

    async def scenario():
        stored = await _store(log).write(payloads)
        return stored, await _store(log).read(stored)

    stored, read = asyncio.run(scenario())
    assert read == payloads
    assert [text.size for text in stored] == [len(text) for text in payloads]


def test_a_text_whose_append_lost_its_answer_is_written_again():
    """
    The log then holds it twice; one copy is referenced.
    """
    log = FakeLog()
    log.lose_answers = 1

    async def scenario():
        stored = await _store(log).write([b"text"])
        return await _store(log).read(stored)

    assert asyncio.run(scenario()) == [b"text"]
    assert log.records["texts"] == [b"text", b"text"]


def test_neighbouring_texts_are_read_at_once_and_by_one_reader():
    """
    A hundred items that start together cost one read.
    """
    log = FakeLog()

    async def scenario():
        stored = await _store(log).write([b"%d" % n for n in range(100)])
        store = _store(log)
        return await asyncio.gather(*(store.read([text]) for text in stored))

    assert asyncio.run(scenario()) == [[b"%d" % n] for n in range(100)]
    assert log.reads["texts"] == 1


def test_readers_that_wait_behind_a_failed_read_fail_at_once():
    """
    Otherwise each of them would wait for its own timeout.
    """
    log = FakeLog()

    async def scenario():
        stored = await _store(log).write([b"%d" % n for n in range(9)])
        log.unreachable = True
        store = _store(log)
        reads = (store.read([text]) for text in stored)
        return await asyncio.gather(*reads, return_exceptions=True)

    outcomes = asyncio.run(scenario())
    assert all(isinstance(outcome, StoreUnavailableError) for outcome in outcomes)
    assert log.reads["texts"] == 1


def test_a_text_that_the_log_does_not_hold_is_an_error():
    """
    It must not be read as an empty text.
    """
    with pytest.raises(StoreUnavailableError):
        asyncio.run(_store(FakeLog()).read([StoredText((3,), 10)]))


def test_the_cache_of_texts_is_bounded(monkeypatch):
    """
    The oldest texts are evicted and read again.
    """
    monkeypatch.setattr(texts_module, "_CACHE_SIZE", 1000)
    log = FakeLog()

    async def scenario():
        store = _store(log)
        stored = await store.write([bytes(400)] * 10)
        await store.read(stored[-1:])
        assert log.reads["texts"] == 0
        return await store.read(stored[:1])

    assert asyncio.run(scenario()) == [bytes(400)]
    assert log.reads["texts"] == 1


def test_callers_that_synchronise_with_the_log_share_reads():
    """
    All callers that wait for a running read are served by the next one.
    """
    log = FakeLog()
    seen: list[bytes] = []

    async def scenario():
        follower = LogFollower(log, "jobs", lambda offset, data: seen.append(data))
        following = asyncio.create_task(follower.run())
        await follower.sync()
        log.reads.clear()
        log.records["jobs"].append(b"news")
        answers = await asyncio.gather(*(follower.sync() for _ in range(50)))
        following.cancel()
        return answers

    assert asyncio.run(scenario()) == [True] * 50
    assert seen == [b"news"]
    assert log.reads["jobs"] <= 3
