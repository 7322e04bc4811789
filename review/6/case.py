# SPDX-License-Identifier: MIT

"""
The edges' open connections to the store go silent, and an engine leaves; it ends as
announced.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, make_config, run, trouble
from look_ups import look_up


LEAVING = "desk-0"
#: Bounds of the settings, in seconds.
CONTACT, DRAIN = 3.0, 2.0
#: Time after the disruption at which the engine leaves, in seconds.
LEAVES_AFTER = 0.3
#: Time from the acknowledgement to the engine's end, `DRAIN` and a little more, and for
#: which requests are sent after the acknowledgement, in seconds.
ENDS_AFTER, TAIL = 3.0, 6.0
#: Time that a request runs, in seconds.
WORK = 0.2
EDGES = 3


async def case(deployment: Deployment) -> int:
    deployment.start_store()
    await deployment.wait_for_store()
    deployment.start_link()
    await deployment.put_operator("config", make_config())
    for index in range(3):
        deployment.start_engine(
            f"desk-{index}", "desk", slots=12, seed=index, work_s=WORK
        )
    deployment.start_engine("pool-0", "pool", model="model-a")
    for index in range(EDGES):
        deployment.start_edge(f"edge-{index}")
    await deployment.wait_until_ready()
    stop = asyncio.Event()
    load = asyncio.create_task(look_up(deployment, stop, bookings=True))
    await asyncio.sleep(5.0)
    disrupted_at = float("-inf")
    if trouble():
        disrupted_at = time.monotonic()
        count = deployment.control("link", silence=True)["silenced"]
        deployment.record("connections to the store go silent", count=count)
    await asyncio.sleep(LEAVES_AFTER)
    left = await asyncio.to_thread(
        deployment.control, LEAVING, remove=True, ends_after_s=ENDS_AFTER
    )
    deployment.record("acknowledged as gone", engine=LEAVING, when=left["at"])
    await asyncio.sleep(TAIL)
    stop.set()
    await load
    return judge(deployment, left["at"], disrupted_at + CONTACT)


def judge(deployment: Deployment, acknowledged_at: float, in_touch_at: float) -> int:
    lines = deployment.lines()
    runs = [line for line in lines if line["what"] == "run" and line["by"] == LEAVING]
    before = [line for line in runs if line["at"] <= acknowledged_at]
    late = [line for line in runs if line["at"] > acknowledged_at + DRAIN]
    counted = [line for line in late if line["at"] > in_touch_at]
    answered = sum(
        line["what"] == "answered" and line["status"] == 200 for line in lines
    )
    print(f"{answered} requests answered, {len(before)} run by {LEAVING} before")
    if not before or not answered:
        return NOT_RUN
    delays = sorted(round(line["at"] - acknowledged_at, 3) for line in counted)
    print(f"{len(late)} requests reached {LEAVING} later than {DRAIN} s")
    print(f"{len(counted)} of them from machines in touch again: {delays}")
    late_ids = {line["id"] for line in late}
    lost = [
        line["id"]
        for line in lines
        if line["what"] == "answered"
        and line["id"] in late_ids
        and line["status"] != 200
    ]
    print(f"{len(lost)} bookings that came late were cut off by the engine's end")
    deployment.record("judged", late=len(late), delays=delays, lost=lost)
    return BROKEN if counted else HELD


if __name__ == "__main__":
    run(__file__, case)
