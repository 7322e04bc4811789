# SPDX-License-Identifier: MIT

"""
The holder of the orders is stopped as planned while an order of it is on a lossy path.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment import (
    BROKEN,
    HELD,
    MODEL,
    NOT_RUN,
    Deployment,
    make_config,
    run,
    trouble,
)


EDGES, ENGINES = 4, 6
#: Share of the packets that the lossy path loses.
LOSS = 0.3
#: Interval between two versions that the trainer names, and the time for which it names
#: some, in seconds.
INTERVAL, LENGTH = 4.0, 92.0
#: Longest wait for the first order after a version was named, in seconds.
ORDER_WAIT = 2.0


def orders(deployment: Deployment) -> list[dict]:
    return [line for line in deployment.lines() if line["what"] == "order"]


def next_engine(deployment: Deployment) -> str:
    """
    Return the engine with the oldest version, the first one by name.
    """
    names = [f"pool-{index}" for index in range(ENGINES)]
    versions = {name: deployment.control(name)["version"] for name in names}
    return min(names, key=lambda name: (versions[name], name))


def make_lossy(deployment: Deployment, engine: str, edge: str) -> None:
    """
    Make the path of one machine to one engine lossy, and no other one.
    """
    for index in range(ENGINES):
        name = f"pool-{index}"
        lossy = f'"{edge}"' if name == engine else ""
        deployment.control(f"{name}/link", lossy=lossy, loss=LOSS)
    deployment.record("lossy path", engine=engine, edge=edge, loss=LOSS)


async def name_version(deployment: Deployment, version: int) -> None:
    value = {"model": MODEL, "version": version}
    await deployment.put_operator(f"version/{MODEL}", value)
    deployment.record("version named", version=version)


async def first_holder(deployment: Deployment, since: int) -> str:
    """
    Return the holder that gives the first order from now on; empty if none does.
    """
    ends_at = time.monotonic() + ORDER_WAIT
    while time.monotonic() < ends_at:
        if given := orders(deployment)[since:]:
            return given[0]["holder"]
        await asyncio.sleep(0.003)
    return ""


async def case(deployment: Deployment) -> int:
    deployment.fences = False
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.put_operator("config", make_config())
    deployment.start_engine("desk-0", "desk")
    for index in range(ENGINES):
        deployment.start_engine_link(f"pool-{index}")
        deployment.start_engine(f"pool-{index}", "pool", model=MODEL, seed=index)
    for index in range(EDGES):
        deployment.start_edge(f"edge-{index}")
    await deployment.wait_until_ready()
    ends_at = time.monotonic() + LENGTH
    version, holder = 1, ""
    while time.monotonic() < ends_at and not broken(deployment):
        started_at = time.monotonic()
        if holder and trouble():
            engine = await asyncio.to_thread(next_engine, deployment)
            await asyncio.to_thread(make_lossy, deployment, engine, holder)
        since, version = len(orders(deployment)), version + 1
        await name_version(deployment, version)
        if holder := await first_holder(deployment, since):
            deployment.stop_edge(holder)
        await asyncio.sleep(max(0.0, started_at + INTERVAL - time.monotonic()))
        given = orders(deployment)
        holder = given[-1]["holder"] if given else ""
    return judge(deployment)


def broken(deployment: Deployment) -> list[dict]:
    """
    Return the orders with a lower fencing token than an earlier one at the same engine.
    """
    highest: dict[str, int] = {}
    lower = []
    for order in orders(deployment):
        fence = order["fence_token"]
        if fence < highest.get(order["by"], -1):
            lower.append(order)
        highest[order["by"]] = max(highest.get(order["by"], -1), fence)
    return lower


def judge(deployment: Deployment) -> int:
    given, lower = orders(deployment), broken(deployment)
    holders = {order["fence_token"]: order["holder"] for order in given}
    stops = sum(line["what"] == "SIGTERM" for line in deployment.lines())
    print(f"{len(given)} orders of {len(holders)} leases, {stops} planned stops")
    print(f"{len(lower)} orders came with a lower fencing token: {lower}")
    deployment.record("judged", orders=len(given), stops=stops, lower=lower)
    if stops < 2:
        return NOT_RUN
    return BROKEN if lower else HELD


if __name__ == "__main__":
    run(__file__, case)
