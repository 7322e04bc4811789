# SPDX-License-Identifier: MIT

"""
Reads of jobs whose texts are spread over more pages than one call can read.

Guards against a node that reads all pages before it answers: each caller would time
out, and the next node would start at the first page again.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from fake_log import FakeLog

from builders import make_job, make_job_opened
from saddledoor import (
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobFold,
    StoredText,
    encode_job_record,
)
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.jobs.service import JobResultsPage, JobService, JobStateUnknown
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import StoreUnavailableError


#: Bandwidth of a node's link to the store, in bytes per second.
_NODE_BANDWIDTH = 3_000_000
#: Timeout of a caller, in seconds.
_CALLER_TIMEOUT = 1.5
#: Number of items of a job.
_ITEMS = 80
#: Size of each text, in bytes.
_TEXT_SIZE = 6_500
#: Size of the texts of other jobs between two of these, in bytes.
_GAP_SIZE = 70_000
#: Largest record of the log, in bytes.
_LARGEST_RECORD = 262_144


def _false() -> bool:
    return False


class _SlowLink(FakeLog):
    """
    A log behind a link of limited bandwidth, which transfers one page at a time.

    :param fail_after: Number of pages of texts after which their reads fail.
    """

    def __init__(self, log: FakeLog, fail_after: int = 1000) -> None:
        super().__init__(largest_record=_LARGEST_RECORD)
        self.records = log.records
        self._sending = asyncio.Lock()
        self._left = fail_after

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        page = await super().read(stream, start, wait, max_bytes, answer_timeout)
        if stream == "texts":
            self._left -= 1
            if self._left < 0:
                raise StoreUnavailableError("too slow")
            async with self._sending:
                await asyncio.sleep(sum(map(len, page.records)) / _NODE_BANDWIDTH)
        return page


@asynccontextmanager
async def _node(log: FakeLog):
    """
    Run a node with an empty cache of texts.
    """
    texts = TextStore(
        log, largest_record=_LARGEST_RECORD, largest_append=8 * _LARGEST_RECORD
    )
    jobs = JobService(
        log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _false, _false
    )
    task = asyncio.create_task(jobs.run())
    await jobs.sync()
    try:
        yield jobs
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _ended_jobs(*names: str) -> FakeLog:
    """
    Return a log with ended jobs whose texts are spread among others.
    """
    log = FakeLog(largest_record=_LARGEST_RECORD)
    for name in names:
        records = [make_job_opened(make_job(_ITEMS, name))]
        for n in range(_ITEMS):
            offset = len(log.records["texts"])
            log.records["texts"] += [_text(n).encode(), bytes(_GAP_SIZE)]
            result = ItemResult(f"item-{n}", True, StoredText((offset,), _TEXT_SIZE))
            records.append(ItemResultRecorded(name, result))
        records.append(JobEnded(name))
        log.records["jobs"] += map(encode_job_record, records)
    return log


def _text(n: int) -> str:
    return f"{n:05}" * (_TEXT_SIZE // 5)


async def _read_page(
    jobs: JobService, position: int, job_id: str = "job-a"
) -> JobResultsPage | None:
    """
    Read a page of results; None if the call times out or is refused.
    """
    try:
        async with asyncio.timeout(_CALLER_TIMEOUT):
            reading = await jobs.read(job_id, position, 0.0)
    except TimeoutError:
        return None
    return reading if isinstance(reading, JobResultsPage) else None


async def _read_whole(read_page, max_calls: int) -> list[str]:
    """
    Read page after page; repeat a call without an answer.
    """
    texts: list[str] = []
    for _ in range(max_calls):
        reading = await read_page(len(texts))
        if reading is None:
            continue
        texts += [result.text for result in reading.results]
        assert reading.next_position == len(texts)
        if len(texts) == reading.total:
            break
    return texts


@pytest.mark.parametrize("one_node", [True, False])
def test_a_job_whose_texts_are_spread_is_read_in_parts(one_node):
    """
    A caller gets the whole job in a few calls, also if each goes to another node.
    """
    log = _ended_jobs("job-a")

    async def run_scenario():
        async with _node(_SlowLink(log)) as same:

            async def read_page(position):
                if one_node:
                    return await _read_page(same, position)
                async with _node(_SlowLink(log)) as another:
                    return await _read_page(another, position)

            return await _read_whole(read_page, max_calls=6)

    assert asyncio.run(run_scenario()) == [_text(n) for n in range(_ITEMS)]


def test_one_node_reads_two_spread_jobs_concurrently():
    """
    Guards against readers that evict each other's pages from the cache.
    """
    names = ("job-a", "job-b")
    log = _ended_jobs(*names)

    async def run_scenario():
        async with _node(_SlowLink(log)) as jobs:
            readers = (
                _read_whole(
                    lambda at, name=name: _read_page(jobs, at, name), max_calls=6
                )
                for name in names
            )
            return await asyncio.gather(*readers)

    assert asyncio.run(run_scenario()) == [[_text(n) for n in range(_ITEMS)]] * 2


def test_what_was_read_before_a_page_failed_is_answered():
    """
    Guards against one failed page that makes the whole job unreadable.
    """
    log = _ended_jobs("job-a")

    async def run_scenario():
        async with _node(_SlowLink(log, fail_after=2)) as jobs:
            return await _read_page(jobs, 0)

    reading = asyncio.run(run_scenario())
    assert reading is not None
    assert [result.text for result in reading.results] == [_text(n) for n in range(8)]
    assert reading.next_position == 8


def test_a_job_whose_texts_cannot_be_read_is_not_answered_as_empty():
    """
    The node answers that the caller should retry.
    """
    log = _ended_jobs("job-a")

    async def run_scenario():
        async with _node(_SlowLink(log, fail_after=0)) as jobs:
            return await jobs.read("job-a", 0, 0.0)

    assert isinstance(asyncio.run(run_scenario()), JobStateUnknown)


class _SmallPageLog(FakeLog):
    """
    A log whose reads of texts time out for pages above a size, in bytes.
    """

    def __init__(self, log: FakeLog, max_page: int) -> None:
        super().__init__(largest_record=_LARGEST_RECORD)
        self.records = log.records
        self._max_page = max_page

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        if stream == "texts" and max_bytes > self._max_page:
            raise StoreUnavailableError("too slow")
        return await super().read(stream, start, wait, max_bytes, answer_timeout)


def test_texts_are_read_in_smaller_pages_after_a_timeout():
    """
    Guards against a slow link on which every page of the full size times out.
    """
    log = _ended_jobs("job-a")

    async def run_scenario():
        async with _node(_SmallPageLog(log, max_page=100_000)) as jobs:
            return await _read_whole(lambda at: _read_page(jobs, at), max_calls=20)

    assert asyncio.run(run_scenario()) == [_text(n) for n in range(_ITEMS)]
