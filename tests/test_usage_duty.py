# SPDX-License-Identifier: MIT

"""
Usage is reported for each window with the same counts, whichever node reports it.

Nodes share a log in memory; the stand-in of the platform records every call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import pytest
from fake_log import FakeLog

from saddledoor import HeldLease, UsageWindows
from saddledoord._clock import boot_time
from saddledoord.duties import usage_reporter
from saddledoord.duties.usage_counter import UsageCounter
from saddledoord.duties.usage_reporter import UsageReporter
from saddledoord.ports import DutyOutcome, UsageReport


#: Windows of 0.4 s, whose reports are due 0.8 s after their end.
_WINDOWS = UsageWindows(0.4, 0.8)


@dataclass
class _Lease:
    """
    A lease that a test grants by setting its fencing number.
    """

    fence: int | None = None
    fenced_at: list[int] = field(default_factory=list)
    backoffs: int = 0

    def current(self, margin: float) -> HeldLease | None:
        if self.fence is None:
            return None
        return HeldLease("usage", self.fence, boot_time() + 10.0)

    @contextmanager
    def acting(self, margin: float) -> Iterator[HeldLease | None]:
        yield self.current(margin)

    def record_fenced(self, fence: int) -> None:
        self.fenced_at.append(fence)
        self.fence = None

    async def back_off(self) -> None:
        self.backoffs += 1
        self.fence = None


class _Platform:
    """
    Records every report, and answers with the result of a function.
    """

    def __init__(self, answer: Callable[[UsageReport], str] | None = None) -> None:
        self.reports: list[UsageReport] = []
        self._answer = answer or (lambda report: DutyOutcome.DONE)

    async def report_usage(self, report: UsageReport, decided_at: float) -> str:
        self.reports.append(report)
        await asyncio.sleep(0)
        return self._answer(report)

    def counts(self) -> dict[int, list[dict]]:
        """
        Return the distinct counts reported for each window.
        """
        found: dict[int, list[dict]] = {}
        for report in self.reports:
            known = found.setdefault(report.window, [])
            if report.counts not in known:
                known.append(report.counts)
        return found


class _Node:
    def __init__(
        self,
        name: str,
        log: FakeLog,
        platform: _Platform,
        windows: UsageWindows = _WINDOWS,
    ) -> None:
        self.lease = _Lease()
        self.counter = UsageCounter(log, name, windows)
        self.reporter = UsageReporter(
            log, platform, self.lease, self.counter, windows, name
        )
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        loops = (self.counter.run(), self.reporter.run())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    def kill(self) -> None:
        for task in self._tasks:
            task.cancel()


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(usage_reporter, "_CHECK_INTERVAL", 0.02)
    monkeypatch.setattr(usage_reporter, "_RETRY_PAUSE", 0.02)
    monkeypatch.setattr(usage_reporter, "_BACK_OFF_AFTER", 0.2)
    monkeypatch.setattr("saddledoord.duties.usage_counter._BATCH_DELAY", 0.02)


async def _until(check: Callable[[], object]) -> None:
    async with asyncio.timeout(8.0):
        while not check():
            await asyncio.sleep(0.01)


def _nodes(platform: _Platform, count: int) -> tuple[FakeLog, list[_Node]]:
    log = FakeLog()
    return log, [_Node(f"vm-{index}", log, platform) for index in range(count)]


def test_a_report_waits_only_for_nodes_that_may_be_cut_off():
    """
    It is early while all nodes write their counts, and waits a limited time for a node
    that has stopped.
    """

    async def run() -> None:
        platform = _Platform()
        windows = UsageWindows(0.5, 3.0)
        log = FakeLog()
        nodes = [_Node(f"vm-{n}", log, platform, windows) for n in range(2)]
        late: dict[int, float] = {}

        async def report(usage: UsageReport, decided_at: float) -> str:
            end = (usage.window + 1) * windows.length
            late.setdefault(usage.window, nodes[0].counter.now - end)
            return DutyOutcome.DONE

        platform.report_usage = report
        for node in nodes:
            node.start()
        nodes[0].lease.fence = 1
        # Nodes close a window 0.6 s after its end; the reporter waits until 1.8 s.
        await _until(lambda: late and late[max(late)] < 1.2)
        nodes[1].kill()
        silent_from = windows.of(nodes[0].counter.now)
        await _until(lambda: max(late) > silent_from + 6)
        around = [late[silent_from + n] for n in (-1, 0, 1) if silent_from + n in late]
        assert max(around) >= 1.8
        assert late[max(late)] < 1.5

    asyncio.run(run())


def test_what_all_nodes_counted_is_reported_by_one():
    """
    The report of a window has the requests of every node.
    """

    async def run() -> None:
        platform = _Platform()
        _, nodes = _nodes(platform, 3)
        for node in nodes:
            node.start()
            node.counter.count("red", boot_time())
        nodes[0].counter.count("blue", boot_time())
        window = _WINDOWS.of(nodes[0].counter.now)
        nodes[1].lease.fence = 5
        await _until(lambda: window in platform.counts())
        if {"red": 3, "blue": 1} not in platform.counts()[window]:
            # The window ended between the four counts.
            await _until(lambda: window + 1 in platform.counts())
        total = [r.counts.get("red", 0) for r in platform.reports]
        assert sum(total) == 3
        assert {(r.holder, r.fence) for r in platform.reports} == {("vm-1", 5)}

    asyncio.run(run())


def test_the_next_holder_reports_exactly_what_was_decided():
    """
    Counts that arrive after the decision do not change a repeated report.
    """

    async def run() -> None:
        platform = _Platform(lambda report: DutyOutcome.UNKNOWN)
        _, (first, second) = _nodes(platform, 2)
        for node in (first, second):
            node.start()
        first.counter.count("red", boot_time())
        first.lease.fence = 1
        await _until(lambda: any(r.counts for r in platform.reports))
        first.kill()
        decided = next(r for r in platform.reports if r.counts)
        late = decided.window * _WINDOWS.length + 0.1 - second.counter.now
        second.counter.count("red", boot_time() + late)
        second.lease.fence = 2
        await _until(lambda: any(r.fence == 2 for r in platform.reports))
        await asyncio.sleep(0.2)
        assert all(len(counts) == 1 for counts in platform.counts().values())

    asyncio.run(run())


def test_two_nodes_that_both_assume_to_hold_the_lease_report_the_same():
    """
    Each sends the first decision in the log.
    """

    async def run() -> None:
        platform = _Platform()
        log, nodes = _nodes(platform, 2)
        for index, node in enumerate(nodes):
            node.start()
            node.lease.fence = index
        for _ in range(60):
            nodes[0].counter.count("red", boot_time())
            nodes[1].counter.count("blue", boot_time())
            log.lose_answers = 1
            await asyncio.sleep(0.02)
        await _until(lambda: len(platform.counts()) >= 4)
        assert {r.holder for r in platform.reports} == {"vm-0", "vm-1"}
        assert all(len(counts) == 1 for counts in platform.counts().values())

    asyncio.run(run())


def test_nothing_is_reported_that_the_log_does_not_hold():
    """
    No report is sent while the store is unreachable; the missing ones follow later.
    """

    async def run() -> None:
        platform = _Platform()
        log, (node,) = _nodes(platform, 1)
        node.start()
        node.counter.count("red", boot_time())
        log.unreachable = True
        node.lease.fence = 1
        await asyncio.sleep(1.5)
        assert platform.reports == []
        log.unreachable = False
        await _until(lambda: any(r.counts == {"red": 1} for r in platform.reports))

    asyncio.run(run())


def test_a_holder_that_is_not_answered_leaves_the_duty_to_others():
    """
    Its reports are refused, for example because it cannot reach the platform.
    """

    async def run() -> None:
        platform = _Platform(lambda report: DutyOutcome.REFUSED)
        _, (node,) = _nodes(platform, 1)
        node.start()
        node.lease.fence = 1
        await _until(lambda: node.lease.backoffs)
        assert 2 <= len(platform.reports) < 30
        sent = len(platform.reports)
        await asyncio.sleep(0.3)
        assert len(platform.reports) == sent

    asyncio.run(run())


def test_a_fenced_holder_sends_no_more_calls():
    """
    The platform has seen a higher fencing number.
    """

    async def run() -> None:
        platform = _Platform(lambda report: DutyOutcome.FENCED)
        _, (node,) = _nodes(platform, 1)
        node.start()
        node.lease.fence = 3
        await _until(lambda: node.lease.fenced_at)
        await asyncio.sleep(0.3)
        assert (node.lease.fenced_at, len(platform.reports)) == ([3], 1)

    asyncio.run(run())
