# SPDX-License-Identifier: MIT

"""
The items of a job are read only by the nodes that need them.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from fake_log import FakeLog

from builders import make_job
from saddledoor import Job, JobFold, NotRun
from saddledoord._clock import boot_time
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.jobs import service as service_module
from saddledoord.jobs.item_loader import ItemLoader
from saddledoord.jobs.service import Accepted, JobResultsPage, JobService
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import AppendOutcomeUnknown


#: Number of items of a job.
_ITEMS = 136
#: Size of the body of each item, in bytes.
_BODY = 500


def _false() -> bool:
    return False


class _Node:
    """
    A node that answers callers and runs no items.
    """

    def __init__(self, log: FakeLog) -> None:
        texts = TextStore(log, largest_record=1000, largest_append=4000)
        self.jobs = JobService(
            log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _false, _false
        )

    @asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.jobs.run())
        try:
            yield self.jobs
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


class _LogWithoutTexts(FakeLog):
    """
    A log that accepts no append to the stream of texts.
    """

    async def append(self, stream, records, answer_timeout=1.5, expected_end=None):
        if stream == "texts":
            return AppendOutcomeUnknown("away")
        return await super().append(stream, records, answer_timeout, expected_end)


def _large_job() -> Job:
    job = make_job(_ITEMS)
    items = tuple(replace(item, body=bytes(_BODY)) for item in job.items)
    return replace(job, items=items)


def test_what_every_node_reads_of_a_job_does_not_grow_with_its_items():
    """
    Guards against items in the records that every node reads.
    """
    log = FakeLog()

    async def run_scenario():
        async with _Node(log).running() as jobs:
            assert await jobs.submit(_large_job()) == Accepted()
        async with _Node(log).running() as other:
            assert await other.read("job-a", 0, 0.0) == JobResultsPage(_ITEMS, 0, ())

    asyncio.run(run_scenario())
    assert sum(map(len, log.records["jobs"])) < 150
    assert sum(map(len, log.records["texts"])) > _ITEMS * _BODY
    assert log.reads["texts"] == 0


def test_a_node_that_is_asked_for_an_item_reads_the_job_s_items_once():
    """
    The items are split into several records and joined again.
    """
    log = FakeLog()

    async def run_scenario():
        async with _Node(log).running() as jobs:
            await jobs.submit(_large_job())
        async with _Node(log).running() as other:
            assert await other.body("job-a", "item-135") == bytes(_BODY)
            reads = log.reads["texts"]
            assert await other.body("job-a", "item-0") == bytes(_BODY)
            assert log.reads["texts"] == reads

    asyncio.run(run_scenario())


def test_a_job_whose_items_cannot_be_stored_is_not_run(monkeypatch):
    """
    The caller gets the refusal in time to try another node, and no node sees the job.
    """
    monkeypatch.setattr(service_module, "_APPEND_RETRY_LIMIT", 0.3)
    log = _LogWithoutTexts()

    async def run_scenario():
        async with _Node(log).running() as jobs:
            began = boot_time()
            outcome = await jobs.submit(_large_job())
            assert isinstance(outcome, NotRun)
            assert boot_time() - began < 0.6

    asyncio.run(run_scenario())
    assert log.records["jobs"] == []


def test_items_that_cannot_be_read_are_read_again():
    """
    Repeated requests for the same job share one read.
    """
    log = FakeLog()

    async def run_scenario():
        async with _Node(log).running() as jobs:
            await jobs.submit(_large_job())
        async with _Node(log).running() as other:
            tried = asyncio.Event()
            loader = ItemLoader(other, tried.set)
            await other.sync()
            (state,) = other.open_jobs()
            log.unreachable = True
            for _ in range(3):
                loader.request_items(state)
            await asyncio.wait_for(tried.wait(), 2.0)
            assert state.items is None
            assert log.reads["texts"] == 1
            log.unreachable = False
            tried.clear()
            loader.request_items(state)
            await asyncio.wait_for(tried.wait(), 2.0)
            assert len(list(state.items_without_result())) == _ITEMS

    asyncio.run(run_scenario())
