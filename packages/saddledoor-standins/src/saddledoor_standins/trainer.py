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
    What a trainer draws.

    :param groups: Groups in the step, a count.
    :param group_size: Samples in a group, a count.
    :param long_share: Share of samples that are ``long_factor`` times longer.
    :param publish_at: Share of the step after which new weights are published; above
        one for never.
    :param weight_store: Where it publishes them.
    :param trace: File to record what it keeps in.
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
class _Book:
    """
    What the trainer holds; its word on what it received is the truth.
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
    behind: list[int] = field(default_factory=list)
    waited: float = 0.0
    emit: Callable = lambda event: None


def plan_samples(plan: TrainerPlan) -> list[dict]:
    """
    Return the step's samples, some far longer than the rest, the same for one seed.
    """
    chance = random.Random(plan.seed)
    samples = []
    for group in range(plan.groups):
        for index in range(plan.group_size):
            length = plan.tokens + chance.randrange(plan.tokens)
            if chance.random() < plan.long_share:
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
    Draw one step and return what the trainer saw.
    """
    samples = plan_samples(plan)
    book = _Book({(s["group"], s["index"]): s for s in samples}, version=plan.version)
    book.emit = trace_to(plan.trace, plan.trainer)
    async with aiohttp.ClientSession() as session:
        balancer = Balancer(session, plan.vms, plan.seed)
        checks = asyncio.create_task(balancer.run_checks())
        began = time.monotonic()
        await _draw(plan, book, balancer, session, samples)
        seconds = time.monotonic() - began
        checks.cancel()
    return {
        "trainer": plan.trainer,
        "samples_expected": len(book.expected),
        "samples_delivered": len(book.received),
        "samples_duplicated": book.duplicated,
        "samples_mislabelled": book.mislabelled,
        "samples_stale": book.stale,
        "samples_wrong": book.wrong,
        "samples_of_mixed_versions": book.mixed,
        "submits": book.submits,
        "fetches": book.fetches,
        "mean_behind": round(sum(book.behind) / max(1, len(book.behind)), 3),
        "waited_s": round(book.waited, 2),
        "seconds": round(seconds, 2),
    }


async def _draw(
    plan: TrainerPlan,
    book: _Book,
    balancer: Balancer,
    session: aiohttp.ClientSession,
    samples: list[dict],
) -> None:
    give_up = time.monotonic() + plan.deadline
    path = f"/v1/trainers/{plan.trainer}/steps/{plan.step}"
    submitted = False
    published = False
    while len(book.received) < len(book.expected) and time.monotonic() < give_up:
        if not submitted:
            submitted = await _submit(plan, book, balancer, path, samples)
            continue
        submitted = await _fetch(plan, book, balancer, path)
        share = len(book.received) / len(book.expected)
        if not published and share >= plan.publish_at:
            published = True
            await _publish(plan, book, session)


async def _submit(
    plan: TrainerPlan, book: _Book, balancer: Balancer, path: str, samples: list[dict]
) -> bool:
    book.submits += 1
    body = {
        "version": book.version,
        "samples": samples,
        "received": [list(slot) for slot in book.received],
    }
    reply = await balancer.send(
        "POST", path, token=plan.token, body=json.dumps(body).encode()
    )
    if reply.status != 200:
        await asyncio.sleep(max(0.05, reply.retry_after))
        return False
    data = json.loads(reply.body)
    if data["fence"] < book.fence:
        # An answer of a collector that was replaced: not to be followed.
        return False
    book.fence = data["fence"]
    book.cursor = data["cursor"]
    return True


async def _fetch(plan: TrainerPlan, book: _Book, balancer: Balancer, path: str) -> bool:
    book.fetches += 1
    body = {
        "fence": book.fence,
        "cursor": book.cursor,
        "version": book.version,
        "limit": 64,
        "wait_s": 2.0,
    }
    began = time.monotonic()
    reply = await balancer.send(
        "POST", f"{path}/fetch", token=plan.token, body=json.dumps(body).encode()
    )
    book.waited += time.monotonic() - began
    if reply.status == 409:
        return False
    if reply.status != 200:
        await asyncio.sleep(max(0.05, reply.retry_after))
        return True
    data = json.loads(reply.body)
    if data["fence"] != book.fence:
        return True
    for sample in data["samples"]:
        _take(plan, book, sample)
    book.cursor = data["number"]
    return True


def _take(plan: TrainerPlan, book: _Book, sample: dict) -> None:
    slot = (sample["group"], sample["index"])
    if slot in book.received:
        book.duplicated += 1
        return
    asked = book.expected[slot]
    book.received[slot] = sample
    book.emit(_kept(plan, book, sample, asked["max_tokens"]))
    tokens = [token.split(":") for token in sample["text"].split()]
    whole = [int(t[3]) for t in tokens] == list(range(asked["max_tokens"]))
    own = all(t[2] == prompt_tag(asked["prompt"]) for t in tokens)
    if not (whole and own):
        book.wrong += 1
    # The engine wrote into each token which version made it.
    made = [int(t[0]) for t in tokens]
    told = [v for v, first, last in sample["runs"] for _ in range(first, last + 1)]
    if made != told:
        book.mislabelled += 1
    book.behind.append(book.version - min(made, default=book.version))
    if made and min(made) < book.version - plan.staleness_bound:
        book.stale += 1
    if len(set(made)) > 1:
        book.mixed += 1


def _kept(plan: TrainerPlan, book: _Book, sample: dict, asked: int) -> SampleKept:
    made = tuple(int(token.split(":")[0]) for token in sample["text"].split())
    return SampleKept(
        plan.trainer,
        plan.step,
        (sample["group"], sample["index"]),
        asked,
        made,
        tuple(tuple(run) for run in sample["runs"]),
        book.version,
        plan.staleness_bound,
    )


async def _publish(
    plan: TrainerPlan, book: _Book, session: aiohttp.ClientSession
) -> None:
    book.version += 1
    url = f"{plan.weight_store}/v1/weights/{plan.model}"
    async with session.post(url, json={"version": book.version}) as response:
        await response.read()
