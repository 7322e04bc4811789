# SPDX-License-Identifier: MIT

"""
Records of the store that only this project writes, and that cannot be read.
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
    ItemCheckpoint,
    ItemFailed,
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
_PLACE = StoredText((0,), 4)
_RECORDS = (
    _OPENED,
    ItemResultRecorded("job-a", ItemResult("item-0", True, _PLACE, (1, 2), "mark")),
    ItemFailed("job-a", "item-1", "f-1", True),
    ItemCheckpoint("job-a", "item-1", 1, 2, "", "c-1", (1,), _PLACE),
    JobEnded("job-a"),
)
#: A job's record whose fields are of other types, or too few or too many.
_BAD_RECORDS = {
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

_quick = settings(max_examples=300, derandomize=True, database=None, deadline=None)
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


def _no() -> bool:
    return False


def _jobs(log: FakeLog) -> JobService:
    texts = TextStore(log, 1000, 4000)
    return JobService(log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _no, _no)


async def _while_running(
    run: Callable[[], Awaitable[None]], check: Callable[[], Awaitable[None]]
) -> None:
    """
    Check something while a loop runs, which must not end by itself.
    """
    task = asyncio.create_task(run())
    try:
        await check()
        assert not task.done()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("fields", _BAD_RECORDS.values(), ids=_BAD_RECORDS)
def test_a_bad_record_of_a_job_hides_nothing_behind_it(fields):
    """
    It is logged, counted and survived; what may be read of the jobs is as without it.
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
        asyncio.run(_while_running(jobs.run, check))
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
    The claim behind it stands.
    """
    log = FakeLog()

    async def check():
        await log.append("control", [data])
        lease = await leases.claim("orders")
        assert lease is not None and lease.fence == 1
        assert leases.skipped == 1

    leases = LeaseLog(log, "vm-a@127.0.0.1")
    with capture_logs() as lines:
        asyncio.run(_while_running(leases.run, check))
    skipped = [line for line in lines if line["event"] == "record_skipped"]
    assert [line["topic"] for line in skipped] == ["control"]


def test_a_record_of_a_lease_that_is_nested_deeply_is_refused():
    """
    As one that cannot be read, however deep.
    """
    with pytest.raises(UndecodableRecordError):
        decode_record(b"[" * 100_000)


def test_a_text_that_cannot_be_read_is_a_result_that_was_given_up():
    """
    It keeps its position, and the result behind it is read; one line tells of it.
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
        asyncio.run(_while_running(jobs.run, check))
    unreadable = [line for line in lines if line["event"] == "text_unreadable"]
    assert [line["item"] for line in unreadable] == ["item-0"]


def test_a_job_whose_items_cannot_be_read_is_told_of_once():
    """
    It is read again after pauses that double, counted, and no other job waits for it.

    Each of its reads brings the same bytes: without a bound its node read them, and
    wrote a line, ten times a second until the job was ended.
    """
    log = FakeLog()
    good = make_job(1, "job-b")
    reads = 0

    async def check():
        items = encode_job_items(good.items)
        (_, placed) = await texts.write([b"\xff" * 4, items], boot_time() + 1.0)
        bad = make_job_opened(make_job(2), 0)
        records = [bad, JobOpened.of(good, placed)]
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

    async def counted(state):
        nonlocal reads
        reads += state.job.job_id == "job-a"
        return await load(state)

    jobs.load_items = counted
    loader = ItemLoader(jobs, lambda: None)
    with capture_logs() as lines:
        asyncio.run(_while_running(jobs.run, check))
    assert [line["job"] for line in lines if "items" in line["event"]] == ["job-a"]


@st.composite
def _mutated_record(draw: st.DrawFn) -> bytes:
    """
    A good record with a field changed, or with one too many or too few.
    """
    record = draw(st.sampled_from(_RECORDS))
    fields = msgpack.unpackb(encode_job_record(record))
    place = draw(st.integers(0, len(fields) - 1))
    length = draw(st.integers(0, 1))
    fields[place : place + length] = draw(st.lists(_values, max_size=2))
    return msgpack.packb(fields)


@_quick
@given(st.binary(max_size=40) | _values.map(msgpack.packb) | _mutated_record())
def test_whatever_a_record_of_a_job_holds_it_can_be_folded_or_is_refused(data):
    """
    What is folded is used far from where an error could still be told apart.
    """
    book = JobFold()
    for record in _RECORDS[:4]:
        book.apply(record, boot_time())
    try:
        record = decode_job_record(data)
    except UndecodableRecordError:
        return
    assert decode_job_record(encode_job_record(record)) == record
    book.apply(record, boot_time())
    for state in book.open_jobs():
        assert state.failures("item-1") >= 0
        assert state.job.series
        assert book.oldest_allowed(state.job.model) >= 0
    book.forget(boot_time(), 120.0, 300.0)


@_quick
@given(
    st.binary(max_size=40)
    | _values.map(msgpack.packb)
    | st.lists(_values, max_size=8).map(lambda fields: msgpack.packb([fields]))
)
def test_whatever_stands_for_texts_and_items_is_read_or_refused(data):
    """
    Events are texts, and items can be written again as they were.
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


@_quick
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
def test_whatever_a_record_of_a_lease_holds_it_can_be_folded_or_is_refused(data):
    """
    The lease held by another is still known by its name.
    """
    fold = LeaseFold().apply(0, LeaseClaim("r-1", "orders", "vm-a#1", -1))
    try:
        record = decode_record(data)
    except UndecodableRecordError:
        return
    assert decode_record(encode_record(record)) == record
    assert fold.apply(1, record).get("orders").name == "orders"
