# SPDX-License-Identifier: MIT

"""
Samples during failures of real processes: labels, delivery, staleness.

Each test records its promise and, if it causes refusals, the share of repeatable
requests that were answered during the failure.
"""

from __future__ import annotations

import signal
import time

from saddledoor_standins.fleet import request_json
from saddledoor_standins.testbed import MODEL, TRAINER, Shape, Testbed, until
from testbed_helpers import (
    SHORT_TIMINGS,
    BackgroundTrainer,
    answered_share,
    assert_step_correct,
    find_collector,
    make_plan,
)


def test_labels_are_correct_during_faulty_swaps(bed, record_property):
    """
    Weights are swapped during samples, an order is not executed, and an engine restarts
    with old weights.
    """
    record_property("promise", "labels")
    bed.fake("engine-1", pretend_activate=1)
    trainer = BackgroundTrainer(make_plan(bed, publish_at=0.25))
    trainer.start()
    until(lambda: bed.engine_versions().get("engine-2") == 2)
    bed.process("engine-2").signal(signal.SIGKILL)
    time.sleep(0.5)
    bed.start_engine("engine-2", version=1)
    result = trainer.finish()
    assert_step_correct(result)
    assert result["samples_of_mixed_versions"] > 0
    until(lambda: bed.engine_versions() == {"engine-1": 2, "engine-2": 2})


def test_a_late_order_to_an_unfenced_engine_causes_no_wrong_label(record_property):
    """
    An engine without fencing reverts its weights; labels stay correct, and it is
    updated again.
    """
    record_property("promise", "labels")
    with Testbed.open(Shape(timings=SHORT_TIMINGS, fenced=False)) as bed:
        bed.publish_weights(2)
        until(lambda: bed.engine_versions() == {"engine-1": 2, "engine-2": 2})
        trainer = BackgroundTrainer(make_plan(bed, version=2, publish_at=2.0))
        trainer.start()
        address = bed.engines["engine-1"]["address"]
        for action in ("stage", "activate"):
            order = {"fence": 0, "action": action, "model": MODEL, "version": 1}
            request_json(f"http://{address}/v1/orders", order)
        assert_step_correct(trainer.finish())
        until(lambda: bed.engine_versions()["engine-1"] == 2)


def test_a_killed_collector_loses_and_duplicates_nothing(bed, record_property):
    """
    The collector is killed during a step; another VM resumes it from the trainer's
    received slots.
    """
    record_property("promise", "exactly_once")
    trainer = BackgroundTrainer(make_plan(bed))
    trainer.start()
    victim = until(lambda: find_collector(bed))
    time.sleep(0.5)
    bed.process(victim).signal(signal.SIGKILL)
    result = trainer.finish()
    assert_step_correct(result)
    assert result["submits"] > 1


def test_a_paused_collector_corrupts_no_step(bed, record_property):
    """
    The collector is paused beyond its lease, and resumes beside its successor.
    """
    record_property("promise", "exactly_once")
    trainer = BackgroundTrainer(make_plan(bed, tokens=120))
    trainer.start()
    victim = until(lambda: find_collector(bed))
    time.sleep(0.3)
    bed.process(victim).signal(signal.SIGSTOP)
    time.sleep(SHORT_TIMINGS["lease_term"] * 1.5)
    bed.process(victim).signal(signal.SIGCONT)
    result = trainer.finish()
    assert_step_correct(result)


def test_a_step_continues_without_the_log(bed, record_property):
    """
    The collector's lease expires without the log; the step still completes.
    """
    record_property("promise", "exactly_once")
    trainer = BackgroundTrainer(make_plan(bed, tokens=50, publish_at=2.0))
    trainer.start()
    until(lambda: find_collector(bed))
    bed.set_log_link()
    share = answered_share(bed)
    record_property("repeatable_answered", share)
    result = trainer.finish()
    assert_step_correct(result)
    assert share == 1.0


def test_no_sample_is_stale_when_weights_advance_twice(bed, record_property):
    """
    The weights advance by two versions while long samples are generated.
    """
    record_property("promise", "staleness")
    plan = make_plan(bed, publish_at=0.2, staleness_bound=1, tokens=100)
    trainer = BackgroundTrainer(plan)
    trainer.start()
    until(lambda: bed.engine_versions().get("engine-1") == 2)
    bed.publish_weights(3)
    result = trainer.finish()
    assert_step_correct(result)


def test_a_paused_control_holder_sends_no_order_after_its_lease(record_property):
    """
    Engines without fencing get no order of an old holder after one of its successor.
    """
    record_property("promise", "labels")
    with Testbed.open(Shape(timings=SHORT_TIMINGS, fenced=False)) as bed:
        holder = until(lambda: _control_holder(bed, "dc-a"))
        bed.process(holder).signal(signal.SIGSTOP)
        bed.publish_weights(2)
        until(lambda: bed.engine_versions() == {"engine-1": 2, "engine-2": 2})
        bed.publish_weights(3)
        bed.process(holder).signal(signal.SIGCONT)
        until(lambda: bed.engine_versions() == {"engine-1": 3, "engine-2": 3})
        time.sleep(1.0)
        fences = [order["fence"] for order in bed.fake("engine-1")["orders"]]
        assert fences == sorted(fences)
        assert len(set(fences)) >= 1


def _control_holder(bed: Testbed, data_centre: str) -> str | None:
    for name, vm in bed.vms.items():
        leases = {v["vm"]: v["leases"] for v in bed.status(name)["vms"]}
        if vm.data_centre == data_centre and leases.get(name):
            return name
    return None


def test_a_swap_survives_its_holder_and_a_failing_engine(bed, record_property):
    """
    An engine fails its swap, and the lease holder is killed during the swap.
    """
    record_property("promise", "labels")
    bed.fake("engine-1", fail_activate=1)
    holder = until(lambda: _control_holder(bed, "dc-a"))
    trainer = BackgroundTrainer(make_plan(bed, publish_at=0.2))
    trainer.start()
    until(lambda: bed.engine_versions().get("engine-2") == 2)
    bed.process(holder).signal(signal.SIGKILL)
    assert_step_correct(trainer.finish())
    until(lambda: bed.engine_versions() == {"engine-1": 2, "engine-2": 2})


def test_a_step_whose_last_sample_is_at_a_dead_engine_ends(bed, record_property):
    """
    The engine that generates the last sample crashes; another one resumes it.
    """
    record_property("promise", "exactly_once")
    plan = make_plan(bed, groups=1, group_size=1, tokens=300, publish_at=2.0)
    trainer = BackgroundTrainer(plan)
    trainer.start()

    def running() -> str | None:
        return next((n for n in bed.engines if bed.load(n)["running"]), None)

    victim = until(running)
    time.sleep(0.4)
    bed.process(victim).signal(signal.SIGKILL)
    assert_step_correct(trainer.finish())


def test_a_collector_killed_before_an_acknowledgement_duplicates_nothing(
    bed, record_property
):
    """
    The trainer keeps a batch, and the collector is killed before the acknowledgement.
    """
    record_property("promise", "exactly_once")
    samples = [_sample(group) for group in range(4)]
    path = f"/v1/trainers/{TRAINER}/steps/7"
    opened = _submit(bed, "dc-a-vm1", path, samples, [])
    batch = _fetch_some(bed, "dc-a-vm1", path, opened["fence"], opened["cursor"])
    kept = [(s["group"], s["index"]) for s in batch["samples"]]
    bed.process(find_collector(bed)).signal(signal.SIGKILL)
    resync = _fetch(bed, "dc-b-vm1", path, opened["fence"], batch["number"])
    assert resync.code in (206, 207)
    opened = until(lambda: _submit(bed, "dc-b-vm1", path, samples, kept))
    cursor = opened["cursor"]
    while len(kept) < 4:
        batch = _fetch_some(bed, "dc-b-vm1", path, opened["fence"], cursor)
        cursor = batch["number"]
        kept += [(s["group"], s["index"]) for s in batch["samples"]]
    assert sorted(kept) == [(group, 0) for group in range(4)]


def test_finished_samples_outlive_a_planned_stop(bed, record_property):
    """
    Finished samples are handed to the next collector, and not generated again.
    """
    record_property("promise", "planned_stop")
    samples = [_sample(group) for group in range(6)]
    path = f"/v1/trainers/{TRAINER}/steps/8"
    _submit(bed, "dc-a-vm1", path, samples, [])
    collector = until(lambda: find_collector(bed))
    until(lambda: bed.status(collector)["steps"][0]["ready"] == 6)
    made = _samples_made(bed)
    bed.process(collector).signal(signal.SIGTERM)
    assert bed.process(collector).wait(30.0) == 0
    opened = until(lambda: _submit(bed, "dc-b-vm1", path, samples, []))
    assert opened["missing"] == 0
    batch = _fetch_some(bed, "dc-b-vm1", path, opened["fence"], opened["cursor"])
    assert len(batch["samples"]) == 6
    assert _samples_made(bed) == made


def _sample(group: int) -> dict:
    return {"group": group, "index": 0, "prompt": f"p{group}", "max_tokens": 8}


def _samples_made(bed: Testbed) -> int:
    return sum(len(bed.fake(name)["started"]) for name in bed.engines)


def _submit(
    bed: Testbed, vm: str, path: str, samples: list[dict], received: list
) -> dict | None:
    body = {"version": 1, "samples": samples, "received": received}
    answer = bed.ask(vm, path, body, token=TRAINER)
    return answer.data if answer.code == 100 else None


def _fetch(bed: Testbed, vm: str, path: str, fence: int, cursor: int):
    body = {"fence": fence, "cursor": cursor, "version": 1, "wait_s": 2.0}
    return bed.ask(vm, f"{path}/fetch", body, token=TRAINER)


def _fetch_some(bed: Testbed, vm: str, path: str, fence: int, cursor: int) -> dict:
    answer = until(
        lambda: (a := _fetch(bed, vm, path, fence, cursor)).code == 100 and a
    )
    return answer.data
