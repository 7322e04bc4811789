# SPDX-License-Identifier: MIT

"""
One node at a time starts a request that may crash engines.
"""

from __future__ import annotations

import pytest
from crash_model import PATIENT, CrashModel, Request

from saddledoor import (
    EngineCrashed,
    RequestsCleared,
    StartClaimed,
    StartClaimFold,
    decode_record,
    encode_record,
)


@pytest.fixture
def model():
    model = CrashModel(nodes=3, engines=8)
    yield model
    model.close()


def _claim(fold: StartClaimFold, claim_id: str, after: str, now: float = 0.0) -> None:
    fold.apply(StartClaimed("a", claim_id, after), now)


def test_of_two_claims_after_the_same_one_the_first_counts():
    """
    All nodes fold the same records, so they agree.
    """
    fold = StartClaimFold()
    _claim(fold, "x", "")
    _claim(fold, "y", "")
    assert fold.newest("a") == "x"
    _claim(fold, "z", "x")
    assert fold.newest("a") == "z"


def test_a_claim_is_read_again_without_effect():
    """
    An append without an answer is repeated.
    """
    fold = StartClaimFold()
    for now in (0.0, 3.0):
        _claim(fold, "x", "", now)
    assert fold.excludes_others("a", 3.5)
    assert not fold.excludes_others("a", 3.6)


@pytest.mark.parametrize(
    "record", [EngineCrashed("e", 1, ("a",)), RequestsCleared(("a",))]
)
def test_a_claim_ends_with_the_outcome_of_the_start(record):
    """
    Otherwise the other nodes wait for its whole term.
    """
    fold = StartClaimFold()
    _claim(fold, "x", "")
    assert fold.excludes_others("a", 0.1)
    fold.apply(record, 0.1)
    assert not fold.excludes_others("a", 0.1)


def test_a_claim_counts_if_its_predecessor_is_not_known():
    """
    The log may have dropped it.
    """
    fold = StartClaimFold()
    _claim(fold, "y", "x")
    assert fold.newest("a") == "y"


def test_what_is_remembered_is_bounded():
    """
    The oldest claims are forgotten first.
    """
    fold = StartClaimFold()
    for number in range(5000):
        fold.apply(StartClaimed(f"key-{number}", "x", ""), 0.0)
    assert len(fold) == 4096
    assert fold.newest("key-4999") == "x"
    assert fold.newest("key-0") == ""


def test_a_claim_survives_encoding():
    """
    All its fields are in the log.
    """
    record = StartClaimed("a", "x", "y")
    assert decode_record(encode_record(record)) == record


def test_nodes_start_a_suspect_one_after_the_other(model):
    """
    After one crash each node started it, so it crashed one engine for each node.
    """
    poison = Request("bad", crash_delay=0.1)
    model.send(poison, 0, 0.12)
    model.pass_time(0.2)
    assert len(poison.crashes) == 1
    for node in range(3):
        model.send(poison, node, 2.0)
    model.pass_time(3.5)
    assert len(poison.crashes) == 3


def test_nodes_start_in_isolation_one_after_the_other(model):
    """
    The pause before an isolated start ends at the same time at all nodes.
    """
    poison = Request("bad", crash_delay=0.1)
    model.send(poison, 0, 0.5)
    model.pass_time(0.6)
    assert len(poison.crashes) == 2
    for node in range(3):
        model.send(poison, node, 3.0)
    model.pass_time(4.0)
    assert len(poison.crashes) == 3


@pytest.mark.parametrize("gap", [0.005, 0.01, 0.015, 0.02, 0.025, 0.03])
def test_a_claim_supersedes_none_that_was_read_meanwhile(model, gap):
    """
    A node that had asked for a claim named the one of another node as its predecessor,
    so both made the isolated start.
    """
    poison = Request("bad", crash_delay=0.1)
    model.send(poison, 0, 0.5)
    model.pass_time(0.6)
    for node in range(3):
        model.send(poison, node, 3.0)
        model.pass_time(gap)
    model.pass_time(4.0)
    assert len(poison.crashes) == 3


def test_another_node_starts_a_request_after_the_holder_has_ended(model):
    """
    A claim without an outcome excludes the other nodes for 3.5 s.
    """
    request = Request("a", first_event=1.0)
    model.send(request, 0, PATIENT)
    for _ in range(2):
        model.pass_time(0.3)
        model.crash(request.at[0])
        model.pass_time(0.2)
    model.pass_time(1.2)
    assert request.at
    model.restart(0)
    model.send(request, 1, PATIENT)
    model.pass_time(4.0)
    assert request.at
    assert len(request.starts) == 4


def test_a_suspect_starts_without_a_claim_if_the_store_is_slow(model):
    """
    A request that was only beside a crash must not wait for the store.
    """
    for node in model.nodes:
        node.append = lambda *_, **__: model.loop.create_future()
    request = Request("a", first_event=0.3)
    model.send(request, 0, PATIENT)
    model.pass_time(0.1)
    model.crash(request.at[0])
    model.pass_time(0.3)
    assert len(request.starts) == 2


def test_a_proved_request_does_not_start_without_a_claim(model):
    """
    While the store is away, each node would make the retry.
    """
    poison = Request("bad", crash_delay=0.1)
    model.send(poison, 0, 2.0)
    model.pass_time(3.0)
    assert len(poison.crashes) == 3
    for node in model.nodes:
        node.is_store_reachable = False
        node.append = lambda *_, **__: model.loop.create_future()
    model.pass_time(5.0)
    for node in range(3):
        model.send(poison, node, 10.0)
    model.pass_time(11.0)
    assert len(poison.crashes) == 3
