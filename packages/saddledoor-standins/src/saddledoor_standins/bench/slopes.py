# SPDX-License-Identifier: MIT

"""
Resource costs per node, engine, request and token: the slopes of docs/CAPACITY.md.
"""

from __future__ import annotations

import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from urllib.request import urlopen

from saddledoor import (
    ClaimBatch,
    ClaimFold,
    Deployment,
    FetchRequest,
    KeyClaim,
    Sample,
    SampleSpec,
    Slot,
    StepDelivery,
    VersionRun,
    decode_record,
    deployment_from_json,
    deployment_to_json,
    encode_record,
    key_digest,
    pack_document,
    unpack_document,
    validate,
)

from ..testbed import Shape, Testbed, token_digest
from ._process import cpu_seconds, resident_mb
from ._table import print_table


__all__ = [
    "measure_claims",
    "measure_configuration",
    "measure_membership",
    "measure_requests",
    "measure_step_delivery",
]

#: Measurement time of idle daemons, in seconds.
_MEASURED_SECONDS = 10.0
#: Time between the start of the daemons and the measurement, in seconds.
_SETTLE_SECONDS = 6.0


#: Numbers of VMs and engines in the measured data centre.
_SIZES = ((4, 4), (8, 8), (16, 16), (32, 32), (16, 64))


def measure_membership(sizes: tuple[tuple[int, int], ...] = _SIZES) -> list[tuple]:
    """
    Measure the idle daemons of one of two data centres.

    :returns: Rows of VMs, back ends, processor share in percent of a core (median and
        largest), resident megabytes (largest), control bytes per second both ways.
    """
    rows = []
    for size, engines in sizes:
        shape = Shape(
            vms={"dc-a": size, "dc-b": 1},
            engines={"dc-a": engines, "dc-b": 1},
            services={"dc-a": 1},
        )
        with Testbed.open(shape) as bed:
            time.sleep(_SETTLE_SECONDS)
            rows.append((size, engines + 1, *_measure_idle(bed)))
    head = ("VMs", "back ends", "core % median", "core % max", "MB max", "bytes/s")
    print_table("membership, idle, per daemon", head, rows)
    return rows


def _measure_idle(bed: Testbed) -> tuple[float, float, float, float]:
    names = [name for name in bed.vms if name.startswith("dc-a")]
    pids = [bed.process(name).popen.pid for name in names]
    before = [cpu_seconds(pid) for pid in pids]
    bytes_before = [_control_bytes(bed, name) for name in names]
    time.sleep(_MEASURED_SECONDS)
    shares = [
        (cpu_seconds(pid) - used) / _MEASURED_SECONDS * 100
        for pid, used in zip(pids, before, strict=True)
    ]
    # Twice the bytes pulled: in sum, daemons send as much as they pull.
    bytes_each = [
        2 * (_control_bytes(bed, name) - sent) / _MEASURED_SECONDS
        for name, sent in zip(names, bytes_before, strict=True)
    ]
    memory = max(resident_mb(pid) for pid in pids)
    return statistics.median(shares), max(shares), memory, statistics.mean(bytes_each)


def _control_bytes(bed: Testbed, name: str) -> float:
    with urlopen(f"http://{bed.vms[name].http}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    total = "saddledoor_exchange_bytes_total"
    return sum(float(x.rsplit(" ", 1)[1]) for x in lines if x.startswith(total))


def _deployment(engines: int) -> Deployment:
    data_centres = [f"dc-{number}" for number in range(16)]
    document = {
        "schema_version": 1,
        "name": "target",
        "data_centres": data_centres,
        "pools": [
            {
                "name": "pool",
                "models": [{"name": f"model-{n}"} for n in range(21)],
                "engines": [
                    {
                        "name": f"engine-{number}",
                        "data_centre": data_centres[number % 16],
                        "address": f"10.0.{number // 250}.{number % 250}:80",
                        "slots": 32,
                    }
                    for number in range(engines)
                ],
            }
        ],
        "trainers": [
            {
                "name": f"trainer-{n}",
                "token_sha256": token_digest(f"trainer-{n}"),
                "pool": "pool",
                "model": f"model-{n}",
                "staleness_bound": 2,
            }
            for n in range(21)
        ],
    }
    return validate("target", document)


def measure_configuration(sizes: tuple[int, ...] = (75, 300, 1200)) -> list[tuple]:
    """
    Measure the size and decoding time of a configuration record.

    :returns: Rows of engines, canonical bytes, packed bytes, milliseconds to unpack
        and validate.
    """
    rows = []
    for engines in sizes:
        data = deployment_to_json(_deployment(engines))
        packed = pack_document(data)
        milliseconds = _milliseconds(
            lambda p=packed: deployment_from_json(unpack_document(p))
        )
        rows.append((engines, len(data), len(packed), milliseconds))
    head = ("engines", "bytes", "packed", "ms to accept")
    print_table("configuration record", head, rows)
    return rows


def measure_claims(count: int = 22_000) -> list[tuple]:
    """
    Measure the time and memory of folding one partition of claims.

    :returns: One row: keys, microseconds and bytes of memory per key, bytes per record.
    """
    # Encoded records, as the daemon reads them from the log.
    texts = [
        encode_record(
            ClaimBatch((KeyClaim(key_digest("p", "s", str(n)), f"{n:032x}", "o" * 60),))
        )
        for n in range(count)
    ]
    tracemalloc.start()
    fold = ClaimFold(1e9)
    for offset, text in enumerate(texts):
        fold.apply(offset, float(offset), decode_record(text))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    again = ClaimFold(1e9)
    began = time.perf_counter()
    for offset, text in enumerate(texts):
        again.apply(offset, float(offset), decode_record(text))
    seconds = time.perf_counter() - began
    row = (count, seconds / count * 1e6, memory / count, len(texts[0]))
    head = ("keys", "us per key", "bytes of memory per key", "bytes per record")
    print_table("claims, one partition", head, [row])
    return [row]


def measure_step_delivery(samples: int = 4096, tokens: int = 480) -> list[tuple]:
    """
    Measure the memory and time of the delivery of a large step.

    :returns: One row: samples, megabytes when all are ready, ms to list the missing
        ones, ms per fetch of 256.
    """
    specs = [
        SampleSpec(Slot(n // 8, n % 8), f"prompt {n // 8}", tokens)
        for n in range(samples)
    ]
    tracemalloc.start()
    delivery = StepDelivery.open(1, 1, specs)
    missing = _milliseconds(lambda: delivery.missing)
    runs = (VersionRun(1, 0, tokens - 1),)
    for spec in specs:
        text = f"{spec.slot.group} " + "four" * tokens
        delivery.add(Sample(spec.slot, text, tokens, runs))
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began = time.perf_counter()
    cursor = 0
    for _ in range(samples // 256):
        cursor = delivery.fetch(FetchRequest(1, cursor, 1, 256)).number
    fetch = (time.perf_counter() - began) * 1000 / (samples // 256)
    head = ("samples", "MB all ready", "ms to list missing", "ms per fetch of 256")
    row = (samples, memory, missing, fetch)
    print_table("a step's book", head, [row])
    return [row]


def measure_requests(count: int = 300) -> list[tuple]:
    """
    Measure the processor time per request of one daemon.

    :returns: Rows of kind, requests, answered requests, milliseconds of processor time
        per request.
    """
    one = {"dc-a": 1}
    shape = Shape(vms=one, engines=one, services=one, slots=16)
    rows = []
    with Testbed.open(shape) as bed:
        vm = "dc-a-vm1"
        kinds: list[tuple[str, int, Callable[[int], object]]] = [
            ("look-up", count, lambda n: bed.look_up(vm)),
            ("booking with a key", count, lambda n: bed.book(vm, f"r{n}", f"k{n}")),
            ("40 tokens", count // 3, lambda n: bed.complete(vm, "p", 40)),
            ("400 tokens", count // 6, lambda n: bed.complete(vm, "p", 400)),
        ]
        pid = bed.process(vm).popen.pid
        for kind, number, send in kinds:
            send(-1)
            used = cpu_seconds(pid)
            began = time.perf_counter()
            with ThreadPoolExecutor(8) as pool:
                codes = [answer.code for answer in pool.map(send, range(number))]
            seconds = time.perf_counter() - began
            # Subtracts the processor share of an idle daemon.
            used_by_requests = cpu_seconds(pid) - used - 0.01 * seconds
            answered = codes.count(100)
            rows.append((kind, number, answered, used_by_requests / number * 1000))
    head = ("kind", "requests", "answered", "ms of processor each")
    print_table("entry path, one daemon", head, rows)
    return rows


def _milliseconds(work: Callable[[], object], times: int = 5) -> float:
    durations = []
    for _ in range(times):
        began = time.perf_counter()
        work()
        durations.append((time.perf_counter() - began) * 1000)
    return statistics.median(durations)


def all_slopes() -> dict[str, list[tuple]]:
    """
    Run all measurements that docs/CAPACITY.md is based on.
    """
    return {
        "configuration": measure_configuration(),
        "claims": measure_claims(),
        "step_book": measure_step_delivery(),
        "requests": measure_requests(),
        "membership": measure_membership(),
    }


def dump(rows: dict[str, list[tuple]]) -> str:
    """
    Return the rows as JSON.
    """
    return json.dumps(rows, indent=2)
