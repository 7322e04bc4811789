# SPDX-License-Identifier: MIT

"""
Training steps: order of samples, and the trade-off of idle time and staleness.
"""

from __future__ import annotations

import asyncio
import random
import time

from saddledoor import SampleSpec, Slot, StepOrder, in_order, longest_first

from ..testbed import MODEL, TRAINER, Shape, Testbed
from ..trainer import TrainerPlan, run_trainer
from ._table import PLOTS, print_table
from .plots import plot_bars


__all__ = ["measure_order", "measure_preference"]

_SLOTS = 24
_TOKEN_S = 0.0005


def _make_specs(seed: int) -> list[SampleSpec]:
    rng = random.Random(seed)
    specs = []
    for number in range(160):
        tokens = 60 + rng.randrange(60)
        tokens *= 12 if rng.random() < 0.04 else 1
        specs.append(SampleSpec(Slot(number // 8, number % 8), "p", tokens))
    return specs


async def _run_step(specs: list[SampleSpec], arrange: StepOrder) -> tuple[float, int]:
    slots = asyncio.Semaphore(_SLOTS)
    generated = 0

    async def run_sample(spec: SampleSpec) -> None:
        nonlocal generated
        async with slots:
            await asyncio.sleep(spec.max_tokens * _TOKEN_S)
            generated += spec.max_tokens

    began = time.perf_counter()
    # Tasks acquire slots in the order of their creation.
    await asyncio.gather(*(run_sample(spec) for spec in arrange(specs)))
    return time.perf_counter() - began, generated


def measure_order(seeds: tuple[int, ...] = (1, 2, 3, 4, 5)) -> list[tuple]:
    """
    Measure the duration of a step with a long tail by the order of its samples.

    :returns: Rows of seed, seconds in order, seconds longest first, their ratio.
    """
    rows = []
    for seed in seeds:
        specs = _make_specs(seed)
        requested = sum(spec.max_tokens for spec in specs)
        baseline, generated = asyncio.run(_run_step(specs, in_order))
        candidate, candidate_generated = asyncio.run(_run_step(specs, longest_first))
        if (generated, candidate_generated) != (requested, requested):
            raise AssertionError("lengths delivered are not the lengths asked for")
        rows.append((seed, baseline, candidate, candidate / baseline))
    head = ("seed", "in order s", "longest first s", "ratio")
    print_table("a step of 160 samples, 4 % twelve times longer", head, rows)
    plot_bars(
        PLOTS / "step-order.svg",
        "Time until a step with a long tail is whole",
        "seconds",
        [f"seed {row[0]}" for row in rows],
        {"in order": [r[1] for r in rows], "longest first": [r[2] for r in rows]},
    )
    return rows


def measure_preference(seeds: tuple[int, ...] = (1, 2, 3)) -> list[tuple]:
    """
    Measure both settings of a trainer's preference with real processes.

    Weights are published after a fifth of the step; the staleness bound is one.

    :returns: Rows of seed, preference, duration of the step in seconds, seconds spent
        in fetches, mean staleness in versions.
    """
    rows = []
    for setting in ("idle", "staleness"):
        for seed in seeds:
            with Testbed.open(Shape(preference=setting)) as bed:
                plan = TrainerPlan(
                    vms=tuple(vm.http for vm in bed.vms.values()),
                    trainer=TRAINER,
                    token=TRAINER,
                    model=MODEL,
                    staleness_bound=1,
                    publish_at=0.2,
                    weight_store=f"http://{bed.weights}",
                    seed=seed,
                )
                seen = asyncio.run(run_trainer(plan))
            behind = seen["mean_behind"]
            rows.append((seed, setting, seen["seconds"], seen["waited_s"], behind))
    head = ("seed", "preference", "step s", "waited s", "versions behind")
    print_table("idle time against staleness, 96 samples", head, rows)
    return rows
