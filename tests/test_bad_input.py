# SPDX-License-Identifier: MIT

"""
Invalid input to a running daemon causes an error response, and no failure.
"""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from pathlib import Path

import grpc
import pytest
import yaml

from saddledoor_standins.testbed import MODEL, Shape, Testbed
from saddledoord.wire import peer_pb2 as pb
from saddledoord.wire.peer_pb2_grpc import PeerStub


@pytest.fixture(scope="module")
def bed():
    """
    Return a testbed of one data centre with one VM.
    """
    shape = Shape(
        vms={"dc-a": 1},
        engines={"dc-a": 1},
        services={"dc-a": 1},
        limits={"body_timeout_s": 0.5, "max_body_bytes": 10_000},
    )
    with Testbed.open(shape) as bed:
        yield bed


def _exchange_bytes(bed: Testbed, port: int, data: bytes, wait: float = 5.0) -> bytes:
    """
    Send bytes and return the answer up to the end of its headers, or to the end of the
    connection.
    """
    received = b""
    with socket.create_connection((bed.vms["dc-a-vm1"].ip, port), wait) as connection:
        connection.sendall(data)
        try:
            while chunk := connection.recv(4096):
                received += chunk
                if b"\r\n\r\n" in received:
                    break
        except OSError:
            pass
    return received


def _completion(**changes: object) -> dict:
    return {"model": MODEL, "prompt": "p", "max_tokens": 4} | changes


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"not json", 400),
        (b"", 400),
        (b"\xff\xfe", 400),
        (b"[" * 5000, 400),
        (_completion(max_tokens=0), 400),
        (_completion(max_tokens="4"), 400),
        (_completion(colour="red"), 400),
        (_completion(model="moon"), 404),
        (_completion(prompt="x" * 20_000), 413),
    ],
)
def test_a_bad_completion_is_refused_with_its_code(bed, body, code):
    """
    Each kind of invalid completion request has its own result code.
    """
    answer = bed.ask("dc-a-vm1", "/v1/completions", body)
    assert answer.code == code
    assert answer.family == "not_run"


def test_an_unknown_token_is_refused(bed):
    """
    A request without a known token is refused.
    """
    assert bed.ask("dc-a-vm1", "/v1/completions", {}, token="who").code == 401


def test_a_partner_cannot_fetch_a_trainers_samples(bed):
    """
    Samples of a trainer can only be fetched with its own token.
    """
    path = "/v1/trainers/trainer-a/steps/1/fetch"
    assert bed.ask("dc-a-vm1", path, {}).code == 403


def test_an_unknown_service_is_refused(bed):
    """
    A service that is not in the configuration is refused as unknown.
    """
    assert bed.ask("dc-a-vm1", "/v1/services/moon/x", {}).code == 404


def test_a_step_with_a_slot_twice_is_refused(bed):
    """
    No part of an invalid step is accepted.
    """
    sample = {"group": 0, "index": 0, "prompt": "p", "max_tokens": 4}
    body = {"version": 1, "samples": [sample, sample]}
    path = "/v1/trainers/trainer-a/steps/1"
    answer = bed.ask("dc-a-vm1", path, body, token="trainer-a")
    assert answer.code == 400
    assert bed.status("dc-a-vm1")["steps"] == []


def test_an_incomplete_body_times_out(bed):
    """
    A request whose body is not sent completely is refused after a timeout.
    """
    head = (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer partner-a\r\nContent-Length: 100\r\n\r\nabc"
    )
    assert b" 408 " in _exchange_bytes(bed, 7001, head)


def test_a_header_that_is_too_long_is_refused(bed):
    """
    The size of request headers is limited.
    """
    head = b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 200_000
    assert b" 400 " in _exchange_bytes(bed, 7001, head + b"\r\n\r\n")


@pytest.mark.parametrize("port", [7001, 7002])
def test_invalid_bytes_on_a_port_affect_no_other_connection(bed, port):
    """
    Invalid protocol data closes only its own connection.
    """
    _exchange_bytes(bed, port, bytes(range(256)) * 40, wait=1.0)
    assert bed.look_up("dc-a-vm1").code == 100


def test_a_peer_without_the_secret_is_refused(bed):
    """
    A peer call without the shared secret is rejected as unauthenticated.
    """
    address = bed.vms["dc-a-vm1"].grpc
    with (
        grpc.insecure_channel(address) as channel,
        pytest.raises(grpc.RpcError) as caught,
    ):
        PeerStub(channel).Exchange(pb.ExchangeRequest(vm="x"), timeout=5)
    assert caught.value.code() is grpc.StatusCode.UNAUTHENTICATED


def test_invalid_values_from_a_peer_change_nothing(bed):
    """
    Invalid values in authenticated peer calls cause no failure.
    """
    metadata = (("saddledoor-peer", "a secret for stand-ins only"),)
    with grpc.insecure_channel(bed.vms["dc-a-vm1"].grpc) as channel:
        stub = PeerStub(channel)
        calls = [
            (stub.Claim, pb.ClaimRequest(partition=-5, key="k", claim_id="c")),
            (stub.Collect, pb.CollectRequest(trainer="moon", operation="dance")),
            (stub.HandOver, pb.HandOverRequest(trainer="moon", samples=b"?")),
            (stub.Call, pb.ServiceWork(service="moon", key="k", timeout_s=-1)),
            (stub.Outcome, pb.OutcomeRequest(claim_id="none", wait_s=1e300)),
        ]
        for call, request in calls:
            try:
                call(request, timeout=5, metadata=metadata)
            except grpc.RpcError:
                pass
    assert bed.book("dc-a-vm1", "after", "after").code == 100
    assert bed.process("dc-a-vm1").running


def test_a_refusal_is_sent_without_delay(bed):
    """
    A request that cannot be run is refused without delay, with a retry time.
    """
    bed.fake("desk-1", not_started=10)
    began = time.monotonic()
    answer = bed.look_up("dc-a-vm1")
    bed.fake("desk-1", not_started=0)
    assert answer.retry_after is not None
    assert time.monotonic() - began < 4.0


def _run_daemon(path: Path) -> subprocess.CompletedProcess:
    binary = str(Path(sys.executable).parent / "saddledoord")
    return subprocess.run(
        [binary, "--settings", str(path)], capture_output=True, text=True, timeout=30
    )


_SETTINGS = {
    "vm": "vm-1",
    "data_centre": "dc-a",
    "deployment": "test",
    "http": "127.0.0.1:1",
    "grpc": "127.0.0.1:2",
    "log_service": "http://127.0.0.1:3",
    "vm_list": "http://127.0.0.1:4",
    "peer_secret": "a secret that is long enough",
}


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"colour": "red"}, "colour"),
        ({"http": "localhost:1"}, "http"),
        ({"peer_secret": "short"}, "peer_secret"),
        ({"timings": {"lease_term": -1}}, "timings.lease_term"),
        ({"timings": {"lease_term": 2, "order_timeout": 2}}, "timings.order_timeout"),
    ],
)
def test_bad_settings_name_file_line_and_field(tmp_path, change, place):
    """
    The daemon exits with status 2 and names the file and the invalid field.
    """
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(_SETTINGS | change))
    result = _run_daemon(path)
    assert result.returncode == 2
    assert str(path) in result.stderr
    assert place in result.stderr
    assert "Traceback" not in result.stderr


def test_a_missing_settings_file_is_reported(tmp_path):
    """
    The daemon exits with status 2 if the settings file is missing.
    """
    result = _run_daemon(tmp_path / "none.yaml")
    assert result.returncode == 2
    assert "Traceback" not in result.stderr
