# SPDX-License-Identifier: MIT

"""
Weight swaps in waves: duration and remaining capacity.
"""

from __future__ import annotations

import signal
import time

from ..testbed import SHORT_TIMINGS, Shape, Testbed, until
from ._table import print_table


__all__ = ["measure_swaps"]

_ENGINES = 8


def measure_swaps() -> list[tuple]:
    """
    Measure a swap of eight engines in one data centre, without and with failures.

    :returns: Rows of failure, seconds until all engines have the version, and the
        smallest share of engines that were not paused.
    """
    rows = []
    for name in ("nothing fails", "one engine fails its swap", "the holder is killed"):
        shape = Shape(
            vms={"dc-a": 3},
            engines={"dc-a": _ENGINES},
            services={"dc-a": 1},
            timings=SHORT_TIMINGS,
        )
        with Testbed.open(shape) as bed:
            holder = until(lambda b=bed: _find_lease_holder(b))
            if name.startswith("one engine"):
                bed.fake("engine-1", fail_activate=1)
            began = time.monotonic()
            bed.publish_weights(2)
            if name.startswith("the holder"):
                until(lambda b=bed: 2 in b.engine_versions().values())
                bed.process(holder).signal(signal.SIGKILL)
            until(lambda b=bed: set(b.engine_versions().values()) == {2}, timeout=30.0)
            rows.append((name, time.monotonic() - began, _capacity_left(bed)))
    head = ("failure", "seconds to all engines", "least capacity left")
    print_table("a swap of 8 engines, at most half at once", head, rows)
    return rows


def _find_lease_holder(bed: Testbed) -> str | None:
    for view in bed.status("dc-a-vm1")["vms"]:
        if "control/dc-a" in view["leases"]:
            return view["vm"]
    return None


def _capacity_left(bed: Testbed) -> float:
    pauses = [tuple(p) for name in bed.engines for p in bed.fake(name)["pauses"]]
    most_paused = max(
        sum(1 for began, ended in pauses if began <= at < ended) for at, _ in pauses
    )
    return 1 - most_paused / _ENGINES
