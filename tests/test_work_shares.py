# SPDX-License-Identifier: MIT

"""
Which node holds a work share: claims, renewals, planned stops and outages.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

from fake_log import FakeLog

from saddledoor import LeaseRelease, decode_record
from saddledoord.cluster.leases import LeaseLog
from saddledoord.cluster.work_shares import WorkShares


class _Node:
    """
    A node that claims one share.
    """

    def __init__(self, log: FakeLog, machine: str, cores: float = 2.0) -> None:
        self.leases = LeaseLog(log, machine)
        self.shares = WorkShares(
            self.leases,
            self._wanted,
            self._on_acquired,
            self._on_change,
            cores,
            lambda share: self.may_hold,
        )
        self.may_hold = True
        self.checks = 0
        self.acquisitions = 0
        self.acquire_time = 0.0
        self.changes: list[bool] = []

    @property
    def holds(self) -> bool:
        return self.shares.holds("pool")

    def _wanted(self) -> set[str]:
        self.checks += 1
        return {"pool"}

    async def _on_acquired(self) -> None:
        self.acquisitions += 1
        await asyncio.sleep(self.acquire_time)
        # The share must not count as held before the previous holder's state is read.
        assert not self.holds

    async def _on_change(self) -> None:
        self.changes.append(self.holds)

    @asynccontextmanager
    async def running(self):
        loops = [self.leases.run(), self.shares.run()]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _until(check, timeout: float = 3.0) -> float:
    """
    Wait until a check is true; return the duration in seconds.
    """
    clock = asyncio.get_running_loop().time
    started_at = clock()
    async with asyncio.timeout(timeout):
        while not check():
            await asyncio.sleep(0.005)
    return clock() - started_at


def _owners(*nodes: _Node) -> list[bool]:
    return [node.holds for node in nodes]


def test_one_of_several_nodes_takes_a_share_and_keeps_it():
    """
    Nodes that start and stop do not move it.
    """

    async def scenario():
        log = FakeLog()
        a, b, late = _Node(log, "a"), _Node(log, "b"), _Node(log, "late")
        async with a.running(), b.running():
            await _until(lambda: any(_owners(a, b)))
            before = _owners(a, b)
            assert sorted(before) == [False, True]
            async with late.running():
                await asyncio.sleep(1.5)
            assert _owners(a, b, late) == [*before, False]
            assert a.acquisitions + b.acquisitions == 1

    asyncio.run(scenario())


def test_a_stopping_node_takes_no_share_again():
    """
    Also if the node that took it crashes.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with a.running():
            await _until(lambda: a.holds)
            await a.shares.release()
            async with b.running():
                await _until(lambda: b.holds)
            await asyncio.sleep(1.6)
            assert not a.holds

    asyncio.run(scenario())


def test_a_planned_stop_releases_a_share_at_once():
    """
    A released share is claimed before its term has passed.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with a.running():
            await _until(lambda: a.holds)
            async with b.running():
                await asyncio.sleep(0.3)
                await a.shares.release()
                assert await _until(lambda: b.holds) < 0.5
                await asyncio.sleep(0.3)
                assert _owners(a, b) == [False, True]

    asyncio.run(scenario())


def test_a_crashed_node_s_share_is_claimed_after_its_term():
    """
    Not before, since a running node renews it in time.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with AsyncExitStack() as rest:
            async with a.running():
                await _until(lambda: a.holds)
                await rest.enter_async_context(b.running())
                await asyncio.sleep(1.5)
                assert _owners(a, b) == [True, False]
            assert 0.5 < await _until(lambda: b.holds) < 1.6

    asyncio.run(scenario())


def test_a_restarted_machine_claims_its_share_at_once():
    """
    An earlier process of the VM has ended, so its term is not awaited.
    """

    async def scenario():
        log = FakeLog()
        before, after, other = _Node(log, "a"), _Node(log, "a"), _Node(log, "b")
        async with before.running():
            await _until(lambda: before.holds)
        async with after.running(), other.running():
            assert await _until(lambda: after.holds) < 0.5

    asyncio.run(scenario())


def test_a_share_stays_while_the_store_is_away_and_after():
    """
    Its holder has a full term after an outage to renew it.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with AsyncExitStack() as rest:
            async with a.running():
                await _until(lambda: a.holds)
                await rest.enter_async_context(b.running())
                await asyncio.sleep(0.3)
                log.unreachable = True
                await asyncio.sleep(1.6)
                assert _owners(a, b) == [True, False]
            # The holder notices the end of the outage late.
            log.unreachable = False
            await asyncio.sleep(0.6)
            async with a.running():
                await asyncio.sleep(1.0)
                assert _owners(a, b) == [True, False]

    asyncio.run(scenario())


def test_a_replaced_holder_drops_its_share():
    """
    A paused holder notices it as soon as it reads the log again.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with a.running():
            await _until(lambda: a.holds)
        # The first node is paused and still considers itself the holder.
        async with b.running():
            await _until(lambda: b.holds)
            assert a.holds
            async with a.running():
                await _until(lambda: not a.holds)
            assert a.changes[-1] is False
            assert b.holds

    asyncio.run(scenario())


def test_a_claim_whose_answer_was_lost_counts():
    """
    The log shows that it succeeded.
    """

    async def scenario():
        log = FakeLog()
        log.lose_answers = 1
        node = _Node(log, "a")
        async with node.running():
            await _until(lambda: node.holds)

    asyncio.run(scenario())


def test_a_waiting_node_does_not_poll_in_a_busy_loop(monkeypatch):
    """
    Also if another node claimed the share just before it.
    """
    delays = iter([0.0, 0.5, 0.5, 0.5])
    monkeypatch.setattr("random.uniform", lambda least, most: next(delays))

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with a.running(), b.running():
            await _until(lambda: a.holds)
            await asyncio.sleep(0.6)
            before = a.checks + b.checks
            await asyncio.sleep(1.0)
            # One check each 0.1 s, and one for each renewal.
            assert a.checks + b.checks - before < 40
            assert not b.holds

    asyncio.run(scenario())


def test_the_stronger_of_two_nodes_takes_a_share():
    """
    Repeated, since without the delay either node may be first by chance.
    """

    async def scenario():
        log = FakeLog()
        small, large = _Node(log, "small", 0.5), _Node(log, "large", 4.0)
        async with small.running(), large.running():
            await _until(lambda: any(_owners(small, large)))
            assert _owners(small, large) == [False, True]

    for _ in range(7):
        asyncio.run(scenario())


def test_nobody_claims_while_the_store_is_away():
    """
    A claim in flight at the end of an outage would precede the holder's renewal.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        async with a.running(), AsyncExitStack() as rest:
            await _until(lambda: a.holds)
            await rest.enter_async_context(b.running())
            await asyncio.sleep(0.3)
            log.unreachable = True
            await asyncio.sleep(0.5)
            log.appends.clear()
            await asyncio.sleep(1.5)
            assert all(b"lease_claim" not in record for record in log.appends)

    asyncio.run(scenario())


def test_a_lease_is_renewed_while_its_holder_reads_on():
    """
    Reading the jobs may take longer than the term of the lease.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        a.acquire_time = 1.8
        async with a.running():
            await _until(lambda: a.leases.is_mine("share/pool"))
            async with b.running():
                await _until(lambda: a.holds)
                assert not b.leases.is_mine("share/pool")

    asyncio.run(scenario())


def test_a_share_that_a_node_may_not_hold_is_left_to_others():
    """
    A node outside the regions of a share's jobs would read their bodies.
    """

    async def scenario():
        log = FakeLog()
        outside, inside = _Node(log, "outside", cores=64.0), _Node(log, "inside")
        outside.may_hold = False
        async with outside.running():
            await asyncio.sleep(0.5)
            assert outside.leases.get("share/pool") is None
            async with inside.running():
                await _until(lambda: inside.holds)
                assert not outside.holds

    asyncio.run(scenario())


def test_a_node_gives_up_a_share_that_it_no_longer_may_hold():
    """
    Another node takes it before the lease expires; its items have stopped by then.
    """

    async def scenario():
        log = FakeLog()
        a, b = _Node(log, "a"), _Node(log, "b")
        b.may_hold = False
        async with a.running(), b.running():
            await _until(lambda: a.holds)
            a.may_hold, b.may_hold = False, True
            assert await _until(lambda: b.holds) < 0.9
            assert a.changes == [True, False]
            assert not a.holds
            await asyncio.sleep(0.5)
            records = [decode_record(data) for data in log.records["control"]]
            released = [r for r in records if isinstance(r, LeaseRelease)]
            assert len(released) <= 2

    asyncio.run(scenario())
