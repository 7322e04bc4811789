# SPDX-License-Identifier: MIT

"""
Operation during failures of real processes: configuration, leaving, planned stop.

Each test records its promise and, if it causes refusals, the share of repeatable
requests that were answered during the failure.
"""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from saddledoor_standins.fleet import request_json
from saddledoor_standins.testbed import until
from testbed_helpers import (
    BackgroundTrainer,
    answered_share,
    assert_step_correct,
    find_collector,
    make_plan,
)


def test_two_operators_race_and_one_wins(bed, record_property):
    """
    Of two files with the same base, one is accepted; the other's author learns which.
    """
    record_property("promise", "configuration")
    base = bed.offset
    files = []
    for queue in (300, 400):
        changed = {**bed.deployment, "limits": {"max_queue": queue}}
        files.append(changed)
    with ThreadPoolExecutor(2) as pool:
        results = list(pool.map(lambda f: bed.publish(f, base), files))
    states = sorted(result["state"] for result in results)
    assert states == ["accepted", "lost"]
    winner = next(r for r in results if r["state"] == "accepted")
    loser = next(r for r in results if r["state"] == "lost")
    assert loser["accepted"] == winner["offset"]
    assert "max_queue" in loser["difference"]
    until(lambda: bed.is_active_everywhere(winner["offset"]))


def test_a_vm_that_starts_without_the_log_learns_from_peers(bed, record_property):
    """
    The VM uses the newest accepted file, and keeps it when the log is back.
    """
    record_property("promise", "configuration")
    changed = {**bed.deployment, "limits": {"max_queue": 300}}
    offset = bed.publish(changed, bed.offset)["offset"]
    until(lambda: bed.is_active_everywhere(offset))
    victim = bed.process("dc-a-vm1")
    victim.signal(signal.SIGKILL)
    victim.wait()
    bed.set_log_link()
    bed.start_vm("dc-a-vm1")
    until(lambda: bed.status("dc-a-vm1")["config_offset"] == offset)
    share = answered_share(bed)
    record_property("repeatable_answered", share)
    assert share == 1.0
    bed.set_log_link(mode="pass")
    seen = [bed.status("dc-a-vm1")["config_offset"] for _ in range(20)]
    assert set(seen) == {offset}


def test_a_data_centre_cut_from_the_log_gets_changes_from_peers(bed, record_property):
    """
    A change published during the partition reaches it through the other data centre.
    """
    record_property("promise", "configuration")
    bed.set_log_link("dc-b")
    changed = {**bed.deployment, "limits": {"max_queue": 300}}
    offset = bed.publish(changed, bed.offset)["offset"]
    began = time.monotonic()
    until(lambda: bed.is_active_everywhere(offset))
    record_property("seconds", round(time.monotonic() - began, 2))


def test_a_log_that_dropped_old_records_causes_no_divergence(bed, record_property):
    """
    A VM that starts without the old records gets the configuration from its peers.
    """
    record_property("promise", "configuration")
    bed.fake("log", drop_before={"config": 3})
    victim = bed.process("dc-b-vm1")
    victim.signal(signal.SIGKILL)
    victim.wait()
    bed.start_vm("dc-b-vm1")
    until(lambda: bed.status("dc-b-vm1")["config_offset"] == bed.offset)


def test_an_undecodable_record_is_skipped_and_counted(bed, record_property):
    """
    Invalid records in the log's streams cause no failure.
    """
    record_property("promise", "configuration")
    for stream in ("config", "control", "claims-0"):
        url = f"http://{bed.log}/v1/streams/{stream}"
        request_json(url, {"records": ["not json", '{"kind": "moon"}', ""]})
    changed = {**bed.deployment, "limits": {"max_queue": 300}}
    offset = bed.publish(changed, bed.offset)["offset"]
    until(lambda: bed.is_active_everywhere(offset))
    assert bed.book("dc-a-vm1", "r1", "k1").code == 100
    assert all(bed.process(name).running for name in bed.vms)


def test_an_invalid_file_in_the_log_changes_nothing(bed, record_property):
    """
    An invalid proposal receives its verdict and is not activated.
    """
    record_property("promise", "configuration")
    url = f"http://{bed.log}/v1/streams/config"
    proposal = (
        '{"kind": "config_proposal", "record_id": "x", "base": %d, "document": "?"}'
    )
    request_json(url, {"records": [proposal % bed.offset]})
    until(
        lambda: (
            "invalid"
            in bed.ctl("config", "history", "--log", f"http://{bed.log}").stdout
        )
    )
    assert {bed.status(name)["config_offset"] for name in bed.vms} == {bed.offset}


def test_a_leaving_engine_gets_no_new_work_with_the_log_cut(bed, record_property):
    """
    An engine reports that it is leaving while its data centre cannot reach the log.
    """
    record_property("promise", "leaving")
    bed.set_log_link("dc-a")
    bed.fake("engine-1", leaving=True)
    began = time.monotonic()

    def started() -> int:
        return len(bed.fake("engine-1")["started"])

    def quiet() -> bool:
        before = started()
        for vm in bed.vms:
            assert bed.complete(vm, "p").code == 100
        return started() == before

    until(quiet, timeout=8.0)
    record_property("seconds", round(time.monotonic() - began, 2))
    before = started()
    answers = [bed.complete(vm, "p").code for vm in list(bed.vms) * 5]
    record_property("repeatable_answered", answers.count(100) / len(answers))
    assert started() == before
    assert answers.count(100) == len(answers)


def test_an_engine_marked_and_unmarked_at_once_follows_the_winner(bed, record_property):
    """
    Two operators publish concurrently, one with the mark; every VM uses the accepted
    file.
    """
    record_property("promise", "leaving")
    marked = _with_state(bed.deployment, "leaving")
    unmarked = {**bed.deployment, "limits": {"max_queue": 300}}
    with ThreadPoolExecutor(2) as pool:
        results = list(
            pool.map(lambda f: bed.publish(f, bed.offset), (marked, unmarked))
        )
    winner = next(r for r in results if r["state"] == "accepted")
    until(lambda: bed.is_active_everywhere(winner["offset"]))
    before = len(bed.fake("engine-1")["started"])
    for vm in ("dc-a-vm1", "dc-a-vm2") * 3:
        assert bed.complete(vm, "p").code == 100
    grew = len(bed.fake("engine-1")["started"]) > before
    assert grew is (results[1]["state"] == "accepted")


def _with_state(deployment: dict, state: str) -> dict:
    pool = deployment["pools"][0]
    engines = [
        {**engine, "state": state} if engine["name"] == "engine-1" else engine
        for engine in pool["engines"]
    ]
    return {**deployment, "pools": [{**pool, "engines": engines}]}


def test_a_planned_stop_aborts_no_request(bed, record_property):
    """
    Long requests, a collector's step and requests sent during the stop complete.
    """
    record_property("promise", "planned_stop")
    trainer = BackgroundTrainer(make_plan(bed, tokens=90))
    trainer.start()
    victim = until(lambda: find_collector(bed))
    with ThreadPoolExecutor(16) as pool:
        long = [pool.submit(bed.complete, victim, f"p{n}", 500) for n in range(3)]
        time.sleep(0.3)
        bed.process(victim).signal(signal.SIGTERM)
        # The balancer continues to send requests for some seconds.
        late = [
            pool.submit(bed.look_up, victim) for _ in range(10) if not time.sleep(0.05)
        ]
        codes = [future.result().code for future in long + late]
    assert codes == [100] * len(codes)
    assert bed.process(victim).wait(60.0) == 0
    assert_step_correct(trainer.finish())


def test_a_second_signal_ends_a_stopping_vm_at_once(bed, record_property):
    """
    A second signal ends the daemon without waiting for its requests.
    """
    record_property("promise", "planned_stop")
    with ThreadPoolExecutor(1) as pool:
        pool.submit(bed.complete, "dc-a-vm1", "p", 4000)
        time.sleep(0.3)
        bed.process("dc-a-vm1").signal(signal.SIGTERM)
        time.sleep(0.3)
        began = time.monotonic()
        bed.process("dc-a-vm1").signal(signal.SIGTERM)
        bed.process("dc-a-vm1").wait(10.0)
        assert time.monotonic() - began < 8.0


def test_a_planned_stop_aborts_no_call_from_a_peer(bed, record_property):
    """
    A call with an issued key from another VM completes while the issuer stops.
    """
    record_property("promise", "planned_stop")
    key = bed.ask("dc-a-vm1", "/v1/keys").data["key"]
    for name in bed.instances:
        bed.fake(name, delay_s=4.0)
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(bed.book, "dc-b-vm1", "r1", key)
        until(lambda: sum(bed.runs().values()) == 1)
        bed.process("dc-a-vm1").signal(signal.SIGTERM)
        assert waiting.result().code == 100
    assert bed.process("dc-a-vm1").wait(30.0) == 0
    assert bed.runs()["r1"] == 1
