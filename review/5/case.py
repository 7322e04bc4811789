# SPDX-License-Identifier: MIT

"""
Half of the instances of a plain service hand out some answers to reward calls in which
one bit of the signature is wrong, for a few seconds each time.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, make_config, run, trouble
from trainer import Group, Trainer


#: Share of the faulty instances' answers that are spoiled, the length of one such
#: disruption and the pause before the next one, in seconds.
SPOILED, SPOILED_FOR, PAUSE = 0.02, 5.0, 1.0
FAULTY = ("desk-0", "desk-1")
EDGES = 3
#: Longest time for which jobs are submitted, in seconds.
LENGTH = 70.0
#: The rule: on this many machines, so many ends of processes by themselves.
MACHINES, ENDS = 2, 3
GROUPS, ITEMS = 28, 4


async def train(deployment: Deployment) -> tuple[int, int]:
    """
    Run steps; return the numbers of items and of results.
    """
    trainer, items, results = Trainer(deployment), 0, 0
    end = asyncio.get_running_loop().time() + LENGTH
    number = 0
    while asyncio.get_running_loop().time() < end and not is_broken(deployment):
        groups = [
            Group(f"s{number:x}g{index:x}", (b"6",) * ITEMS) for index in range(GROUPS)
        ]
        step = await trainer.submit(number, groups, GROUPS)
        await trainer.read_until(step, GROUPS, set())
        await trainer.end(step)
        items += GROUPS * ITEMS
        results += len(step.results)
        number += 1
    return items, results


def is_broken(deployment: Deployment) -> bool:
    ends = [len(times) for times in deployment.own_ends.values()]
    return sum(count >= ENDS for count in ends) >= MACHINES


async def spoil_answers(deployment: Deployment) -> None:
    """
    Play the disruption again and again.
    """
    while True:
        for share, seconds in ((SPOILED, SPOILED_FOR), (0.0, PAUSE)):
            for name in FAULTY:
                await asyncio.to_thread(deployment.control, name, spoil=share)
            deployment.record("share of spoiled answers", servers=FAULTY, share=share)
            await asyncio.sleep(seconds)


async def case(deployment: Deployment) -> int:
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.put_operator("config", make_config())
    for index in range(4):
        deployment.start_engine(f"desk-{index}", "desk", slots=6, seed=index)
    for index in range(3):
        deployment.start_engine(f"pool-{index}", "pool", model="model-a", seed=index)
    for index in range(EDGES):
        deployment.start_edge(f"edge-{index}")
    await deployment.wait_until_ready()
    disruption = None
    if trouble():
        disruption = asyncio.create_task(spoil_answers(deployment))
    items, results = await train(deployment)
    if disruption is not None:
        disruption.cancel()
    spoiled = sum(deployment.control(name)["spoiled"] for name in FAULTY)
    ends = {name: len(times) for name, times in deployment.own_ends.items()}
    print(f"{items} items, {results} results, {spoiled} answers spoiled")
    print(f"edges that ended by themselves: {ends}")
    deployment.record("judged", items=items, results=results, spoiled=spoiled, **ends)
    if not results or (trouble() and not spoiled):
        return NOT_RUN
    return BROKEN if is_broken(deployment) else HELD


if __name__ == "__main__":
    run(__file__, case)
