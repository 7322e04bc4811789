# SPDX-License-Identifier: MIT

"""
Invalid records and texts in the store, which only this project writes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import msgpack
import pytest
from fake_log import FakeLog
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from builders import make_job, make_job_opened
from saddledoor import (
    FailureCounted,
    ItemCheckpoint,
    ItemFailed,
    ItemRejected,
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobFold,
    JobOpened,
    LeaseClaim,
    LeaseFold,
    StoredText,
    decode_events,
    decode_job_items,
    decode_job_record,
    decode_record,
    encode_job_items,
    encode_job_record,
    encode_record,
)
from saddledoor.exceptions import UndecodableRecordError
from saddledoord._clock import boot_time
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.cluster.leases import LeaseLog
from saddledoord.jobs.item_loader import ItemLoader
from saddledoord.jobs.service import JobService
from saddledoord.jobs.texts import TextStore


_OPENED = make_job_opened(make_job(2))
_STORED = StoredText((0,), 4)
_RECORDS = (
    _OPENED,
    ItemResultRecorded("job-a", ItemResult("item-0", True, _STORED, (1, 2), "mark")),
    ItemFailed("job-a", "item-1", "f-1", True),
    ItemRejected("job-a", "0123abcd"),
    FailureCounted("job-a", "0123abcd", "f-1"),
    ItemCheckpoint("job-a", "item-1", 1, 2, "", "c-1", (1,), _STORED),
    JobEnded("job-a"),
)
#: Job records with fields of the wrong type, or with missing fields.
_INVALID_RECORDS = {
    "a list for an id": ["o", ["x"], "h", "/p", "m", 1, 1, 1, 2, [0], 4],
    "a text for a version": ["o", "j", "h", "/p", "m", 1, "1", 1, 2, [0], 4],
    "a text for a size": ["o", "j", "h", "/p", "m", 1, 1, 1, "2", [0], 4],
    "an offset below 0": ["o", "j", "h", "/p", "m", 1, 1, 1, 2, [-1], 4],
    "too few fields": ["o", "j"],
    "a list for a failure": ["f", "job-a", "item-1", ["f-1"], True],
    "a text for the first event": [
        "k",
        "job-a",
        "item-1",
        "1",
        1,
        "",
        "c",
        [1],
        [0],
        4,
    ],
    "a text for versions": ["r", "job-a", "item-1", True, "12", "mark", [0], 4],
    "a map for an item": ["r", "job-a", {"a": 1}, True, [1], "mark", [0], 4],
    "a list for an ended job": ["e", ["job-a"]],
    "an unknown kind": ["z", "job-a"],
    "a list for a kind": [["o"], "job-a"],
    "a number": 7,
    "nothing": None,
    "an empty list": [],
}

_settings = settings(max_examples=300, derandomize=True, database=None, deadline=None)
_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 2**63)
    | st.floats()
    | st.text(max_size=6)
    | st.binary(max_size=6)
    | st.sampled_from(["o", "r", "f", "k", "e", "job-a", "item-0", "item-1"]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def _never() -> bool:
    return False


def _jobs(log: FakeLog) -> JobService:
    texts = TextStore(log, 1000, 4000)
    return JobService(
        log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _never, _never
    )


async def _run_while_checking(
    run: Callable[[], Awaitable[None]], check: Callable[[], Awaitable[None]]
) -> None:
    """
    Run a check while a loop runs, and assert that the loop does not end.
    """
    task = asyncio.create_task(run())
    try:
        await check()
        assert not task.done()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("fields", _INVALID_RECORDS.values(), ids=_INVALID_RECORDS)
def test_a_bad_record_of_a_job_hides_nothing_behind_it(fields):
    """
    An invalid job record is logged, counted and skipped; later records are applied.
    """
    log = FakeLog()

    async def check():
        await log.append("jobs", [encode_job_record(_OPENED), msgpack.packb(fields)])
        await log.append("jobs", [encode_job_record(_RECORDS[2])])
        assert await jobs.sync()
        (state,) = jobs.open_jobs()
        assert state.score_failures("item-1") == 1
        assert jobs.skipped == 1

    jobs = _jobs(log)
    with capture_logs() as lines:
        asyncio.run(_run_while_checking(jobs.run, check))
    (line,) = [line for line in lines if line["event"] == "record_skipped"]
    assert (line["topic"], line["offset"]) == ("jobs", 1)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[" * 900,
        b'{"kind": "lease_claim", "name": [], "holder": 1, "seen": 1e999}',
        b'{"kind": ["lease_claim"]}',
        b'{"kind": "lease_renewal", "name": "\\ud800", "fence": 1}',
    ],
)
def test_a_bad_record_of_a_lease_hides_nothing_behind_it(data):
    """
    An invalid lease record is logged, counted and skipped; later claims are applied.
    """
    log = FakeLog()

    async def check():
        await log.append("control", [data])
        lease = await leases.claim("orders")
        assert lease is not None and lease.fence == 1
        assert leases.skipped == 1

    leases = LeaseLog(log, "vm-a@127.0.0.1")
    with capture_logs() as lines:
        asyncio.run(_run_while_checking(leases.run, check))
    skipped = [line for line in lines if line["event"] == "record_skipped"]
    assert [line["topic"] for line in skipped] == ["control"]


def test_a_record_of_a_lease_that_is_nested_deeply_is_refused():
    """
    Deeply nested JSON is rejected as undecodable.
    """
    with pytest.raises(UndecodableRecordError):
        decode_record(b"[" * 100_000)


def test_an_unreadable_text_is_an_abandoned_result():
    """
    Its result keeps its position, later results are readable, and one line is logged.
    """
    log = FakeLog()

    async def check():
        await log.append("texts", [b"\xff\xfe\xfd", b"good"])
        results = [
            ItemResult("item-0", True, StoredText((0,), 3), (1,), "mark"),
            ItemResult("item-1", True, StoredText((1,), 4), (1,), "mark"),
        ]
        records = [
            _OPENED,
            *(ItemResultRecorded("job-a", result) for result in results),
        ]
        await log.append("jobs", [encode_job_record(record) for record in records])
        for _ in range(2):
            reading = await jobs.read("job-a", 0, 0.0)
            assert [read.result.done for read in reading.results] == [False, True]
            assert [read.text for read in reading.results] == ["", "good"]
        assert jobs.unreadable_texts == 1

    jobs = _jobs(log)
    with capture_logs() as lines:
        asyncio.run(_run_while_checking(jobs.run, check))
    unreadable = [line for line in lines if line["event"] == "text_unreadable"]
    assert [line["item"] for line in unreadable] == ["item-0"]


def test_a_job_whose_items_cannot_be_read_is_logged_once():
    """
    Items are read again with exponential backoff, and do not delay other jobs.

    Guards against reading and logging invalid items in a busy loop until the job ends.
    """
    log = FakeLog()
    good = make_job(1, "job-b")
    reads = 0

    async def check():
        items = encode_job_items(good.items)
        (_, stored) = await texts.write([b"\xff" * 4, items], boot_time() + 1.0)
        bad = make_job_opened(make_job(2), 0)
        records = [bad, JobOpened.of(good, stored)]
        await log.append("jobs", [encode_job_record(record) for record in records])
        assert await jobs.sync()
        until = boot_time() + 0.8
        while boot_time() < until:
            for state in jobs.open_jobs():
                loader.request_items(state)
            await asyncio.sleep(0.02)
        (unread, read) = jobs.open_jobs()
        assert (unread.items, len(read.items)) == (None, 1)
        assert (loader.unreadable, reads) == (1, 4)

    jobs = _jobs(log)
    texts = TextStore(log, 1000, 4000)
    load = jobs.load_items

    async def load_and_count(state):
        nonlocal reads
        reads += state.job.job_id == "job-a"
        return await load(state)

    jobs.load_items = load_and_count
    loader = ItemLoader(jobs, lambda: None)
    with capture_logs() as lines:
        asyncio.run(_run_while_checking(jobs.run, check))
    assert [line["job"] for line in lines if "items" in line["event"]] == ["job-a"]


@st.composite
def _mutated_record(draw: st.DrawFn) -> bytes:
    """
    Return a valid record with a field replaced, added or removed.
    """
    record = draw(st.sampled_from(_RECORDS))
    fields = msgpack.unpackb(encode_job_record(record))
    index = draw(st.integers(0, len(fields) - 1))
    length = draw(st.integers(0, 1))
    fields[index : index + length] = draw(st.lists(_values, max_size=2))
    return msgpack.packb(fields)


@_settings
@given(st.binary(max_size=40) | _values.map(msgpack.packb) | _mutated_record())
def test_a_job_record_is_foldable_or_refused(data):
    """
    A job record that is not rejected can be folded, and the job's state stays usable.
    """
    fold = JobFold()
    for record in _RECORDS[:4]:
        fold.apply(record, boot_time())
    try:
        record = decode_job_record(data)
    except UndecodableRecordError:
        return
    assert decode_job_record(encode_job_record(record)) == record
    fold.apply(record, boot_time())
    for state in fold.open_jobs():
        assert state.failures("item-1") >= 0
        assert state.job.series
        assert fold.oldest_allowed(state.job.model) >= 0
    fold.forget(boot_time(), 120.0, 300.0)


@_settings
@given(
    st.binary(max_size=40)
    | _values.map(msgpack.packb)
    | st.lists(_values, max_size=8).map(lambda fields: msgpack.packb([fields]))
)
def test_texts_and_items_are_decodable_or_refused(data):
    """
    Decoded events are strings, and decoded items survive another encoding.
    """
    for decode in (decode_events, decode_job_items):
        try:
            decoded = decode(data)
        except UndecodableRecordError:
            continue
        if decode is decode_events:
            assert all(isinstance(event, str) for event in decoded)
        else:
            assert decode_job_items(encode_job_items(decoded)) == decoded


@_settings
@given(
    st.binary(max_size=40)
    | st.dictionaries(
        st.sampled_from(["kind", "name", "holder", "seen", "record_id", "fence"]),
        st.sampled_from(["lease_claim", "lease_renewal", "lease_release", "orders"])
        | st.integers()
        | st.floats()
        | st.none()
        | st.lists(st.integers(), max_size=2),
    ).map(lambda value: json.dumps(value).encode())
)
def test_a_lease_record_is_foldable_or_refused(data):
    """
    A lease record that is not rejected can be folded, and keeps the lease's name.
    """
    fold = LeaseFold().apply(0, LeaseClaim("r-1", "orders", "vm-a#1", -1))
    try:
        record = decode_record(data)
    except UndecodableRecordError:
        return
    assert decode_record(encode_record(record)) == record
    assert fold.apply(1, record).get("orders").name == "orders"
