# SPDX-License-Identifier: MIT

"""
Leases of real processes whose log drops records: each has at most one holder.
"""

from __future__ import annotations

import signal
import time

from saddledoor_standins.fleet import request_json
from saddledoor_standins.testbed import Shape, Testbed, until
from testbed_helpers import (
    SHORT_TIMINGS,
    BackgroundTrainer,
    assert_step_correct,
    find_collector,
    make_plan,
)


#: Time in which a lease that seems free would be claimed, in seconds.
_CLAIM_TIME = 3.0
#: Longest time until every process knows the leases again, in seconds: the silence
#: after which leases that nobody knows are taken anew, and a term.
_RECOVERY_TIME = 20.0


def _drop_lease_records(bed: Testbed) -> None:
    """
    Drop all records that are in the lease stream now.
    """
    stream = request_json(f"http://{bed.log}/v1/streams/control?from=1000000")
    bed.fake("log", drop_before={"control": stream["next"]})


def _holders(bed: Testbed, lease: str) -> list[str]:
    """
    Return the running VMs that count a lease as theirs.
    """
    names = [name for name in bed.vms if bed.process(name).running]
    return [
        name
        for name in names
        if any(
            lease in entry["leases"]
            for entry in bed.status(name)["vms"]
            if entry["vm"] == name
        )
    ]


def _swap(bed: Testbed, version: int) -> list[int]:
    """
    Publish weights, wait until the first engine runs them, and return the fencing
    numbers of all orders to it.
    """
    bed.publish_weights(version)
    until(lambda: bed.engine_versions()["engine-1"] == version)
    return [order["fence"] for order in bed.fake("engine-1")["orders"]]


def _kill(bed: Testbed, vm: str) -> None:
    process = bed.process(vm)
    process.signal(signal.SIGKILL)
    process.wait()


def test_a_vm_that_starts_after_a_claim_was_dropped_gives_no_orders(record_property):
    """
    Guards against two holders of a control lease: a VM that could not read the claim
    took the lease for free, and both sent orders.
    """
    record_property("promise", "labels")
    with Testbed.open(Shape(timings=SHORT_TIMINGS, fenced=False)) as bed:
        lease = "control/dc-a"
        (holder,) = until(lambda: _holders(bed, lease))
        (joining,) = {"dc-a-vm1", "dc-a-vm2"} - {holder}
        _kill(bed, joining)
        _drop_lease_records(bed)
        bed.start_vm(joining)
        version = 1
        joined_at = time.monotonic()
        while time.monotonic() < joined_at + 2 * _CLAIM_TIME:
            version += 1
            fences = _swap(bed, version)
            assert fences == sorted(fences)
            assert _holders(bed, lease) == [holder]
        # The VM that joined has read a snapshot, and succeeds the holder.
        _kill(bed, holder)
        until(lambda: _holders(bed, lease) == [joining], _RECOVERY_TIME)
        fences = _swap(bed, version + 1)
        assert fences == sorted(fences)


def test_a_collector_that_missed_its_succession_is_no_collector(bed, record_property):
    """
    Guards against two collectors of a trainer: a VM that was cut off from the log while
    the records of its successor's claim were dropped renewed its own lease in vain, but
    believed that the renewals took effect.
    """
    record_property("promise", "exactly_once")
    lease = "collector/trainer-a"
    plan = make_plan(bed, vms=(bed.vms["dc-a-vm1"].http,))
    trainer = BackgroundTrainer(plan)
    trainer.start()
    until(lambda: _holders(bed, lease) == ["dc-a-vm1"])
    assert_step_correct(trainer.finish())
    bed.set_log_link("dc-a")
    time.sleep(1.5 * SHORT_TIMINGS["lease_term"])
    plan = make_plan(bed, vms=(bed.vms["dc-b-vm1"].http,), step=2)
    trainer = BackgroundTrainer(plan)
    trainer.start()
    until(lambda: find_collector(bed) and "dc-b-vm1" in _holders(bed, lease))
    _drop_lease_records(bed)
    bed.set_log_link("dc-a", mode="pass")
    until(lambda: _holders(bed, lease) == ["dc-b-vm1"], _RECOVERY_TIME)
    time.sleep(_CLAIM_TIME)
    assert _holders(bed, lease) == ["dc-b-vm1"]
    assert_step_correct(trainer.finish())


def test_leases_that_no_process_knows_are_taken_anew(bed, record_property):
    """
    Guards against leases that nobody may claim: every VM starts anew after the records
    of the leases were dropped.
    """
    record_property("promise", "labels")
    until(lambda: _holders(bed, "control/dc-a"))
    for name in bed.vms:
        _kill(bed, name)
    _drop_lease_records(bed)
    for name in bed.vms:
        bed.start_vm(name)
    leases = ("control/dc-a", "control/dc-b")
    until(lambda: all(_holders(bed, lease) for lease in leases), _RECOVERY_TIME)
    time.sleep(_CLAIM_TIME)
    assert [len(_holders(bed, lease)) for lease in leases] == [1, 1]
    bed.publish_weights(2)
    until(lambda: list(bed.engine_versions().values()) == [2, 2])
