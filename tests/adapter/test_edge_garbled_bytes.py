# SPDX-License-Identifier: MIT

"""
Damaged bytes of engines, callers and the store, at edges that are processes.

Guards against bytes that end a process, or a loop of it.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import struct
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest
from links import Link, garbler

from engine_documents import make_entry
from platform_bed import PlatformBed, until
from platform_documents import HOST, MODEL, make_config, make_job


_SEEDS = tuple(int(text) for text in os.environ.get("GARBLE_SEEDS", "1").split(","))
#: Time for which bytes are damaged, in seconds.
_LENGTH = 8.0
#: Log lines that tell of an error which was not foreseen where it was raised.
_FAILURES = {
    "loop_failed",
    "item_task_failed",
    "order_task_failed",
    "items_task_failed",
    "record_not_encoded",
    "entry_skipped",
}
#: Share of the damaged packets where it is not a half: texts have to become whole, so
#: that they are scored.
_SHARES = {"engine-1": 0.05}
_DESKS, _POOL = ("desk-0", "desk-1"), ("engine-0", "engine-1")


@pytest.fixture
def bed(tmp_path):
    """
    Two edges, two model engines, two instances of a plain service.
    """
    with PlatformBed.open(tmp_path, edges=2, duties=True) as bed:
        yield bed


def _damage_entries(bed: PlatformBed, ports: dict[str, int], draw) -> None:
    """
    Write each engine's entry with the port of its link, and then damaged ones.
    """
    for name, port in ports.items():
        service, model = ("pool", MODEL) if name in _POOL else ("desk", "")
        garble = garbler(draw.randrange(2**30))
        entry = make_entry(service=service, address=f"127.0.0.1:{port}", zone="dc-a")
        text = garble(json.dumps(entry).encode()).decode("latin-1")
        bed.put("keyed.servers", f"other-{draw.randrange(5)}", text)
        bed.put_entry(name, service, port, model)


def _damage_operator_keys(bed: PlatformBed, draw) -> None:
    garble = garbler(draw.randrange(2**30))
    config = json.dumps(make_config(2)).encode()
    for key in ("config/x", f"version/{MODEL}", "evacuate/1"):
        bed.put("keyed.op", key, garble(config[:300]).decode("latin-1"))


def _damage_log(bed: PlatformBed, draw) -> None:
    """
    Append damaged copies of the records of each stream.
    """
    base = f"http://127.0.0.1:{bed.store_port}/v1"
    for topic in ("jobs", "control", "texts", "usage"):
        query = f"topic={topic}&part=0&from=0"
        with urllib.request.urlopen(f"{base}/log-read?{query}", timeout=5.0) as answer:
            data = answer.read()
        records, position = [], 16
        while position < len(data):
            (length,) = struct.unpack_from(">I", data, position)
            records.append(data[position + 4 : position + 4 + length])
            position += 4 + length
        if not records:
            continue
        changed = garbler(draw.randrange(2**30))(draw.choice(records))[:2000]
        body = struct.pack(">I", len(changed)) + changed
        url = f"{base}/log-append?topic={topic}&part=0"
        urllib.request.urlopen(url, data=body, timeout=5.0).close()


def _send_damaged(bed: PlatformBed, edge: str, draw) -> None:
    """
    Send a caller's request with damaged bytes.
    """
    job = json.dumps(make_job(2)).encode()
    head = (
        f"POST /train/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Saddledoor-Attempt-Id: bad-{draw.randrange(10**6)}\r\n"
        f"Content-Length: {len(job)}\r\n\r\n"
    )
    data = garbler(draw.randrange(2**30))(head.encode() + job)
    port = bed.front_ports[edge]
    with (
        contextlib.suppress(OSError),
        socket.create_connection(("127.0.0.1", port), 1.0) as caller,
    ):
        caller.settimeout(0.1)
        caller.sendall(data)
        caller.recv(4096)


def _look_up(bed: PlatformBed, edge: str, number: int) -> int:
    with contextlib.suppress(OSError, ValueError):
        path = ("/look/x", "/book/x")[number % 2]
        return bed.ask("POST", path, b"x", f"r-{edge}-{number}", edge).status
    return 0


@pytest.mark.parametrize("number", _SEEDS)
def test_no_bytes_end_a_process_or_a_loop(bed, number):
    """
    One wrong bit in the signature of a score ended the edge that ran the jobs, then the
    next one.
    """
    draw = random.Random(number)
    edges = list(bed.front_ports)
    with contextlib.ExitStack() as stack:
        links = {
            name: stack.enter_context(Link.open(bed.engine_ports[name]))
            for name in (*_DESKS, *_POOL)
        }
        ports = {name: link.port for name, link in links.items()}
        for index, (name, link) in enumerate(links.items()):
            link.damage = garbler(1000 * number + index, _SHARES.get(name, 0.5))
        pool = stack.enter_context(ThreadPoolExecutor(16))
        ends_at, turn = time.monotonic() + _LENGTH, 0
        while time.monotonic() < ends_at:
            turn += 1
            _damage_entries(bed, ports, draw)
            _damage_operator_keys(bed, draw)
            _damage_log(bed, draw)
            pool.submit(bed.submit, f"job-{turn}", make_job(4), edges[turn % 2])
            for edge in edges:
                _send_damaged(bed, edge, draw)
                for index in range(6):
                    pool.submit(_look_up, bed, edge, 10 * turn + index)
            time.sleep(0.2)
            if turn % 5 == 0:
                bed.ask("DELETE", f"/v1/lots/job-{turn - 4}", edge=edges[0])
        for link in links.values():
            link.damage = None
        assert [edge for edge in edges if not bed.is_running(edge)] == []
        _check_service(bed, ports)
    for edge in edges:
        bed.signal(edge, signal.SIGTERM)
    assert [bed.wait_end(edge) for edge in edges] == [0, 0]
    for edge in edges:
        assert _failures(bed, edge) == []


def _check_service(bed: PlatformBed, ports: dict[str, int]) -> None:
    """
    Check that look-ups and a job are served once nothing is damaged.
    """
    for index in range(5):
        bed.remove_entry(f"other-{index}")
    for name, port in ports.items():
        service, model = ("pool", MODEL) if name in _POOL else ("desk", "")
        bed.put_entry(name, service, port, model)
    for edge in bed.front_ports:
        until(lambda edge=edge: _look_up(bed, edge, 0) == 200, 10.0)
    job = make_job(4)
    for item in job["requests"]:
        item["id"] = f"last-{item['id']}"
        item["scorer"]["id"] = f"last-{item['scorer']['id']}"
    until(lambda: bed.submit("job-last", job).status == 202, 10.0)
    results = bed.finished("job-last", 4)
    assert {result["state"] for result in results} == {"completed"}


def _failures(bed: PlatformBed, edge: str) -> list:
    """
    Return the log lines that tell of an unforeseen error, also of other libraries.
    """
    found = []
    for line in bed.processes[edge].out.read_text().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            found.append(line)
            continue
        if entry.get("event") in _FAILURES or "exception" in entry:
            found.append(entry)
    return found
