# SPDX-License-Identifier: MIT

"""
How often followers read streams and registries that change all the time.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog
from structlog.testing import capture_logs

from builders import make_job, make_job_opened
from saddledoor import ItemResult, ItemResultRecorded, JobFold, encode_job_record
from saddledoord._clock import boot_time
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.cluster.follow import LogFollower, RegistryFollower
from saddledoord.jobs.service import JobNotFound, JobService, JobStateUnknown
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import KeyedEntry, KeyedPage, LogTruncatedError


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


class _ForgetfulLog(FakeLog):
    """
    A log that drops all its records, and gets a new one, before each of some reads.
    """

    def __init__(self, drops: int) -> None:
        super().__init__()
        self.drops = drops

    async def read(self, stream, start, *args, **options):
        if self.drops:
            self.drops -= 1
            self.records[stream].append(b"r")
            self.drop(stream)
        return await super().read(stream, start, *args, **options)


def test_a_log_that_drops_records_between_any_two_reads_ends_no_follower():
    """
    Guards against the end of the process at a second answer that the records are gone.
    """
    log = _ForgetfulLog(5)
    firsts: list[int] = []
    seen: list[int] = []

    async def scenario():
        follower = LogFollower(
            log,
            "jobs",
            lambda offset, _: seen.append(offset),
            on_truncated=firsts.append,
        )
        task = asyncio.create_task(follower.run())
        with capture_logs() as lines:
            assert await follower.sync()
        await log.append("jobs", [b"next"])
        assert await follower.sync()
        assert not task.done()
        task.cancel()
        return [line for line in lines if line["event"] == "records_gone"]

    assert len(asyncio.run(scenario())) == 1
    assert firsts == [1, 2, 3, 4, 5]
    assert seen == [5]


def test_no_gap_is_reported_if_another_read_has_advanced_meanwhile():
    """
    Guards against a state that is forgotten although no record was missed.
    """
    log = FakeLog()
    log.records["jobs"] = [b"r"] * 4
    firsts: list[int] = []

    async def scenario():
        follower = LogFollower(log, "jobs", lambda *_: None, on_truncated=firsts.append)
        task = asyncio.create_task(follower.run())
        await follower.sync()
        task.cancel()

        async def read(stream, start, *args, **options):
            log.read = read_log
            raise LogTruncatedError(2)

        read_log, log.read = log.read, read
        assert await follower.sync()

    asyncio.run(scenario())
    assert firsts == []


@pytest.mark.parametrize("result_retention", [0.0, -10.0], ids=["held", "over"])
def test_a_job_whose_records_may_have_been_dropped_is_not_answered_as_missing(
    result_retention,
):
    """
    Guards against "no such job" for a job that other nodes still know; a node that has
    read the log for longer than ended jobs are kept does not wait for them.
    """
    log = FakeLog()

    async def scenario():
        await log.append("jobs", [encode_job_record(make_job_opened(make_job(2)))])
        log.drop("jobs")
        texts = TextStore(log, 1000, 4000)
        jobs = JobService(
            log,
            JobFold(),
            texts,
            ChangeNotifier(),
            result_retention,
            300.0,
            _false,
            _false,
        )
        task = asyncio.create_task(jobs.run())
        answers = [
            await jobs.read("job-a", 0, 0.0),
            await jobs.body("job-a", "item-0"),
            await jobs.end("job-a"),
        ]
        task.cancel()
        return answers

    unsure = result_retention == 0.0
    expected = JobStateUnknown() if unsure else JobNotFound()
    assert asyncio.run(scenario()) == [expected] * 3


def test_a_node_that_missed_records_of_a_job_does_not_answer_from_the_others():
    """
    Guards against results at other positions, since the records of some were missed.
    """
    log = FakeLog()

    async def scenario():
        texts = TextStore(log, 1000, 4000)
        jobs = JobService(
            log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _false, _false
        )
        await log.append("jobs", [encode_job_record(make_job_opened(make_job(2)))])
        task = asyncio.create_task(jobs.run())
        assert (await jobs.read("job-a", 0, 0.0)).total == 2
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for n in range(2):
            result = ItemResultRecorded("job-a", ItemResult(f"item-{n}", False))
            await log.append("jobs", [encode_job_record(result)])
            log.first["jobs"] = 2
        assert await jobs.sync()
        return await jobs.read("job-a", 0, 0.0)

    assert asyncio.run(scenario()) == JobStateUnknown()
