# SPDX-License-Identifier: MIT

"""
Clients that keep much of a daemon, which is a process, or all of it.

The classes of `tests/adapter/test_edge_crowds.py` at the server of our own deployment.
"""

from __future__ import annotations

import contextlib
import re
import signal
from pathlib import Path

import pytest

from crowds import (
    LARGEST_BODY,
    limit_descriptors,
    make_head,
    one_byte_chunks,
    open_crowd,
    small_chunks,
    wait_until_idle,
)
from saddledoor_standins.testbed import SHORT_TIMINGS, TRAINER, Shape, Testbed, until
from saddledoor_standins.testbed_document import PARTNERS


pytestmark = pytest.mark.crowd

_VM = "dc-a-vm1"
#: Memory of the daemon in its settings, in MB; the target of the product for control.
_MEMORY = 128
#: Time in which an ordinary request must be served, its retries included, in seconds.
_SERVED_WITHIN = 12.0
_BODIES, _STEPS, _AHEAD, _CONNECTIONS = 16, 4, 16, 300
#: Largest body of a submitted step, in bytes.
_STEP_BYTES = 32_000_000


@pytest.fixture
def bed():
    """
    Return a testbed of one data centre with one VM.
    """
    shape = Shape(
        timings=SHORT_TIMINGS,
        vms={"dc-a": 1},
        engines={"dc-a": 1},
        services={"dc-a": 1},
        settings={"memory_mb": _MEMORY},
        limits={"body_timeout_s": 60.0, "max_body_bytes": LARGEST_BODY},
    )
    with Testbed.open(shape) as bed:
        yield bed


def _crowd(bed: Testbed, count: int):
    host, _, port = bed.vms[_VM].http.rpartition(":")
    return open_crowd(host, int(port), count)


def _head(path: str, length: int | None = None, token: str = PARTNERS[0]) -> bytes:
    return make_head(path, length=length, Authorization=f"Bearer {token}")


def _assert_serves(bed: Testbed) -> None:
    """
    Assert that the daemon serves callers, within the memory of a VM.
    """
    process = bed.process(_VM)
    until(lambda: bed.look_up(_VM, timeout=10.0).status == 200, _SERVED_WITHIN)
    wait_until_idle(process.popen.pid)
    until(lambda: bed.look_up(_VM, timeout=10.0).status == 200, _SERVED_WITHIN)
    assert process.running
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    (size,) = re.findall(r"VmHWM:\s+(\d+) kB", status)
    assert int(size) / 1024 <= _MEMORY


_PLACES = [
    ("/v1/completions", LARGEST_BODY, PARTNERS[0], _BODIES),
    ("/v1/services/desk/slots", LARGEST_BODY, PARTNERS[0], _BODIES),
    (f"/v1/trainers/{TRAINER}/steps/1", _STEP_BYTES, TRAINER, _STEPS),
]


@pytest.mark.parametrize(("path", "size", "token", "count"), _PLACES)
def test_bodies_that_stop_short_of_their_end(bed, path, size, token, count):
    """
    All of their bytes were kept, for as long as a body may take.
    """
    payload = _head(path, size, token) + b"x" * (size - 1)
    with _crowd(bed, count) as crowd:
        crowd.send(lambda _: payload)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize(("path", "size", "token", "count"), _PLACES)
def test_chunks_without_the_last_one(bed, path, size, token, count):
    """
    All of their bytes were kept, for as long as a body may take.
    """
    payload = _head(path, token=token) + small_chunks(size)
    with _crowd(bed, count) as crowd:
        crowd.send(lambda _: payload)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize("path", ["/readyz", "/nowhere", "/v1/services/desk/slots"])
def test_requests_ahead_of_unread_answers(bed, path):
    """
    Each answer let in more of the requests behind it.
    """
    request = make_head(path, length=0, method="GET")
    with _crowd(bed, _AHEAD) as crowd:
        crowd.send(lambda _: request * 200_000)
        _assert_serves(bed)
    _assert_serves(bed)


def test_chunks_of_one_byte(bed):
    """
    Nobody else was served until all chunks of all connections had been parsed.
    """
    payload = _head("/v1/completions") + one_byte_chunks(1_000_000)
    with _crowd(bed, _BODIES) as crowd:
        crowd.send(lambda _: payload)
        _assert_serves(bed)
    _assert_serves(bed)


def test_connections_that_take_all_descriptors(bed):
    """
    No caller was served until the crowd left.
    """
    limit_descriptors(bed.process(_VM).popen.pid, 120)
    with _crowd(bed, _CONNECTIONS) as crowd:
        crowd.send(lambda _: b"POST /v1/comp")
        _assert_serves(bed)
    _assert_serves(bed)


def test_a_stop_beside_requests_that_stall(bed):
    """
    A stop waited for them as long as it waits for requests in flight.
    """

    def payload(number: int) -> bytes:
        if number % 2:
            return b"POST /v1/comp"
        return _head("/v1/completions", 2000) + b"x" * 1000

    with _crowd(bed, 12) as crowd, contextlib.suppress(OSError):
        crowd.send(payload)
        until(lambda: bed.look_up(_VM).status == 200)
        process = bed.process(_VM).popen
        process.send_signal(signal.SIGTERM)
        assert process.wait(30.0) == 0
