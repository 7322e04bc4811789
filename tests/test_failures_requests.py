# SPDX-License-Identifier: MIT

"""
Requests during failures of real processes: at most once, not run, complete answers.

Each test records its promise and, if it causes refusals, the share of repeatable
requests that were answered during the failure.
"""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import pytest

from saddledoor_standins.testbed import MODEL, until
from testbed_helpers import (
    SHORT_TIMINGS,
    answered_share,
)


def test_one_key_at_two_vms_at_once_runs_once(bed, record_property):
    """
    A key sent to every VM at the same time runs once; without a key each call runs.
    """
    record_property("promise", "at_most_once")
    names = list(bed.vms)
    with ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda n: bed.book(n, "once", "key"), names * 2))
        list(pool.map(lambda n: bed.book(n, "many"), names))
    assert [answer.code for answer in answers] == [100] * 8
    assert bed.runs()["once"] == 1
    assert bed.runs()["many"] == len(names)


def test_a_key_survives_pause_and_crash_of_its_owner(bed, record_property):
    """
    A key stays used after the VM that ran it was paused, killed and replaced.
    """
    record_property("promise", "at_most_once")
    assert bed.book("dc-a-vm1", "r1", "k1").code == 100
    owner = bed.process("dc-a-vm1")
    owner.signal(signal.SIGSTOP)
    time.sleep(SHORT_TIMINGS["lease_term"] * 1.2)
    paused_answer = bed.book("dc-b-vm1", "r1", "k1", timeout=12.0)
    assert paused_answer.family == "unknown"
    owner.signal(signal.SIGCONT)
    assert bed.book("dc-b-vm1", "r1", "k1").code == 100
    owner.signal(signal.SIGKILL)
    owner.wait()
    assert bed.book("dc-b-vm2", "r1", "k1").code == 301
    bed.start_vm("dc-a-vm1")
    until(lambda: bed.is_active_everywhere(bed.offset))
    assert bed.book("dc-a-vm1", "r1", "k1").code == 301
    assert bed.runs()["r1"] == 1


def test_a_vm_paused_between_claim_and_call_does_not_run_late(bed, record_property):
    """
    A request whose deadline passed while its VM was paused is not handed over.
    """
    record_property("promise", "at_most_once")
    bed.fake("log", away=True)
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(bed.book, "dc-a-vm1", "late", "late-key", 30.0)
        time.sleep(0.05)
        bed.process("dc-a-vm1").signal(signal.SIGSTOP)
        bed.fake("log", away=False)
        time.sleep(bed.deployment["limits"]["request_timeout_s"] + 1.0)
        bed.process("dc-a-vm1").signal(signal.SIGCONT)
        answer = waiting.result()
    again = bed.book("dc-b-vm1", "late", "late-key")
    assert bed.runs().get("late", 0) <= 1
    if answer.family == "not_run":
        assert bed.runs().get("late", 0) == (again.code == 100)


def test_without_the_log_keys_are_refused_and_look_ups_answered(bed, record_property):
    """
    Without the log, claims are refused as not run; other calls continue.
    """
    record_property("promise", "at_most_once")
    issued = bed.ask("dc-a-vm1", "/v1/keys").data["key"]
    bed.set_log_link()
    began = time.monotonic()
    refused = bed.book("dc-a-vm1", "r1", "k1")
    waited = time.monotonic() - began
    share = answered_share(bed)
    record_property("repeatable_answered", share)
    assert refused.code == 202 and refused.retry_after > 0
    assert waited < 5.0
    for name in bed.vms:
        assert bed.book(name, "r2", issued).code == 100
    assert bed.runs() | {"x": 0} == {"r2": 1, "x": 0}
    assert share == 1.0
    bed.set_log_link(mode="pass")
    answer = until(lambda: (a := bed.book("dc-b-vm1", "r1", "k1")).code == 100 and a)
    assert answer.code == 100
    assert bed.runs()["r1"] == 1


def test_appends_whose_answer_is_lost_run_nothing_twice(bed, record_property):
    """
    The log appends claims but its answers are lost; callers retry with the same key.
    """
    record_property("promise", "at_most_once")
    bed.fake("log", lose_answers=6)
    names = list(bed.vms)
    for number in range(4):
        until(lambda n=number: bed.book(names[n], f"r{n}", f"k{n}").code == 100)
        bed.book(names[number - 1], f"r{number}", f"k{number}")
    assert {bed.runs()[f"r{n}"] for n in range(4)} == {1}


def test_data_centres_cut_off_from_each_other_run_a_key_once(bed, record_property):
    """
    Each data centre continues to serve; a key sent to both sides runs once.
    """
    record_property("promise", "at_most_once")
    bed.set_data_centre_links()
    share = answered_share(bed)
    record_property("repeatable_answered", share)
    first = bed.book("dc-a-vm1", "r1", "k1")
    second = bed.book("dc-b-vm1", "r1", "k1", timeout=12.0)
    assert first.code == 100
    # The outcome is not available across the partition, so it is unknown.
    assert second.code == 301
    assert bed.runs()["r1"] == 1
    assert share == 1.0


@pytest.mark.parametrize(
    ("fault", "family"),
    [
        ("not_started", "not_run"),
        ("read_and_close", "unknown"),
        ("run_and_close", "unknown"),
    ],
)
def test_the_outcome_family_is_correct(bed, record_property, fault, family):
    """
    Instances refuse a call as not started, or close the connection after reading it.
    """
    record_property("promise", "not_run")
    for name in bed.instances:
        bed.fake(name, **{fault: 10})
    for number, vm in enumerate(bed.vms):
        answer = bed.book(vm, f"r{number}", f"k{number}")
        assert answer.family == family
        if family == "not_run":
            assert answer.retry_after is not None
            assert f"r{number}" not in bed.runs()
        assert bed.runs().get(f"r{number}", 0) <= 1


def test_an_unrepeatable_get_is_not_repeated_by_the_client_library(
    bed, record_property
):
    """
    A GET on an unrepeatable route, whose connection is closed after reading, runs once.
    """
    record_property("promise", "not_run")
    path = "/v1/services/desk/book?ref=got"
    # A client library could repeat a GET silently on a reused connection.
    for _ in range(3):
        bed.ask("dc-a-vm1", "/v1/services/desk/book?ref=warm", b"", method="GET")
    for name in bed.instances:
        bed.fake(name, run_and_close=5)
    answer = bed.ask("dc-a-vm1", path, b"", method="GET")
    assert answer.family == "unknown"
    assert bed.runs()["got"] == 1


def test_dead_services_are_refused_as_not_run(bed, record_property):
    """
    With every instance dead, both kinds of call are refused as not run.
    """
    record_property("promise", "not_run")
    for name in bed.instances:
        bed.process(name).signal(signal.SIGKILL)
        bed.process(name).wait()
    assert bed.book("dc-a-vm1", "r1", "k1").family == "not_run"
    refused = bed.look_up("dc-b-vm1")
    assert refused.family == "not_run" and refused.retry_after is not None


def test_cut_streams_still_give_whole_answers(bed, record_property):
    """
    Engines abort streams; answers are resumed at another engine, or refused.
    """
    record_property("promise", "whole_answer")
    for name in bed.engines:
        bed.fake(name, cut_streams=2)
    whole = 0
    for number, vm in enumerate(bed.vms):
        answer = bed.complete(vm, f"prompt {number}", 24)
        if answer.code != 100:
            assert answer.code == 302
            continue
        whole += 1
        text = answer.data["choices"][0]["text"]
        assert [int(t.split(":")[3]) for t in text.split()] == list(range(24))
    assert whole > 0


def test_a_stream_that_cannot_be_resumed_has_no_end_marker(bed, record_property):
    """
    A streamed answer that cannot be completed ends with an error, without ``[DONE]``.
    """
    record_property("promise", "whole_answer")
    for name in bed.engines:
        bed.fake(name, cut_streams=1000)
    connection = HTTPConnection(bed.vms["dc-a-vm1"].ip, 7001, timeout=20)
    body = f'{{"model": "{MODEL}", "prompt": "p", "max_tokens": 200, "stream": true}}'
    headers = {"Authorization": "Bearer partner-a"}
    connection.request("POST", "/v1/completions", body, headers)
    raw = connection.getresponse().read().decode()
    assert "[DONE]" not in raw
    assert '"code": 302' in raw
