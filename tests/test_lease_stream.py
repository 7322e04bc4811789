# SPDX-License-Identifier: MIT

"""
Leases of our own deployments, in a VM whose log has dropped records.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from fake_log import FakeLogClient

from builders import make_settings
from saddledoor import LeaseClaim, LeaseRenewal
from saddledoor.leases import LeaseSnapshot
from saddledoor.leases import _snapshot_schedule as schedule_module
from saddledoord._clock import boot_time
from saddledoord._state import NodeState
from saddledoord.cluster.lease_snapshots import LeaseSnapshotWriter
from saddledoord.log.lease_stream import LeaseStream
from saddledoord.log.leases import LeaseKeeper
from saddledoord.ports import Appended, NotAppended


_TERM = 0.4
_RETENTION = 600.0
_LEASE = "control/dc-a"


class _Vm:
    """
    The leases of one process.
    """

    def __init__(self, log: FakeLogClient, name: str) -> None:
        timings = {"lease_term": _TERM, "order_timeout": 0.1, "control_pause": 0.01}
        self.state = NodeState.from_settings(make_settings(name, **timings))
        self.stream = LeaseStream(log, self.state)
        self.keeper = LeaseKeeper(log, self.state, self.stream)
        self._writer = LeaseSnapshotWriter(self.stream, _RETENTION, _TERM)

    @property
    def may_act(self) -> bool:
        held = self.keeper.held(_LEASE)
        return held is not None and held.may_act(boot_time())

    @asynccontextmanager
    async def running(self):
        loops = [self.stream.run(), self.keeper.run(), self._writer.run()]
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


async def _claim(vm: _Vm) -> None:
    """
    Try to claim the lease until the VM holds it.
    """
    async with asyncio.timeout(5.0):
        while not vm.may_act:
            await vm.keeper.try_claim(_LEASE)
            await asyncio.sleep(0.01)


def test_a_vm_that_has_not_read_the_log_claims_nothing():
    """
    Guards against leases that count as free because nothing was read yet.
    """

    async def scenario():
        log = FakeLogClient()
        vm = _Vm(log, "vm-a")
        assert not vm.keeper.may_claim(_LEASE)
        assert await vm.keeper.try_claim(_LEASE) is None
        assert log.records == []
        await vm.stream.catch_up()
        assert vm.keeper.may_claim(_LEASE)

    asyncio.run(scenario())


def test_a_vm_that_starts_after_the_claim_was_dropped_learns_of_the_holder():
    """
    Guards against two holders of a lease whose claim a VM could not read.
    """

    async def scenario():
        log = FakeLogClient()
        async with _Vm(log, "vm-a").running() as first:
            await _claim(first)
            log.first = len(log.records)
            async with _Vm(log, "vm-b").running() as second:
                await _until(lambda: second.stream.caught_up)
                assert await second.keeper.try_claim(_LEASE) is None
                await _until(lambda: second.stream.is_complete)
                for _ in range(20):
                    assert await second.keeper.try_claim(_LEASE) is None
                    await asyncio.sleep(_TERM / 10)
                assert first.may_act

    asyncio.run(scenario())


def test_a_vm_that_alone_knew_a_lease_claims_it_again(monkeypatch):
    """
    Guards against renewals of a holder that missed records: nobody else knows the
    lease, and each renewal would defer the time from which it counts as expired.
    """
    monkeypatch.setattr(schedule_module, "_MIN_SILENCE", 1.5)

    async def scenario():
        log = FakeLogClient()
        async with _Vm(log, "vm-a").running() as vm:
            await _claim(vm)
            fence = vm.keeper.held(_LEASE).fence
            log.records += [LeaseRenewal("other", 0)] * 3
            log.first = len(log.records)
            await _until(lambda: not vm.stream.is_complete)
            await _until(lambda: not vm.may_act)
            await _claim(vm)
            assert vm.keeper.held(_LEASE).fence > fence

    asyncio.run(scenario())


def test_a_snapshot_after_unread_records_has_no_effect():
    """
    Guards against a snapshot that reverts records of other VMs, since this log has no
    append on a condition.
    """

    async def scenario():
        log = FakeLogClient()
        vm = _Vm(log, "vm-a")
        await vm.stream.catch_up()
        assert await vm.keeper.try_claim(_LEASE) is not None
        log.comes_first = [LeaseClaim("claim-b", "collector/b", "vm-b", -1)]
        assert isinstance(await vm.stream.append_snapshot(), NotAppended)
        await vm.stream.catch_up()
        assert set(vm.state.lease_fold.leases) == {_LEASE, "collector/b"}
        assert isinstance(await vm.stream.append_snapshot(), Appended)
        assert isinstance(log.records[-1], LeaseSnapshot)

    asyncio.run(scenario())


def test_a_snapshot_without_leases_has_no_effect_after_unread_records():
    """
    Guards against a lease that is taken from its holder, which has renewed it since the
    records were read that a VM without knowledge of the leases judges by.
    """

    async def scenario():
        log = FakeLogClient()
        holder, joined = _Vm(log, "vm-a"), _Vm(log, "vm-b")
        await holder.stream.catch_up()
        held = await holder.keeper.try_claim(_LEASE)
        log.first = len(log.records)
        await joined.stream.catch_up()
        assert not joined.stream.is_complete
        log.records.append(LeaseRenewal(_LEASE, held.fence))
        assert isinstance(await joined.stream.append_snapshot(), NotAppended)
        await holder.stream.catch_up()
        assert holder.state.lease_fold.get(_LEASE).fence == held.fence
        assert holder.may_act

    asyncio.run(scenario())


def test_a_holder_acts_until_its_term_ends_if_the_log_is_away():
    """
    Guards against a lease that is given up, or kept for longer than its term, while the
    log is unavailable.
    """

    async def scenario():
        log = FakeLogClient()
        async with _Vm(log, "vm-a").running() as vm:
            await _claim(vm)
            log.unreachable = True
            await asyncio.sleep(_TERM / 10)
            assert vm.may_act
            await asyncio.sleep(_TERM)
            assert not vm.may_act

    asyncio.run(scenario())


def test_a_lease_is_released_after_the_last_order_has_ended():
    """
    Guards against an order that reaches an engine after one of the next holder.
    """

    async def scenario():
        log = FakeLogClient()
        async with _Vm(log, "vm-a").running() as first:
            await _claim(first)
            with first.keeper.acting(_LEASE, 0.1) as held:
                assert held is not None
                releasing = asyncio.create_task(first.keeper.release(_LEASE))
                await asyncio.sleep(0.05)
                assert not first.state.lease_fold.get(_LEASE).released
                with first.keeper.acting(_LEASE, 0.1) as again:
                    assert again is None
            await releasing
            await first.stream.catch_up()
            assert first.state.lease_fold.get(_LEASE).released

    asyncio.run(scenario())


def test_a_lease_under_which_an_order_does_not_end_is_not_released():
    """
    The next holder waits for the term, as after a crash.
    """

    async def scenario():
        log = FakeLogClient()
        async with _Vm(log, "vm-a").running() as first:
            await _claim(first)
            with first.keeper.acting(_LEASE, 0.1):
                await first.keeper.release(_LEASE)
                await first.stream.catch_up()
                assert not first.state.lease_fold.get(_LEASE).released

    asyncio.run(scenario())
