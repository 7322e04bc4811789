# SPDX-License-Identifier: MIT

"""
Reading jobs whose texts stand far apart, among those of other trainers.

The story: two jobs were accepted, ran for seven to eight seconds, were ended, and could
not be read when the day was over, however often and wherever they were asked for; other
jobs could. Four trainers share one stream of texts, so the texts of a job that ran long
are spread over megabytes. A node read all of them, page after page, before it answered;
the caller left first, and the next node began at the first page again.

The evidence, from the record of a day of the same kind: a node had 3,003 KB of pages in
one second and 912 KB in the next, sent 7 KB in both, and logged that its callers left;
two more did the same. They took no more than 4 % of a processor.
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


#: What a node's link brings of pages, in bytes a second; it is the record's figure.
_LINK = 3_000_000
#: How long a caller that allows no wait has patience for the answer, in seconds.
_CALLER_LIMIT = 1.5
#: Items of the job and bytes of each text, and bytes that other trainers' jobs write
#: meanwhile: four trainers write 0.6 MB a second, and the job runs for ten seconds.
_ITEMS = 80
_TEXT = 6_500
_BETWEEN = 70_000
_LARGEST = 262_144


def _no() -> bool:
    return False


class _Link(FakeLog):
    """
    What one node sees of a log: each page takes its time, one after the other.

    :param fail_after: Pages of texts that come before reads of them fail, a count.
    """

    def __init__(self, log: FakeLog, fail_after: int = 1000) -> None:
        super().__init__(largest_record=_LARGEST)
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
                await asyncio.sleep(sum(map(len, page.records)) / _LINK)
        return page


@asynccontextmanager
async def _node(log: FakeLog):
    """
    Run a node that holds none of the texts.
    """
    texts = TextStore(log, largest_record=_LARGEST, largest_append=8 * _LARGEST)
    jobs = JobService(log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _no, _no)
    task = asyncio.create_task(jobs.run())
    await jobs.sync()
    try:
        yield jobs
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _ended_jobs(*names: str) -> FakeLog:
    """
    Return a log that holds jobs, each spread over 6.1 MB of texts.
    """
    log = FakeLog(largest_record=_LARGEST)
    for name in names:
        records = [make_job_opened(make_job(_ITEMS, name))]
        for n in range(_ITEMS):
            place = len(log.records["texts"])
            log.records["texts"] += [_text(n).encode(), bytes(_BETWEEN)]
            result = ItemResult(f"item-{n}", True, StoredText((place,), _TEXT))
            records.append(ItemResultRecorded(name, result))
        records.append(JobEnded(name))
        log.records["jobs"] += map(encode_job_record, records)
    return log


def _text(n: int) -> str:
    return f"{n:05}" * (_TEXT // 5)


async def _ask(
    jobs: JobService, position: int, job_id: str = "job-a"
) -> JobResultsPage | None:
    """
    Read as a caller does, who leaves when it has waited long enough.
    """
    try:
        async with asyncio.timeout(_CALLER_LIMIT):
            reading = await jobs.read(job_id, position, 0.0)
    except TimeoutError:
        return None
    return reading if isinstance(reading, JobResultsPage) else None


async def _read_whole(ask, most_asks: int) -> list[str]:
    """
    Read on from where the last answer ended, and again after none.
    """
    texts: list[str] = []
    for _ in range(most_asks):
        reading = await ask(len(texts))
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
    In six asks; it was never read by a caller that goes to another node each time. One
    that stays may be lucky: its node remembers 2 MB of what it read in vain.
    """
    log = _ended_jobs("job-a")

    async def play():
        async with _node(_Link(log)) as same:

            async def ask(position):
                if one_node:
                    return await _ask(same, position)
                async with _node(_Link(log)) as another:
                    return await _ask(another, position)

            return await _read_whole(ask, most_asks=6)

    assert asyncio.run(play()) == [_text(n) for n in range(_ITEMS)]


def test_two_spread_jobs_are_read_at_one_node_at_once():
    """
    In four asks each. Each reader drove the other's pages out of the node's memory, and
    neither had anything in 19 asks and 30 s.
    """
    names = ("job-a", "job-b")
    log = _ended_jobs(*names)

    async def play():
        async with _node(_Link(log)) as jobs:
            readers = (
                _read_whole(lambda at, name=name: _ask(jobs, at, name), most_asks=6)
                for name in names
            )
            return await asyncio.gather(*readers)

    assert asyncio.run(play()) == [[_text(n) for n in range(_ITEMS)]] * 2


def test_what_was_read_before_a_page_failed_is_answered():
    """
    Otherwise one page in twenty that does not come keeps the whole job from its reader.
    """
    log = _ended_jobs("job-a")

    async def play():
        async with _node(_Link(log, fail_after=2)) as jobs:
            return await _ask(jobs, 0)

    reading = asyncio.run(play())
    assert reading is not None
    assert [result.text for result in reading.results] == [_text(n) for n in range(8)]
    assert reading.next_position == 8


def test_a_job_none_of_whose_texts_comes_is_not_answered_as_empty():
    """
    The node says that it is not sure.
    """
    log = _ended_jobs("job-a")

    async def play():
        async with _node(_Link(log, fail_after=0)) as jobs:
            return await jobs.read("job-a", 0, 0.0)

    assert isinstance(asyncio.run(play()), JobStateUnknown)


class _NarrowLog(FakeLog):
    """
    A log that answers no read of texts for more than so many bytes in time.
    """

    def __init__(self, log: FakeLog, room: int) -> None:
        super().__init__(largest_record=_LARGEST)
        self.records = log.records
        self._room = room

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        if stream == "texts" and max_bytes > self._room:
            raise StoreUnavailableError("too slow")
        return await super().read(stream, start, wait, max_bytes, answer_timeout)


def test_texts_are_asked_for_in_smaller_pages_after_one_that_did_not_come():
    """
    A link that brings less than a page in a page's patience never brought any. Now an
    ask ends when the page has grown too large again, and all is there after 15 of them.
    """
    log = _ended_jobs("job-a")

    async def play():
        async with _node(_NarrowLog(log, room=100_000)) as jobs:
            return await _read_whole(lambda at: _ask(jobs, at), most_asks=20)

    assert asyncio.run(play()) == [_text(n) for n in range(_ITEMS)]
