# SPDX-License-Identifier: MIT

"""
How often followers read streams and registries that change all the time.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog

from builders import make_job, make_job_opened
from saddledoor import ItemResult, ItemResultRecorded, JobFold, encode_job_record
from saddledoord._clock import boot_time
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.cluster.follow import LogFollower, RegistryFollower
from saddledoord.jobs.service import JobService
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import KeyedEntry, KeyedPage


def _false() -> bool:
    return False


class _PromptLog(FakeLog):
    """
    A log that answers a waiting read as soon as there is a record.
    """

    async def read(
        self, stream, start, wait=0.0, max_bytes=1 << 20, answer_timeout=1.0
    ):
        until = boot_time() + wait
        while len(self.records[stream]) <= start and boot_time() < until:
            await asyncio.sleep(0.002)
        return await super().read(stream, start, 0.0, max_bytes, answer_timeout)


async def _write(log: FakeLog, seconds: float) -> int:
    """
    Append to the stream of jobs 50 times a second; return the number of records.
    """
    until, count = boot_time() + seconds, 0
    while boot_time() < until:
        await log.append("jobs", [b"r"])
        count += 1
        await asyncio.sleep(0.02)
    return count


@pytest.mark.parametrize(
    ("batch_delay", "least", "most"), [(0.0, 25, 60), (0.1, 8, 13)]
)
def test_a_node_reads_as_often_as_it_gathers_not_as_others_write(
    batch_delay, least, most
):
    """
    The pause after new records bounds the number of reads, whatever is appended.
    """
    log = _PromptLog()
    seen: list[int] = []

    async def scenario():
        follower = LogFollower(
            log,
            "jobs",
            lambda offset, _: seen.append(offset),
            batch_delay=lambda: batch_delay,
        )
        task = asyncio.create_task(follower.run())
        written = await _write(log, 1.0)
        await asyncio.sleep(0.2)
        task.cancel()
        return written

    written = asyncio.run(scenario())
    assert seen == list(range(written))
    assert least <= log.reads["jobs"] <= most


class _Registry:
    """
    A registry that always has a new change.
    """

    def __init__(self) -> None:
        self.reads = 0

    async def newest(self) -> KeyedPage:
        return KeyedPage((KeyedEntry("e", 0, None),), 1, whole=True)

    async def changes(self, start: int, wait: float) -> KeyedPage:
        self.reads += 1
        await asyncio.sleep(0.005)
        return KeyedPage((KeyedEntry("e", start, None),), start + 1)


def test_entries_that_change_all_the_time_are_gathered():
    """
    Changes of the registry are read in batches.
    """
    registry = _Registry()

    async def scenario():
        follower = RegistryFollower(registry, "engines", lambda entry: None)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()

    asyncio.run(scenario())
    assert 2 <= registry.reads <= 6


def test_a_reader_gets_results_without_the_batch_delay():
    """
    A follower's pause after new records must not delay a reader's results.
    """
    log = FakeLog()

    async def scenario():
        texts = TextStore(log, 1000, 4000)
        jobs = JobService(
            log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _false, _false
        )
        task = asyncio.create_task(jobs.run())
        await log.append("jobs", [encode_job_record(make_job_opened(make_job(20)))])
        for n in range(20):
            result = ItemResultRecorded("job-a", ItemResult(f"item-{n}", False))
            await log.append("jobs", [encode_job_record(result)])
            reading = await jobs.read("job-a", 0, 0.0)
            assert len(reading.results) == n + 1
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
