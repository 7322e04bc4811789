# SPDX-License-Identifier: MIT

"""
Stand-in of guests, the end users of partners: sends look-ups, bookings and completions
and checks the answers.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field

import aiohttp

from ._balancer import Balancer, Reply
from .engine import prompt_tag


__all__ = ["GuestPlan", "run_guests"]

#: Result codes that guarantee that the request did not run.
_NOT_RUN = range(200, 300)


@dataclass(frozen=True)
class GuestPlan:
    """
    The guests' requests.

    :param tokens: Tokens of the partners, used in turn.
    :param rate: Requests started per second.
    :param seconds: Time during which requests are started.
    :param lookup: Service and path of a repeatable call.
    :param booking: Service and path of an unrepeatable call.
    :param deadline: Time limit for a request with its retries, in seconds.
    """

    vms: tuple[str, ...]
    tokens: tuple[str, ...]
    model: str
    lookup: tuple[str, str]
    booking: tuple[str, str]
    rate: float = 40.0
    seconds: float = 15.0
    deadline: float = 10.0
    seed: int = 1


@dataclass
class _Tally:
    """
    Counted outcomes.

    :ivar cut_by: Unix times of cut connections, by address of the VM.
    :ivar lookup_ms: Latencies of answered look-ups, in milliseconds.
    :ivar not_run_refs: References of calls that did not run.
    :ivar answered_refs: References of answered bookings; empty texts for look-ups.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong_or_partial: int = 0
    cut_by: dict[str, list[float]] = field(default_factory=dict)
    lookup_ms: list[float] = field(default_factory=list)
    not_run_refs: list[str] = field(default_factory=list)
    answered_refs: list[str] = field(default_factory=list)


async def run_guests(plan: GuestPlan) -> dict:
    """
    Send the plan's requests and return their counted outcomes.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        balancer = Balancer(session, plan.vms, plan.seed)
        checks = asyncio.create_task(balancer.run_checks())
        tally = _Tally()
        guests = _Guests(plan, balancer, tally)
        tasks = []
        for number in range(int(plan.rate * plan.seconds)):
            tasks.append(asyncio.create_task(guests.send_one(number)))
            await asyncio.sleep(1 / plan.rate)
        await asyncio.gather(*tasks)
        checks.cancel()
    times = sorted(tally.lookup_ms)
    result = {k: v for k, v in vars(tally).items() if k != "lookup_ms"}
    if times:
        result["lookup_ms_p50"] = round(times[len(times) // 2], 1)
        result["lookup_ms_p99"] = round(times[int(len(times) * 0.99)], 1)
    return result


class _Guests:
    def __init__(self, plan: GuestPlan, balancer: Balancer, tally: _Tally) -> None:
        self._plan = plan
        self._balancer = balancer
        self._tally = tally
        self._random = random.Random(plan.seed)

    async def send_one(self, number: int) -> None:
        """
        Send one request of a mix: six look-ups, three bookings, one completion.
        """
        self._tally.requests += 1
        turn = number % 10
        token = self._plan.tokens[number % len(self._plan.tokens)]
        if turn < 6:
            await self._call(self._plan.lookup, token, key="")
        elif turn < 9:
            await self._call(self._plan.booking, token, key=uuid.uuid4().hex)
        else:
            await self._complete(token, number)

    async def _call(self, target: tuple[str, str], token: str, key: str) -> None:
        service, path = target
        reference = uuid.uuid4().hex
        body = json.dumps({"ref": reference}).encode()
        began = time.monotonic()
        reply = await self._send_with_retries(
            f"/v1/services/{service}{path}", token, body, key, repeatable=True
        )
        if reply is None:
            return
        if not key:
            self._tally.lookup_ms.append((time.monotonic() - began) * 1000)
        data = json.loads(reply.body)
        if data.get("ref") == reference:
            self._tally.answered += 1
            self._tally.answered_refs.append(reference if key else "")
        else:
            self._tally.wrong_or_partial += 1

    async def _complete(self, token: str, number: int) -> None:
        prompt = f"guest {number} {uuid.uuid4().hex}"
        length = 20
        body = json.dumps(
            {"model": self._plan.model, "prompt": prompt, "max_tokens": length}
        ).encode()
        reply = await self._send_with_retries("/v1/completions", token, body, "", True)
        if reply is None:
            return
        text = json.loads(reply.body)["choices"][0]["text"]
        tokens = [token.split(":") for token in text.split()]
        is_complete = [int(t[3]) for t in tokens] == list(range(length))
        matches_prompt = all(t[2] == prompt_tag(prompt) for t in tokens)
        if is_complete and matches_prompt:
            self._tally.answered += 1
        else:
            self._tally.wrong_or_partial += 1

    async def _send_with_retries(
        self, path: str, token: str, body: bytes, key: str, repeatable: bool
    ) -> Reply | None:
        """
        Send a request with the retries that docs/CALLERS.md describes.

        A call with a key is retried with the same key; so is a repeatable call.
        """
        expires_at = time.monotonic() + self._plan.deadline
        outcome = "not_run"
        while time.monotonic() < expires_at:
            reply = await self._balancer.send(
                "POST",
                path,
                token=token,
                body=body,
                key=key,
                timeout=self._remaining(expires_at),
            )
            if reply.status == 200:
                return reply
            outcome, wait = self._classify_failure(reply)
            if outcome == "final" or not (repeatable or key):
                break
            await asyncio.sleep(wait + self._random.random() * 0.05)
        self._record_failure(outcome, body)
        return None

    def _classify_failure(self, reply: Reply) -> tuple[str, float]:
        if reply.status == 0 and reply.connected:
            self._tally.cut_by.setdefault(reply.vm, []).append(time.time())
            return "unknown", 0.05
        if reply.status == 0:
            return "not_run", 0.05
        error = json.loads(reply.body).get("error", {})
        if error.get("family") == "not_run" and int(error["code"]) in _NOT_RUN:
            return "not_run", reply.retry_after
        if error.get("name") == "key_spent":
            return "final", 0.0
        return "unknown", 0.1

    def _record_failure(self, outcome: str, body: bytes) -> None:
        if outcome == "not_run":
            self._tally.not_run += 1
            self._tally.not_run_refs.append(json.loads(body).get("ref", ""))
        else:
            self._tally.unknown += 1

    def _remaining(self, expires_at: float) -> float:
        return max(0.1, expires_at - time.monotonic())
