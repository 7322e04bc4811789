# SPDX-License-Identifier: MIT

"""
Leases of nodes that start, or were disconnected, while the log dropped records.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack, asynccontextmanager

from fake_log import FakeLog

from saddledoor import decode_record
from saddledoor.leases import LeaseSnapshot
from saddledoor.leases import _snapshot_schedule as schedule_module
from saddledoord.cluster.lease_snapshots import LeaseSnapshotWriter
from saddledoord.cluster.leases import LeaseLog
from saddledoord.duties.lease import DutyLease
from saddledoord.ports import AppendOutcomeUnknown, StoreUnavailableError


_TERM = 0.4


class _Node:
    """
    A node that takes part in one duty.
    """

    def __init__(self, log: FakeLog, name: str, retention: float = 300.0) -> None:
        self.leases = LeaseLog(log, name)
        self._snapshots = LeaseSnapshotWriter(self.leases, retention, _TERM)
        self.duty = DutyLease(self.leases, "orders", _TERM)

    @property
    def fence(self) -> int | None:
        held = self.duty.current(0.0)
        return held.fence if held else None

    @property
    def known(self) -> tuple[str, int]:
        """
        Holder and fence of the lease, as far as this node has read; its newest renewal
        may not have been read yet.
        """
        lease = self.leases.get("orders")
        return lease.holder, lease.fence

    @asynccontextmanager
    async def running(self):
        loops = [self.leases.run(), self.duty.run(), self._snapshots.run()]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _until(check, timeout: float = 5.0) -> None:
    async with asyncio.timeout(timeout):
        while not check():
            await asyncio.sleep(0.005)


def test_a_node_that_joins_after_the_claim_was_dropped_claims_no_held_lease():
    """
    Guards against two holders: a renewal names only the offset of the claim, so a
    reader that starts after the claim's record was dropped took the lease for free.
    """

    async def scenario():
        log = FakeLog()
        async with _Node(log, "vm-a").running() as first:
            await _until(lambda: first.fence is not None)
            log.drop("control")
            async with _Node(log, "vm-b").running() as second:
                await asyncio.sleep(4 * _TERM)
                assert first.fence is not None
                assert second.fence is None

    asyncio.run(scenario())


class _Link:
    """
    A node's connection to the log, which can be cut.
    """

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self.is_cut = False

    async def append(self, *args, **options):
        if self.is_cut:
            return AppendOutcomeUnknown("cut")
        return await self._log.append(*args, **options)

    async def read(self, *args, **options):
        if self.is_cut:
            await asyncio.sleep(0.01)
            raise StoreUnavailableError("cut")
        return await self._log.read(*args, **options)


def _snapshots(log: FakeLog) -> list[LeaseSnapshot]:
    """
    Return the snapshots that are at the offset that they name.
    """
    records = [decode_record(data) for data in log.records["control"]]
    return [
        record
        for offset, record in enumerate(records)
        if isinstance(record, LeaseSnapshot) and record.folded_to == offset
    ]


def test_a_node_that_joins_learns_of_the_holder_and_succeeds_it():
    """
    Guards against a node that never learns of the leases, and against a successor with
    a lower fence.
    """

    async def scenario():
        log = FakeLog()
        async with _Node(log, "vm-a").running() as first:
            await _until(lambda: first.fence is not None)
            fence = first.fence
            log.drop("control")
            async with _Node(log, "vm-b").running() as second:
                await _until(lambda: second.leases.is_complete, 2.0)
                assert second.known == first.known
                await asyncio.sleep(2 * _TERM)
                assert (first.fence, second.fence) == (fence, None)
                await first.duty.release()
                await _until(lambda: second.fence is not None)
                assert second.fence > fence

    asyncio.run(scenario())


def test_nodes_that_all_start_anew_take_leases_once_every_lease_has_expired(
    monkeypatch,
):
    """
    Guards against leases that nobody can take after all nodes have vanished, and
    against a claim before the holder's lease has expired.
    """
    monkeypatch.setattr(schedule_module, "_MIN_SILENCE", 1.5)

    async def scenario():
        log = FakeLog()
        async with _Node(log, "vm-a").running() as first:
            await _until(lambda: first.fence is not None)
            fence = first.fence
        log.drop("control")
        started_at = time.monotonic()
        async with (
            _Node(log, "vm-b").running() as second,
            _Node(log, "vm-c").running() as third,
        ):
            await _until(lambda: second.fence or third.fence)
            assert time.monotonic() - started_at >= 1.5
            assert (second.fence or third.fence) > fence
            await asyncio.sleep(2 * _TERM)
            assert (second.fence is None) != (third.fence is None)
            assert second.known == third.known
        assert len(_snapshots(log)) == 1

    asyncio.run(scenario())


def test_snapshots_are_written_regularly_by_few_nodes():
    """
    Guards against a log without a snapshot, and against one snapshot from each node.
    """

    async def scenario():
        log = FakeLog()
        async with AsyncExitStack() as stack:
            for number in range(5):
                node = _Node(log, f"vm-{number}", retention=4.0)
                await stack.enter_async_context(node.running())
            # One is due each 1.0 to 1.2 s, and is written at most 1 s later.
            await asyncio.sleep(5.0)
        assert 2 <= len(_snapshots(log)) <= 6

    asyncio.run(scenario())


def test_a_holder_that_was_cut_off_while_records_were_dropped_acts_on_no_lease():
    """
    Guards against a fold that misses records and still counts as the state.
    """

    async def scenario():
        log = FakeLog()
        link = _Link(log)
        async with _Node(link, "vm-a").running() as first:
            await _until(lambda: first.fence is not None)
            fence = first.fence
            async with _Node(log, "vm-b").running() as second:
                link.is_cut = True
                await _until(lambda: second.fence is not None)
                assert first.fence is None
                log.drop("control")
                link.is_cut = False
                await _until(lambda: not first.leases.is_complete)
                assert first.leases.held_lease_names() == []
                assert not first.leases.may_claim("orders", _TERM)
                assert not first.leases.may_claim("other", _TERM)
                await _until(lambda: first.leases.is_complete)
                assert first.leases.get("orders").fence == second.fence > fence

    asyncio.run(scenario())


def test_a_renewal_reports_a_lease_that_is_no_longer_known():
    """
    Guards against an exception that ends the process if records are dropped between a
    renewal and the read of it.
    """

    async def scenario():
        log = FakeLog()
        leases = LeaseLog(log, "vm-a")
        task = asyncio.create_task(leases.run())
        await leases.sync()
        assert await leases.claim("orders") is not None
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await log.append("control", [b"other"] * 2)
        append = log.append

        async def append_and_drop(*args, **options):
            outcome = await append(*args, **options)
            log.drop("control")
            return outcome

        log.append = append_and_drop
        assert not await leases.renew(["orders"])

    asyncio.run(scenario())
