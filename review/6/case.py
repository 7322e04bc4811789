# SPDX-License-Identifier: MIT

"""
One write of an engine's entry gets no answer and is done seconds later, after the
engine has stated that it drains; the engine ends as announced.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "rig"))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, make_config, run, trouble
from look_ups import look_up


LEAVING = "desk-0"
#: Bounds of the settings, in seconds.
CONTACT, DRAIN = 3.0, 2.0
#: Delay of the write that is done late, in seconds; the platform's limit is 6.
LATE = 5.9
#: Time without any disruption before the engine is told to leave, in seconds.
CALM = CONTACT + 0.3
#: Time from the acknowledgement to the engine's end, `DRAIN` and a little more, and for
#: which requests are sent after the acknowledgement, in seconds.
ENDS_AFTER, TAIL = 3.2, 6.0
#: Time that a request runs, in seconds.
WORK = 0.2


async def wait_for_write(deployment: Deployment) -> None:
    """
    Wait until the write that is to be done late has reached the store.
    """
    async with asyncio.timeout(3.0):
        while not deployment.control("store")["held"]:
            await asyncio.sleep(0.02)


async def case(deployment: Deployment) -> int:
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.put_operator("config", make_config())
    for index in range(3):
        deployment.start_engine(
            f"desk-{index}", "desk", slots=12, seed=index, work_s=WORK
        )
    deployment.start_engine("pool-0", "pool", model="model-a")
    for index in range(2):
        deployment.start_edge(f"edge-{index}")
    await deployment.wait_until_ready()
    stop = asyncio.Event()
    load = asyncio.create_task(look_up(deployment, stop, bookings=True))
    await asyncio.sleep(3.0)
    if trouble():
        deployment.control("store", hold_key=LEAVING, hold_s=LATE)
        await wait_for_write(deployment)
        deployment.record("the store withholds one answer", late_s=LATE)
    await asyncio.sleep(CALM)
    # The answer to the engine's write is the store's acknowledgement.
    left = await asyncio.to_thread(
        deployment.control, LEAVING, leave=True, ends_after_s=ENDS_AFTER
    )
    deployment.record("acknowledged as draining", engine=LEAVING, when=left["at"])
    await asyncio.sleep(TAIL)
    stop.set()
    await load
    return judge(deployment, left["at"])


def judge(deployment: Deployment, acknowledged_at: float) -> int:
    lines = deployment.lines()
    runs = [line for line in lines if line["what"] == "run" and line["by"] == LEAVING]
    before = [line for line in runs if line["at"] <= acknowledged_at]
    late = [line for line in runs if line["at"] > acknowledged_at + DRAIN]
    answered = sum(
        line["what"] == "answered" and line["status"] == 200 for line in lines
    )
    print(f"{answered} requests answered, {len(before)} run by {LEAVING} before")
    if not before or not answered:
        return NOT_RUN
    delays = sorted(round(line["at"] - acknowledged_at, 3) for line in late)
    print(f"{len(late)} requests reached {LEAVING} later than {DRAIN} s: {delays[:5]}")
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
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(__file__, case)
