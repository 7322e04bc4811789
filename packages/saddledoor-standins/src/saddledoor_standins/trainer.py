# SPDX-License-Identifier: MIT

"""
Stand-in of a trainer: submits a step, fetches with a cursor, and checks every sample.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from saddledoor.tracing import SampleKept

from ._balancer import Balancer
from ._trace_file import trace_to
from .engine import prompt_tag


__all__ = ["TrainerPlan", "plan_samples", "run_trainer"]


@dataclass(frozen=True)
class TrainerPlan:
    """
    A trainer's step.

    :param groups: Number of groups in the step.
    :param group_size: Number of samples in a group.
    :param long_share: Share of samples that are ``long_factor`` times longer.
    :param publish_at: Share of the step after which new weights are published; above
        one for never.
    :param weight_store: URL of the weight store.
    :param deadline: Time limit for the step, in seconds.
    :param trace: File for the trace of received samples; empty for none.
    """

    vms: tuple[str, ...]
    trainer: str
    token: str
    model: str
    staleness_bound: int
    groups: int = 12
    group_size: int = 8
    tokens: int = 60
    long_share: float = 0.03
    long_factor: int = 12
    step: int = 1
    version: int = 1
    publish_at: float = 0.4
    weight_store: str = ""
    deadline: float = 50.0
    seed: int = 1
    trace: str = ""


@dataclass
class _StepState:
    """
    The trainer's record of a step, with counts of incorrect samples.

    :ivar expected: Submitted samples by slot.
    :ivar received: Received samples by slot.
    :ivar wrong: Number of samples with a wrong or incomplete text.
    :ivar mixed: Number of samples of several weight versions.
    :ivar fetch_seconds: Time spent in fetches.
    :ivar emit: Writes a trace event.
    """

    expected: dict[tuple[int, int], dict]
    received: dict[tuple[int, int], dict] = field(default_factory=dict)
    fence: int = -1
    cursor: int = 0
    version: int = 1
    duplicated: int = 0
    mislabelled: int = 0
    stale: int = 0
    wrong: int = 0
    submits: int = 0
    fetches: int = 0
    mixed: int = 0
    versions_behind: list[int] = field(default_factory=list)
    fetch_seconds: float = 0.0
    emit: Callable = lambda event: None


def plan_samples(plan: TrainerPlan) -> list[dict]:
    """
    Return the step's samples, deterministic by seed; a share of them is far longer.
    """
    rng = random.Random(plan.seed)
    samples = []
    for group in range(plan.groups):
        for index in range(plan.group_size):
            length = plan.tokens + rng.randrange(plan.tokens)
            if rng.random() < plan.long_share:
                length *= plan.long_factor
            prompt = f"{plan.trainer} step {plan.step} group {group}"
            samples.append(
                {
                    "group": group,
                    "index": index,
                    "prompt": prompt,
                    "max_tokens": length,
                }
            )
    return samples


async def run_trainer(plan: TrainerPlan) -> dict:
    """
    Run one step and return its measured outcomes.
    """
    samples = plan_samples(plan)
    state = _StepState(
        {(s["group"], s["index"]): s for s in samples}, version=plan.version
    )
    state.emit = trace_to(plan.trace, plan.trainer)
    async with aiohttp.ClientSession() as session:
        balancer = Balancer(session, plan.vms, plan.seed)
        checks = asyncio.create_task(balancer.run_checks())
        began = time.monotonic()
        await _run_step(plan, state, balancer, session, samples)
        seconds = time.monotonic() - began
        checks.cancel()
    return {
        "trainer": plan.trainer,
        "samples_expected": len(state.expected),
        "samples_delivered": len(state.received),
        "samples_duplicated": state.duplicated,
        "samples_mislabelled": state.mislabelled,
        "samples_stale": state.stale,
        "samples_wrong": state.wrong,
        "samples_of_mixed_versions": state.mixed,
        "submits": state.submits,
        "fetches": state.fetches,
        "mean_behind": round(
            sum(state.versions_behind) / max(1, len(state.versions_behind)), 3
        ),
        "waited_s": round(state.fetch_seconds, 2),
        "seconds": round(seconds, 2),
    }


async def _run_step(
    plan: TrainerPlan,
    state: _StepState,
    balancer: Balancer,
    session: aiohttp.ClientSession,
    samples: list[dict],
) -> None:
    expires_at = time.monotonic() + plan.deadline
    path = f"/v1/trainers/{plan.trainer}/steps/{plan.step}"
    submitted = False
    published = False
    while len(state.received) < len(state.expected) and time.monotonic() < expires_at:
        if not submitted:
            submitted = await _submit(plan, state, balancer, path, samples)
            continue
        submitted = await _fetch(plan, state, balancer, path)
        share = len(state.received) / len(state.expected)
        if not published and share >= plan.publish_at:
            published = True
            await _publish(plan, state, session)


async def _submit(
    plan: TrainerPlan,
    state: _StepState,
    balancer: Balancer,
    path: str,
    samples: list[dict],
) -> bool:
    state.submits += 1
    body = {
        "version": state.version,
        "samples": samples,
        "received": [list(slot) for slot in state.received],
    }
    reply = await balancer.send(
        "POST", path, token=plan.token, body=json.dumps(body).encode()
    )
    if reply.status != 200:
        await asyncio.sleep(max(0.05, reply.retry_after))
        return False
    data = json.loads(reply.body)
    if data["fence"] < state.fence:
        # The collector that answered has been replaced.
        return False
    state.fence = data["fence"]
    state.cursor = data["cursor"]
    return True


async def _fetch(
    plan: TrainerPlan, state: _StepState, balancer: Balancer, path: str
) -> bool:
    state.fetches += 1
    body = {
        "fence": state.fence,
        "cursor": state.cursor,
        "version": state.version,
        "limit": 64,
        "wait_s": 2.0,
    }
    began = time.monotonic()
    reply = await balancer.send(
        "POST", f"{path}/fetch", token=plan.token, body=json.dumps(body).encode()
    )
    state.fetch_seconds += time.monotonic() - began
    if reply.status == 409:
        return False
    if reply.status != 200:
        await asyncio.sleep(max(0.05, reply.retry_after))
        return True
    data = json.loads(reply.body)
    if data["fence"] != state.fence:
        return True
    for sample in data["samples"]:
        _accept_sample(plan, state, sample)
    state.cursor = data["number"]
    return True


def _accept_sample(plan: TrainerPlan, state: _StepState, sample: dict) -> None:
    slot = (sample["group"], sample["index"])
    if slot in state.received:
        state.duplicated += 1
        return
    requested = state.expected[slot]
    state.received[slot] = sample
    state.emit(_make_event(plan, state, sample, requested["max_tokens"]))
    tokens = [token.split(":") for token in sample["text"].split()]
    is_complete = [int(t[3]) for t in tokens] == list(range(requested["max_tokens"]))
    matches_prompt = all(t[2] == prompt_tag(requested["prompt"]) for t in tokens)
    if not (is_complete and matches_prompt):
        state.wrong += 1
    # Each token's text contains the weight version that generated it.
    token_versions = [int(t[0]) for t in tokens]
    reported_versions = [
        v for v, first, last in sample["runs"] for _ in range(first, last + 1)
    ]
    if token_versions != reported_versions:
        state.mislabelled += 1
    state.versions_behind.append(
        state.version - min(token_versions, default=state.version)
    )
    if token_versions and min(token_versions) < state.version - plan.staleness_bound:
        state.stale += 1
    if len(set(token_versions)) > 1:
        state.mixed += 1


def _make_event(
    plan: TrainerPlan, state: _StepState, sample: dict, max_tokens: int
) -> SampleKept:
    token_versions = tuple(int(token.split(":")[0]) for token in sample["text"].split())
    return SampleKept(
        plan.trainer,
        plan.step,
        (sample["group"], sample["index"]),
        max_tokens,
        token_versions,
        tuple(tuple(run) for run in sample["runs"]),
        state.version,
        plan.staleness_bound,
    )


async def _publish(
    plan: TrainerPlan, state: _StepState, session: aiohttp.ClientSession
) -> None:
    state.version += 1
    url = f"{plan.weight_store}/v1/weights/{plan.model}"
    async with session.post(url, json={"version": state.version}) as response:
        await response.read()
