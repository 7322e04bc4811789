# SPDX-License-Identifier: MIT

"""
Clients that keep much of an edge, which is a process, or all of it.

Guards against an edge that exceeds its machine's memory or descriptors, or that serves
nobody else. Each test has an edge of its own, since the kernel keeps the largest size
of a process.
"""

from __future__ import annotations

import contextlib
import json
import signal
from collections.abc import Iterator

import pytest

from crowds import (
    LARGEST_BODY,
    MEMORY,
    RECORD_BYTES,
    SOCKETS,
    Crowd,
    ask_until_served,
    edge_limits,
    limit_descriptors,
    make_crowd_config,
    make_head,
    one_byte_chunks,
    open_crowd,
    run_sizes,
    small_chunks,
    unread_megabytes,
    wait_until_idle,
)
from platform_bed import PlatformBed, until
from platform_documents import HOST, make_job


pytestmark = pytest.mark.crowd

_EDGE = "edge-0"
#: Clients with large bodies, and with requests ahead.
_BODIES, _AHEAD = 16, 16
#: Requests that a client sends ahead; those of clients with many connections.
_REQUESTS_AHEAD, _FEW_AHEAD = 200_000, 1_000
#: Connections of the crowds that take descriptors.
_CONNECTIONS = 300


@pytest.fixture
def bed(tmp_path):
    """
    One edge of a machine with little memory and few descriptors.
    """
    with _open_bed(tmp_path) as bed:
        yield bed


@contextlib.contextmanager
def _open_bed(
    tmp_path, memory: int = MEMORY, largest_body: int = LARGEST_BODY
) -> Iterator[PlatformBed]:
    config = make_crowd_config(largest_body)
    changes = edge_limits(memory)
    with PlatformBed.open(tmp_path, config=config, settings_changes=changes) as bed:
        bed.fake_store(record_bytes=RECORD_BYTES)
        yield bed


def _crowd(bed: PlatformBed, count: int, port: str = "callers"):
    ports = {
        "callers": bed.front_ports,
        "readiness": bed.ready_ports,
        "metrics": bed.metrics_ports,
    }
    return open_crowd("127.0.0.1", ports[port][_EDGE], count)


def _assert_serves(bed: PlatformBed, memory: int = MEMORY) -> None:
    """
    Assert that the edge serves callers, within the limits of its machine.

    Bytes that have arrived and are not read count as its memory.
    """
    process = bed.processes[_EDGE].handle
    ask_until_served(bed)
    wait_until_idle(process.pid)
    ask_until_served(bed)
    until(lambda: bed.ready(_EDGE))
    assert bed.is_running(_EDGE)
    ports = (bed.front_ports, bed.ready_ports, bed.metrics_ports)
    unread = unread_megabytes(port[_EDGE] for port in ports)
    assert bed.peak_memory(_EDGE) + unread <= memory
    assert bed.open_sockets(_EDGE) <= SOCKETS


def _assert_refusals_hold(bed: PlatformBed, crowd: Crowd, prefix: str) -> None:
    """
    Assert that refusals say when to return and that none of these requests has run.
    """
    refusals = crowd.read_refusals()
    refused = {r.client for r in refusals if r.status in (429, 503, 408, 421)}
    assert all(r.has_retry_after for r in refusals if r.status in (429, 503))
    assert not run_sizes(bed).keys() & {f"{prefix}-{client}" for client in refused}


@pytest.mark.parametrize("path", ["/look/x", "/train/x", "/nowhere/x"])
def test_bodies_that_stop_short_of_their_end(bed, path):
    """
    All of their bytes were kept, for as long as the connections stayed open.
    """

    def payload(number: int) -> bytes:
        head = make_head(path, f"short-{number}", LARGEST_BODY)
        return head + b"x" * (LARGEST_BODY - 1)

    with _crowd(bed, _BODIES) as crowd:
        crowd.send(payload)
        _assert_serves(bed)
        ask_until_served(bed, b"x" * LARGEST_BODY)
        _assert_refusals_hold(bed, crowd, "short")
    _assert_serves(bed)


@pytest.mark.parametrize("path", ["/look/x", "/train/x"])
def test_chunks_without_the_last_one(bed, path):
    """
    All of their bytes were kept, for as long as the connections stayed open.
    """

    def payload(number: int) -> bytes:
        return make_head(path, f"chunks-{number}") + small_chunks(LARGEST_BODY)

    with _crowd(bed, _BODIES) as crowd:
        crowd.send(payload)
        _assert_serves(bed)
        ask_until_served(bed, b"x" * LARGEST_BODY)
        _assert_refusals_hold(bed, crowd, "chunks")
    _assert_serves(bed)


def test_whole_bodies_at_once(bed):
    """
    An edge kept several copies of each while its engine worked on it.
    """
    for name in ("desk-0", "desk-1"):
        bed.fake_engine(name, delay=3.0)

    def payload(number: int) -> bytes:
        head = make_head("/look/x", f"whole-{number}", LARGEST_BODY)
        return head + b"x" * LARGEST_BODY

    with _crowd(bed, _BODIES) as crowd:
        crowd.send(payload)
        _assert_serves(bed)
        _assert_refusals_hold(bed, crowd, "whole")
    _assert_serves(bed)


def test_whole_jobs_at_once(bed):
    """
    An edge kept several copies of each job that it decoded.
    """
    jobs = [_large_job(number, LARGEST_BODY) for number in range(_BODIES)]

    def payload(number: int) -> bytes:
        body = jobs[number]
        return make_head("/train/x", f"job-{number}", len(body)) + body

    with _crowd(bed, _BODIES) as crowd:
        crowd.send(payload)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize("value", [b"{},", b"[],", b"1234567,", b'"ab",'])
def test_a_job_of_many_small_values(bed, value):
    """
    Decoded, it took many times the size of its text.
    """
    body = b'{"requests": [' + value * ((LARGEST_BODY - 100) // len(value)) + b"0]}"

    def payload(number: int) -> bytes:
        return make_head("/train/x", f"values-{number}", len(body)) + body

    with _crowd(bed, 2) as crowd:
        crowd.send(payload)
        _assert_serves(bed)
    _assert_serves(bed)


def _large_job(number: int, size: int) -> bytes:
    """
    Return a job that is a little smaller than a size, in bytes.
    """
    job = make_job(16)
    text = "cHJvbXB0" * ((size - 10_000) // 8 // 16)
    for item in job["requests"]:
        item["id"] = f"{number}-{item['id']}"
        item["scorer"]["id"] = f"{number}-{item['scorer']['id']}"
        item["body"] = text
    return json.dumps(job).encode()


@pytest.mark.parametrize(
    ("port", "path"),
    [
        ("callers", "/look/x"),
        ("callers", "/nowhere/x"),
        ("callers", "/v1/lots/no-job"),
        ("readiness", "/v1/readiness"),
        ("metrics", "/metrics"),
    ],
)
def test_requests_ahead_of_unread_answers(bed, port, path):
    """
    Each answer let in more of the requests behind it.
    """
    request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    payload = request * _REQUESTS_AHEAD
    with _crowd(bed, _AHEAD, port) as crowd:
        crowd.send(lambda _: payload)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize("port", ["callers", "readiness"])
def test_requests_ahead_on_many_connections(bed, port):
    """
    Each connection kept all that its client had sent.
    """
    request = f"GET /nowhere/x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    with _crowd(bed, _CONNECTIONS, port) as crowd:
        crowd.send(lambda _: request * _FEW_AHEAD)
        _assert_serves(bed)
    _assert_serves(bed)


def test_bodies_at_the_readiness_port(bed):
    """
    The port answers without the body, which the process does not need.
    """
    head = make_head("/v1/readiness", length=LARGEST_BODY, method="GET")
    with _crowd(bed, _BODIES, "readiness") as crowd:
        crowd.send(lambda _: head + b"x" * (LARGEST_BODY - 1))
        _assert_serves(bed)
    _assert_serves(bed)


def test_large_answers_that_nobody_reads(bed):
    """
    An edge kept two copies of each until it stopped.
    """
    for name in ("desk-0", "desk-1"):
        bed.fake_engine(name, answer_size=LARGEST_BODY)

    def payload(number: int) -> bytes:
        heads = [make_head("/look/x", f"u-{number}-{n}", 0) for n in range(8)]
        return b"".join(heads)

    with _crowd(bed, _BODIES) as crowd:
        crowd.send(payload)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize("port", ["callers", "readiness", "metrics"])
def test_chunks_of_one_byte(bed, port):
    """
    Nobody else was served until all chunks of all connections had been parsed.
    """
    payload = make_head("/look/x", "tiny") + one_byte_chunks(1_000_000)
    with _crowd(bed, _BODIES, port) as crowd:
        crowd.send(lambda _: payload)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize("sent", [b"", b"POST /look/x HT"], ids=["silent", "partial"])
@pytest.mark.parametrize("port", ["callers", "readiness", "metrics"])
def test_connections_without_a_request(bed, port, sent):
    """
    An edge kept them without limit.
    """
    with _crowd(bed, _CONNECTIONS, port) as crowd:
        crowd.send(lambda _: sent)
        _assert_serves(bed)
    _assert_serves(bed)


@pytest.mark.parametrize("port", ["callers", "readiness"])
def test_connections_that_take_all_descriptors(bed, port):
    """
    No port was served until the crowd left.
    """
    limit_descriptors(bed.processes[_EDGE].handle.pid, 120)
    with _crowd(bed, _CONNECTIONS, port) as crowd:
        crowd.send(lambda _: b"POST /look/x HT")
        _assert_serves(bed)
    _assert_serves(bed)


def _stalled_requests(number: int) -> bytes:
    """
    Return half of a head, half of a body, or a request whose answer is large.
    """
    if number % 3 == 0:
        return b"POST /look/x HT"
    if number % 3 == 1:
        return make_head("/look/x", f"half-{number}", 2000) + b"x" * 1000
    return make_head("/look/x", f"unread-{number}", 0)


def test_a_stop_beside_requests_that_stall(bed):
    """
    A stop waited for them until its time was over.
    """
    for name in ("desk-0", "desk-1"):
        bed.fake_engine(name, answer_size=LARGEST_BODY // 2)
    with _crowd(bed, 12) as crowd:
        crowd.send(_stalled_requests)
        ask_until_served(bed)
        bed.signal(_EDGE, signal.SIGTERM)
        assert bed.wait_end(_EDGE) == 0
    events = {line["event"] for line in bed.log(_EDGE)}
    assert not events & {"requests_given_up", "connections_aborted"}


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("memory", [350, 170, 128])
def test_the_largest_body_is_served_in_calm(tmp_path, memory, framing):
    """
    It took more memory than most kinds of machines have.
    """
    size = 32 << 20
    with _open_bed(tmp_path, memory, size) as bed, _crowd(bed, 1) as crowd:
        if framing == "length":
            ask_until_served(bed, b"x" * size)
        else:
            head = make_head("/look/x", "chunked")
            crowd.send(lambda _: head + small_chunks(size) + b"0\r\n\r\n")
            until(lambda: "chunked" in run_sizes(bed))
        assert set(run_sizes(bed).values()) == {size}
        _assert_serves(bed, memory)


@pytest.mark.parametrize("memory", [350, 170, 128])
def test_the_largest_answer_is_served_in_calm(tmp_path, memory):
    """
    It took more memory than some kinds of machines have.
    """
    size = 32 << 20
    with _open_bed(tmp_path, memory, size) as bed:
        for name in ("desk-0", "desk-1"):
            bed.fake_engine(name, answer_size=size)
        answer = bed.ask("POST", "/look/x", b"x", "r-1", timeout=30.0)
        assert (answer.status, len(answer.body)) == (200, size)
        _assert_serves(bed, memory)


@pytest.mark.parametrize("memory", [350, 170])
def test_the_largest_job_is_accepted_in_calm(tmp_path, memory):
    """
    It took more memory than most kinds of machines have.
    """
    size = 32 << 20
    with _open_bed(tmp_path, memory, size) as bed:
        body = _large_job(0, size)
        answer = bed.ask("POST", "/train/x", body, "job-0", timeout=60.0)
        assert answer.status == 202
        with contextlib.suppress(OSError):
            bed.ask("DELETE", "/v1/lots/job-0")
        _assert_serves(bed, memory)
