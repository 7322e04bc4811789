# SPDX-License-Identifier: MIT

"""
Items of jobs, which only the nodes that need them read.
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


#: Items of a step, a count, and bytes of each one's body.
_ITEMS = 136
_BODY = 500


def _no() -> bool:
    return False


class _Node:
    """
    A node that only answers callers.
    """

    def __init__(self, log: FakeLog) -> None:
        texts = TextStore(log, largest_record=1000, largest_append=4000)
        self.jobs = JobService(
            log, JobFold(), texts, ChangeNotifier(), 120.0, 300.0, _no, _no
        )

    @asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.jobs.run())
        try:
            yield self.jobs
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


class _NoTexts(FakeLog):
    """
    A log whose stream of texts takes nothing.
    """

    async def append(self, stream, records, answer_timeout=1.5):
        if stream == "texts":
            return AppendOutcomeUnknown("away")
        return await super().append(stream, records, answer_timeout)


def _large_job() -> Job:
    job = make_job(_ITEMS)
    items = tuple(replace(item, body=bytes(_BODY)) for item in job.items)
    return replace(job, items=items)


def test_what_every_node_reads_of_a_job_does_not_grow_with_its_items():
    """
    A job of 136 items with bodies of 500 bytes costs each node 126 bytes, and 73,152
    where its items stand among the records.
    """
    log = FakeLog()

    async def play():
        async with _Node(log).running() as jobs:
            assert await jobs.submit(_large_job()) == Accepted()
        async with _Node(log).running() as other:
            assert await other.read("job-a", 0, 0.0) == JobResultsPage(_ITEMS, 0, ())

    asyncio.run(play())
    assert sum(map(len, log.records["jobs"])) < 150
    assert sum(map(len, log.records["texts"])) > _ITEMS * _BODY
    assert log.reads["texts"] == 0


def test_a_node_that_is_asked_for_an_item_reads_the_job_s_items_once():
    """
    Cut into many records, and put together again.
    """
    log = FakeLog()

    async def play():
        async with _Node(log).running() as jobs:
            await jobs.submit(_large_job())
        async with _Node(log).running() as other:
            assert await other.body("job-a", "item-135") == bytes(_BODY)
            reads = log.reads["texts"]
            assert await other.body("job-a", "item-0") == bytes(_BODY)
            assert log.reads["texts"] == reads

    asyncio.run(play())


def test_a_job_whose_items_cannot_be_stored_is_not_run(monkeypatch):
    """
    The submitter is told so in time to ask another node, and no node hears of the job.
    """
    monkeypatch.setattr(service_module, "_ACCEPT_LIMIT", 0.3)
    log = _NoTexts()

    async def play():
        async with _Node(log).running() as jobs:
            began = boot_time()
            outcome = await jobs.submit(_large_job())
            assert isinstance(outcome, NotRun)
            assert boot_time() - began < 0.6

    asyncio.run(play())
    assert log.records["jobs"] == []


def test_items_that_cannot_be_read_are_read_again():
    """
    Once at a time, however often they are wanted.
    """
    log = FakeLog()

    async def play():
        async with _Node(log).running() as jobs:
            await jobs.submit(_large_job())
        async with _Node(log).running() as other:
            tried = asyncio.Event()
            loader = ItemLoader(other, tried.set)
            await other.sync()
            (state,) = other.open_jobs()
            log.away = True
            for _ in range(3):
                loader.request_items(state)
            await asyncio.wait_for(tried.wait(), 2.0)
            assert state.items is None
            assert log.reads["texts"] == 1
            log.away = False
            tried.clear()
            loader.request_items(state)
            await asyncio.wait_for(tried.wait(), 2.0)
            assert len(list(state.items_without_result())) == _ITEMS

    asyncio.run(play())
