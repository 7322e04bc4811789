# SPDX-License-Identifier: MIT

"""
Many nodes that start at the same time and replay the jobs from one store.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from fake_log import FakeLog

from builders import make_job
from saddledoor import (
    ItemResult,
    ItemResultRecorded,
    JobFold,
    StoredText,
    encode_job_record,
)
from saddledoord._clock import boot_time
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.cluster.follow import LogFollower
from saddledoord.cluster.store_watch import StoreWatch, WatchedLog
from saddledoord.jobs.service import Accepted, JobResultsPage, JobService
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import LogPage, StoreUnavailableError


#: Bandwidth of the store to all nodes together and to one node, in bytes a second.
_SHARED_BANDWIDTH = 80_000_000
_NODE_BANDWIDTH = 3_000_000
#: Number of jobs, and of items in each.
_JOBS = 48
_ITEMS = 80
#: Size of an item's body and of its text, in bytes.
_BODY_SIZE = 500
_TEXT_SIZE = 6_500
#: Largest record of the log, in bytes.
_LARGEST_RECORD = 262_144
#: Timeout of one call by a caller, in seconds.
_CALLER_TIMEOUT = 1.5
#: Longest time until an old job can be read, in seconds.
_MAX_READ_TIME = 2.0
#: How long a caller retries, in seconds.
_RETRY_LIMIT = 10.0


class _Link:
    """
    A link of limited bandwidth that sends pages in order, also to cancelled reads.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def sent_at(self, size: int) -> float:
        """
        Return when a page has been sent, monotonic, in seconds.
        """
        self._free_at = max(self._free_at, boot_time()) + size / self._rate
        return self._free_at


class _SlowLog(FakeLog):
    """
    A log as one node reads it over a link that it shares with others.
    """

    def __init__(self, log: FakeLog, shared: _Link) -> None:
        super().__init__(largest_record=_LARGEST_RECORD)
        self.records = log.records
        self._links = (shared, _Link(_NODE_BANDWIDTH))

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        records = self.records[stream]
        if start >= len(records):
            await asyncio.sleep(wait)
            return LogPage(start, (), len(records))
        stop, size = start + 1, len(records[start])
        while stop < len(records) and size + len(records[stop]) <= max_bytes:
            size += len(records[stop])
            stop += 1
        needed = max(link.sent_at(size) for link in self._links) - boot_time()
        await asyncio.sleep(min(needed, answer_timeout))
        if needed > answer_timeout:
            raise StoreUnavailableError("too slow")
        return LogPage(start, tuple(records[start:stop]), len(records))


def _false() -> bool:
    return False


def _service(log) -> JobService:
    texts = TextStore(
        log, largest_record=_LARGEST_RECORD, largest_append=8 * _LARGEST_RECORD
    )
    return JobService(
        log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _false, _false
    )


def _watched(log: FakeLog) -> WatchedLog:
    return WatchedLog(log, StoreWatch(lambda: None))


async def _filled_log() -> FakeLog:
    """
    Return a log of jobs whose results were recorded before the nodes start.
    """
    log = FakeLog(largest_record=_LARGEST_RECORD)
    writer = _service(log)
    task = asyncio.create_task(writer.run())
    for n in range(_JOBS):
        job = make_job(_ITEMS, f"job-{n}")
        items = tuple(replace(item, body=bytes(_BODY_SIZE)) for item in job.items)
        assert await writer.submit(replace(job, items=items)) == Accepted()
        _list_items(log, job.job_id)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return log


def _list_items(log: FakeLog, job_id: str) -> None:
    for n in range(_ITEMS):
        stored = StoredText((len(log.records["texts"]),), _TEXT_SIZE)
        log.records["texts"].append(b"a" * _TEXT_SIZE)
        result = ItemResultRecorded(job_id, ItemResult(f"item-{n}", True, stored))
        log.records["jobs"].append(encode_job_record(result))


async def _seconds_to_read(jobs: JobService, job_id: str) -> float:
    """
    Read a job until it has results; return the duration.
    """
    started_at = boot_time()
    while boot_time() - started_at < _RETRY_LIMIT:
        try:
            async with asyncio.timeout(_CALLER_TIMEOUT):
                reading = await jobs.read(job_id, 0, 0.0)
        except TimeoutError:
            continue
        if isinstance(reading, JobResultsPage) and reading.results:
            break
        await asyncio.sleep(0.1)
    return boot_time() - started_at


@pytest.mark.parametrize("nodes", [84, 195])
def test_an_old_job_can_be_read_soon_after_all_nodes_started_at_once(nodes):
    """
    The bodies of items are no part of the replay, which would take too long with them.
    """

    async def scenario():
        log = await _filled_log()
        shared = _Link(_SHARED_BANDWIDTH)
        logs = [_watched(_SlowLog(log, shared)) for _ in range(nodes)]
        service = _service(logs[0])
        others = [LogFollower(log, "jobs", lambda *_: None) for log in logs[1:]]
        tasks = [asyncio.create_task(follower.run()) for follower in (service, *others)]
        took = await _seconds_to_read(service, "job-0")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return took

    assert asyncio.run(scenario()) < _MAX_READ_TIME
