# SPDX-License-Identifier: MIT

"""
Errors in a loop are contained to what it worked on.
"""

from __future__ import annotations

import asyncio

import pytest
from fake_log import FakeLog
from structlog.testing import capture_logs

from builders import make_job
from saddledoor import ItemResult, ItemResultRecorded, StoredText
from saddledoor.exceptions import UndecodableRecordError
from saddledoord import supervision
from saddledoord.cluster.follow import LogFollower, RegistryFollower
from saddledoord.jobs.record_writer import JOBS_STREAM, RecordWriter
from saddledoord.jobs.texts import TextStore
from saddledoord.ports import KeyedEntry, KeyedPage
from saddledoord.supervision import keep_running


def _play(scenario) -> list[dict]:
    """
    Run a scenario and return the log lines.
    """

    async def run() -> None:
        async with asyncio.timeout(10.0):
            await scenario()

    with capture_logs() as logs:
        asyncio.run(run())
    return logs


def test_a_loop_that_fails_runs_again(monkeypatch):
    """
    Its error ended the process, and with the same bytes the next one.
    """
    monkeypatch.setattr(supervision, "_FIRST_PAUSE", 0.001)
    runs = []

    async def loop() -> None:
        runs.append(None)
        if len(runs) < 4:
            raise UnicodeEncodeError("utf-8", "\udcff", 0, 1, "no text")

    logs = _play(lambda: keep_running(loop))
    assert len(runs) == 4
    assert [line["event"] for line in logs] == ["loop_failed"] * 3


def test_a_loop_that_is_cancelled_ends():
    """
    Guards against a loop that outlives the stop of its process.
    """

    async def scenario() -> None:
        task = asyncio.create_task(keep_running(lambda: asyncio.sleep(60.0)))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    assert _play(scenario) == []


@pytest.mark.parametrize("error", [UndecodableRecordError, KeyError, RecursionError])
def test_a_record_that_cannot_be_applied_hides_none_behind_it(error):
    """
    Every node would fail at the record, at each start again.
    """
    applied = []

    def apply(offset: int, record: bytes) -> None:
        if record == b"bad":
            raise error("no")
        applied.append(record)

    async def scenario() -> None:
        log = FakeLog()
        await log.append("jobs", [b"first", b"bad", b"last"])
        follower = LogFollower(log, "jobs", apply, wait=0.01)
        task = asyncio.create_task(follower.run())
        while not follower.caught_up:
            await asyncio.sleep(0.001)
        task.cancel()

    logs = _play(scenario)
    assert applied == [b"first", b"last"]
    (skipped,) = [line for line in logs if line["event"] == "record_skipped"]
    assert (skipped["topic"], skipped["offset"]) == ("jobs", 1)


def test_an_entry_that_cannot_be_applied_hides_no_other_one():
    """
    Guards against a change of one engine that keeps those of others from a node.
    """
    applied = []

    class _Registry:
        async def newest(self) -> KeyedPage:
            keys = ("a", "bad", "c")
            entries = tuple(KeyedEntry(k, n, "v") for n, k in enumerate(keys))
            return KeyedPage(entries, 3, whole=True)

        async def changes(self, start: int, wait: float) -> KeyedPage:
            await asyncio.sleep(60.0)

    def apply(entry: KeyedEntry) -> None:
        if entry.key == "bad":
            raise TypeError("no")
        applied.append(entry.key)

    async def scenario() -> None:
        follower = RegistryFollower(_Registry(), "engines", apply)
        task = asyncio.create_task(follower.run())
        while not follower.is_loaded:
            await asyncio.sleep(0.001)
        task.cancel()

    logs = _play(scenario)
    assert applied == ["a", "c"]
    (skipped,) = [line for line in logs if line["event"] == "entry_skipped"]
    assert (skipped["key"], skipped["offset"]) == ("bad", 1)


def test_a_record_that_cannot_be_encoded_holds_up_no_other_one():
    """
    A signature that is no text ended the process of the node that ran the job.
    """
    job = make_job(2)
    written = []

    async def scenario() -> None:
        log = FakeLog()
        writer = RecordWriter(log, TextStore(log, 1000, 10_000))
        for item_id, score in (("item-0", "\udcff"), ("item-1", "mark")):
            result = ItemResult(item_id, True, StoredText(), (1,), score)
            writer.put_with_text(
                b"text",
                lambda _, result=result: ItemResultRecorded(job.job_id, result),
                lambda item_id=item_id: written.append(item_id),
            )
        task = asyncio.create_task(writer.run())
        assert await writer.wait_until_flushed(5.0)
        assert len(log.records[JOBS_STREAM]) == 1
        task.cancel()

    logs = _play(scenario)
    assert written == ["item-1"]
    (line,) = [line for line in logs if line["event"] == "record_not_encoded"]
    assert "item-0" in line["record"]
