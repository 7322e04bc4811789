# SPDX-License-Identifier: MIT

"""
Helpers of the failure tests: timings, a background trainer, measurements.
"""

from __future__ import annotations

import asyncio
import threading
from concurrent.futures import ThreadPoolExecutor

from saddledoor_standins.testbed import MODEL, SHORT_TIMINGS, TRAINER, Testbed
from saddledoor_standins.trainer import TrainerPlan, run_trainer


__all__ = [
    "SHORT_TIMINGS",
    "BackgroundTrainer",
    "assert_step_correct",
    "find_collector",
    "make_plan",
    "answered_share",
]


def make_plan(bed: Testbed, **changes: object) -> TrainerPlan:
    fields = {
        "vms": tuple(vm.http for vm in bed.vms.values()),
        "trainer": TRAINER,
        "token": TRAINER,
        "model": MODEL,
        "staleness_bound": 1,
        "groups": 8,
        "group_size": 4,
        "tokens": 60,
        "long_share": 0.06,
        "long_factor": 8,
        "weight_store": f"http://{bed.weights}",
        "deadline": 40.0,
    }
    return TrainerPlan(**(fields | changes))


class BackgroundTrainer(threading.Thread):
    """
    Runs a trainer for one step in a background thread.
    """

    def __init__(self, plan: TrainerPlan) -> None:
        super().__init__(daemon=True)
        self._plan = plan
        self.result: dict = {}

    def run(self) -> None:
        self.result = asyncio.run(run_trainer(self._plan))

    def finish(self) -> dict:
        self.join(60.0)
        return self.result


def assert_step_correct(result: dict) -> None:
    assert result["samples_delivered"] == result["samples_expected"]
    for fault in ("duplicated", "mislabelled", "stale", "wrong"):
        assert result[f"samples_{fault}"] == 0, result


def find_collector(bed: Testbed) -> str | None:
    for name in bed.vms:
        if bed.process(name).running and bed.status(name)["steps"]:
            return name
    return None


def answered_share(bed: Testbed, count: int = 24) -> float:
    """
    Return the share of repeatable requests, spread over all running VMs, that succeed.
    """
    names = [name for name in bed.vms if bed.process(name).running]
    with ThreadPoolExecutor(8) as pool:
        answers = pool.map(
            lambda number: bed.look_up(names[number % len(names)], timeout=4.0),
            range(count),
        )
        return sum(answer.code == 100 for answer in answers) / count
