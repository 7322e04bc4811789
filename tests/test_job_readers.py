# SPDX-License-Identifier: MIT

"""
Readers of jobs that go from VM to VM while VMs are cut off and restarted.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest
from fake_log import FakeLog

from builders import make_job, make_job_opened
from saddledoor import (
    ItemResult,
    ItemResultRecorded,
    Job,
    JobEnded,
    JobFold,
    NotRun,
    StoredText,
    encode_job_record,
)
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.jobs.service import (
    Accepted,
    JobResultsPage,
    JobService,
    JobStateUnknown,
)
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import StoreUnavailableError


_READERS = 50
_VMS = 4
#: Largest record, in bytes.
_LARGEST_RECORD = 70_000
#: Largest page of texts of one read, in bytes.
_TEXT_PAGE = 262_144


def _false() -> bool:
    return False


class _Link(FakeLog):
    """
    A VM's own connection to the log.

    :ivar unreachable: Whether this VM is cut off.
    :ivar delay: Duration of each read, in seconds.
    :ivar page: Maximum number of records in a page of the stream of jobs.
    """

    def __init__(self, log: FakeLog) -> None:
        super().__init__(_LARGEST_RECORD)
        self.records = log.records
        self.first = log.first
        self.delay = 0.001
        self.page = 1000

    async def read(self, stream, start, wait=0.0, *args, **options):
        # Waits at the store are short, so that a cut is noticed soon.
        page = await super().read(stream, start, min(wait, 0.02), *args, **options)
        await asyncio.sleep(self.delay)
        if self.unreachable:
            raise StoreUnavailableError("cut off")
        if stream != "jobs":
            return page
        return replace(page, records=page.records[: self.page])


class _Vm:
    """
    A VM that answers callers and runs no items; a restart loses all that it has read.
    """

    def __init__(self, log: FakeLog) -> None:
        self.link = _Link(log)
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        texts = TextStore(self.link, _LARGEST_RECORD, 4 * _LARGEST_RECORD)
        self.jobs = JobService(
            self.link, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _false, _false
        )
        self._task = asyncio.create_task(self.jobs.run())

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def restart(self) -> None:
        await self.stop()
        self.start()


@asynccontextmanager
async def _running(log: FakeLog, count: int, synced: bool = True):
    vms = [_Vm(log) for _ in range(count)]
    async with AsyncExitStack() as stack:
        for vm in vms:
            vm.start()
            stack.push_async_callback(vm.stop)
            if synced:
                assert await vm.jobs.sync()
        yield vms


def _put(log: FakeLog, *records) -> None:
    log.records["jobs"] += map(encode_job_record, records)


def _put_result(log: FakeLog, n: int, size: int = 20, job_id: str = "job-a") -> None:
    """
    List an item with a text of its own; every seventh is given up.
    """
    if n % 7 == 6:
        result = ItemResult(f"item-{n}", done=False)
    else:
        offset = len(log.records["texts"])
        log.records["texts"].append(_text(n, size).encode())
        result = ItemResult(f"item-{n}", True, StoredText((offset,), size))
    _put(log, ItemResultRecorded(job_id, result))


def _text(n: int, size: int = 20) -> str:
    return f"{n:05}" * (size // 5)


def _log(listed: int = 0, items: int = 20, size: int = 20) -> FakeLog:
    """
    Return a log with a job and its first results.
    """
    log = FakeLog(_LARGEST_RECORD)
    _put(log, make_job_opened(make_job(items)))
    for n in range(listed):
        _put_result(log, n, size)
    return log


def _listed(page: JobResultsPage) -> list[tuple[str, bool, str]]:
    return [(r.result.item_id, r.result.done, r.text) for r in page.results]


def _expected(count: int, size: int = 20) -> list[tuple[str, bool, str]]:
    return [
        (f"item-{n}", n % 7 != 6, _text(n, size) if n % 7 != 6 else "")
        for n in range(count)
    ]


def test_a_vm_that_lags_behind_reads_on_before_it_answers_a_later_position():
    """
    Guards against an empty page at a position that another VM has named.
    """

    async def scenario():
        log = _log(5)
        async with _running(log, 2) as (ahead, behind):
            assert _listed(await behind.jobs.read("job-a", 0, 0.0)) == _expected(5)
            behind.link.unreachable = True
            for n in range(5, 9):
                _put_result(log, n)
            page = await ahead.jobs.read("job-a", 0, 0.0)
            assert page.next_position == 9
            assert _listed(await behind.jobs.read("job-a", 0, 0.0)) == _expected(5)
            assert await behind.jobs.read("job-a", 9, 0.0) == JobStateUnknown()
            assert await behind.jobs.read("job-a", 5, 0.0) == JobStateUnknown()
            behind.link.unreachable = False
            last = await behind.jobs.read("job-a", 8, 0.0)
            assert _listed(last) == _expected(9)[8:]

    asyncio.run(scenario())


def test_a_vm_that_has_just_started_answers_nothing_until_it_has_read_the_log():
    """
    Guards against answers from the part of the log that was read so far.
    """

    async def scenario():
        log = _log(19)
        async with _running(log, 1, synced=False) as (vm,):
            vm.link.delay, vm.link.page = 0.4, 2
            await asyncio.sleep(0.6)
            answers = await asyncio.gather(
                vm.jobs.read("job-a", 0, 0.0),
                vm.jobs.body("job-a", "item-0"),
                vm.jobs.end("job-a"),
            )
            assert answers == [JobStateUnknown()] * 3
            vm.link.delay, vm.link.page = 0.0, 1000
            assert await vm.jobs.sync()
            assert _listed(await vm.jobs.read("job-a", 0, 0.0)) == _expected(19)

    asyncio.run(scenario())


def test_a_vm_that_is_cut_off_answers_the_end_of_a_job_that_it_knows():
    """
    Guards against 503 for a position after which no result can come.
    """

    async def scenario():
        log = _log(20)
        async with _running(log, 1) as (vm,):
            await vm.jobs.read("job-a", 0, 0.0)
            vm.link.unreachable = True
            assert _listed(await vm.jobs.read("job-a", 0, 0.0)) == _expected(20)
            assert await vm.jobs.read("job-a", 20, 0.0) == JobResultsPage(20, 20, ())
            assert await vm.jobs.read("other", 0, 0.0) == JobStateUnknown()

    asyncio.run(scenario())


def test_a_read_during_which_the_log_drops_the_jobs_records_is_not_answered():
    """
    Guards against an empty page of a job some of whose results were dropped unread.
    """

    async def scenario():
        log = _log(5)
        async with _running(log, 1) as (vm,):
            vm.link.unreachable = True
            reading = asyncio.create_task(vm.jobs.read("job-a", 5, 0.3))
            await asyncio.sleep(0.1)
            for n in range(5, 9):
                _put_result(log, n)
            log.drop("jobs")
            vm.link.unreachable = False
            assert await reading == JobStateUnknown()

    asyncio.run(scenario())


def test_an_item_that_was_given_up_is_listed_as_dead_at_every_vm():
    """
    Guards against a failed item that a VM lists as a result, also one listed twice.
    """

    async def scenario():
        log = _log(7)
        done = ItemResult("item-6", True, StoredText((0,), 20))
        _put(log, ItemResultRecorded("job-a", done))
        async with _running(log, 3) as vms:
            await vms[1].restart()
            pages = [await vm.jobs.read("job-a", 0, 0.0) for vm in vms]
        assert [_listed(page) for page in pages] == [_expected(7)] * 3
        assert _listed(pages[0])[6] == ("item-6", False, "")

    asyncio.run(scenario())


def test_readers_of_more_texts_than_the_cache_holds_share_the_reads():
    """
    Guards against a page that each reader reads for itself, since the pages of other
    jobs have pushed it out of the cache before the reader's turn.
    """
    names = [f"job-{n}" for n in range(12)]
    size = 40_000

    async def scenario():
        log = FakeLog(_LARGEST_RECORD)
        for name in names:
            _put(log, make_job_opened(make_job(6, name)))
            for n in range(6):
                _put_result(log, n, size, name)
        async with _running(log, 1) as (vm,):
            vm.link.reads.clear()
            pages = await asyncio.gather(
                *(vm.jobs.read(names[n % 12], 0, 0.0) for n in range(5 * 12))
            )
            assert all(_listed(page) == _expected(6, size) for page in pages)
            return vm.link.reads

    reads = asyncio.run(scenario())
    # Each job's texts begin in the middle of a page, so that they are on two.
    assert reads["texts"] <= 2 * len(names)
    assert reads["jobs"] <= 6


def test_fifty_readers_of_a_job_larger_than_the_cache_cost_no_more_than_one():
    """
    Guards against a number of reads that grows with the number of readers.
    """
    size, items = 60_000, 80

    async def read_all(vm: _Vm) -> None:
        position = 0
        while position < items:
            page = await vm.jobs.read("job-a", position, 0.0)
            assert (
                _listed(page) == _expected(items, size)[position:][: len(page.results)]
            )
            position = page.next_position

    async def scenario(readers: int) -> int:
        log = _log(items, items, size)
        async with _running(log, 1) as (vm,):
            vm.link.reads.clear()
            await asyncio.gather(*(read_all(vm) for _ in range(readers)))
            return vm.link.reads["texts"]

    one = asyncio.run(scenario(1))
    assert one <= 2 * (1 + size * items // _TEXT_PAGE)
    assert asyncio.run(scenario(_READERS)) <= one


def test_an_end_and_a_submission_that_are_repeated_are_answered_alike():
    """
    Guards against another answer at a VM that has not yet read of the job.
    """
    job = make_job()

    async def scenario():
        log = FakeLog(_LARGEST_RECORD)
        async with _running(log, 3) as vms:
            submitted = [await vm.jobs.submit(job) for vm in vms]
            await vms[2].restart()
            submitted += [await vm.jobs.submit(job) for vm in vms]
            ended = [await vm.jobs.end("job-a") for vm in vms]
            await vms[1].restart()
            ended += [await vm.jobs.end("job-a") for vm in vms]
            pages = [await vm.jobs.read("job-a", 0, 0.0) for vm in vms]
        assert submitted == [Accepted()] * 6
        assert ended == [Accepted()] * 6
        assert pages == [JobResultsPage(2, 0, ())] * 3

    asyncio.run(scenario())


def test_an_id_of_another_workspace_is_refused_by_a_vm_that_has_not_read_of_it():
    """
    Guards against "accepted" for a job that never runs, as its id is taken.
    """
    job = replace(make_job(), workspace="red")
    foreign: Job = replace(job, workspace="blue")

    async def scenario():
        log = FakeLog(_LARGEST_RECORD)
        async with _running(log, 2) as (first, second):
            assert await first.jobs.submit(job) == Accepted()
            answers = [
                await second.jobs.submit(foreign),
                await first.jobs.submit(foreign),
            ]
            assert await second.jobs.submit(job) == Accepted()
            return answers

    answers = asyncio.run(scenario())
    assert isinstance(answers[0], NotRun)
    assert answers[0] == answers[1]


@pytest.mark.parametrize("seed", range(3))
def test_fifty_readers_from_position_0_agree_while_vms_are_cut_off_and_restart(seed):
    """
    Guards against a position that goes back or changes for a reader that goes from VM
    to VM, and against reads of the log that grow with the number of readers.
    """
    chance = random.Random(seed)
    items = 60

    async def write(log: FakeLog) -> None:
        for n in range(items):
            _put_result(log, n)
            await asyncio.sleep(chance.uniform(0.0, 0.06))
        _put(log, JobEnded("job-a"))

    async def trouble(vms: list[_Vm]) -> None:
        while True:
            vm = chance.choice(vms)
            vm.link.delay = chance.choice([0.001, 0.02, 0.1])
            vm.link.page = chance.choice([2, 1000])
            if chance.random() < 0.5:
                await vm.restart()
            else:
                vm.link.unreachable = True
            await asyncio.sleep(chance.uniform(0.05, 0.2))
            vm.link.unreachable = False

    async def read_all(vms: list[_Vm]) -> tuple[list, int]:
        seen: list = []
        refused = 0
        while len(seen) < items:
            page = await chance.choice(vms).jobs.read("job-a", len(seen), 0.1)
            if isinstance(page, JobStateUnknown):
                refused += 1
                await asyncio.sleep(0.05)
                continue
            assert page.total == items
            assert page.next_position == len(seen) + len(page.results)
            seen += _listed(page)
        return seen, refused

    async def scenario():
        log = _log(items=items)
        async with _running(log, _VMS) as vms, asyncio.timeout(60):
            troubling = asyncio.create_task(trouble(vms))
            writing = asyncio.create_task(write(log))
            readers = await asyncio.gather(*(read_all(vms) for _ in range(_READERS)))
            await writing
            troubling.cancel()
        assert all(seen == _expected(items) for seen, _ in readers)
        assert any(refused for _, refused in readers)

    asyncio.run(scenario())
