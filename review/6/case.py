# SPDX-License-Identifier: MIT

"""
A group with an item that fails on every run and an item with a long text is not whole
when its job ends, and comes again in the following jobs.
"""

from __future__ import annotations

import sys
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "rig"))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, make_config, run, trouble
from trainer import Group, Trainer


#: `max_attempts` of the route, and the answers of 500 after which the rule forbids
#: further runs.
ATTEMPTS = 3
LIMIT = 3 * ATTEMPTS
#: Events of a long text and of the other ones, and the time between two events, in
#: seconds: the long one takes 8.25 s, more than the 7.5 s in which results are due.
LONG, SHORT, GAP = b"165", b"12", 0.05
#: Steps, groups of each, and whole groups that the trainer waits for.
STEPS, GROUPS, DESIRED = 4, 10, 9


async def case(deployment: Deployment) -> int:
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.put_operator("config", make_config(ATTEMPTS))
    for index in range(2):
        deployment.start_engine(f"desk-{index}", "desk", slots=6, seed=index)
    for index in range(3):
        deployment.start_engine(
            f"pool-{index}", "pool", model="model-a", gap_s=GAP, seed=index
        )
    for index in range(2):
        deployment.start_edge(f"edge-{index}")
    await deployment.wait_until_ready()
    trainer = Trainer(deployment)
    again: list[Group] = [Group("again", (b"fail", LONG if trouble() else SHORT))]
    for number in range(STEPS):
        fresh = [
            Group(f"s{number}g{index}", (SHORT, SHORT))
            for index in range(GROUPS - len(again))
        ]
        # Groups that were not whole stand first, and the trainer waits for them.
        step = await trainer.submit(number, [*again, *fresh], DESIRED)
        must = {group.name for group in again} if number else set()
        await trainer.read_until(step, DESIRED, must)
        await trainer.end(step)
        whole = {group.name for group in step.whole_groups()}
        again = [group for group in step.groups if group.name not in whole]
        again = again[: DESIRED // 2]
        deployment.record("step ended", number=number, whole=len(whole))
    return judge(deployment)


def judge(deployment: Deployment) -> int:
    lines = [line for line in deployment.lines() if line.get("id") == "againi0"]
    failures, late = 0, 0
    for line in lines:
        if line["what"] == "answer" and line.get("status") == 500:
            failures += 1
        if line["what"] == "run" and failures >= LIMIT:
            late += 1
    runs = sum(line["what"] == "run" for line in lines)
    print(f"the item was run {runs} times and answered with 500 {failures} times")
    print(f"it reached an engine {late} times after {LIMIT} such answers")
    deployment.record("judged", runs=runs, failures=failures, late=late)
    if not runs:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(__file__, case)
