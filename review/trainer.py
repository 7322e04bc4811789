# SPDX-License-Identifier: MIT

"""
A trainer of the scripts: submits jobs, reads results and ends jobs.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from deployment import HOST, MODEL, Deployment


@dataclass(frozen=True)
class Group:
    """
    Items that share a prompt.

    :param bodies: Body of each item; see the stand-in of the engine.
    """

    name: str
    bodies: tuple[bytes, ...]

    def items(self) -> list[dict]:
        return [
            {
                "id": f"{self.name}i{index}",
                "path": f"/train/{self.name}/{index}",
                "headers": {
                    "Saddledoor-Model-Name": MODEL,
                    "Saddledoor-Token-Count": "340,400",
                    "Saddledoor-Prompt-Prefix": "9c2e41:300,5d07b8:40",
                },
                "body": base64.b64encode(body).decode(),
                "tokens": 740,
                "group_size": self.name,
                "scorer": {
                    "id": f"{self.name}s{index}",
                    "host": HOST,
                    "path": f"/score/{self.name}/{index}",
                    "body": base64.b64encode(b"score it").decode(),
                },
            }
            for index, body in enumerate(self.bodies)
        ]


@dataclass
class Step:
    """
    A job and its results.
    """

    job_id: str
    groups: list[Group]
    results: dict[str, dict] = field(default_factory=dict)

    def whole_groups(self) -> list[Group]:
        return [
            group
            for group in self.groups
            if all(item["id"] in self.results for item in group.items())
        ]


class Trainer:
    """
    Runs steps one after the other, each call at the next edge.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._calls = 0

    def _next_edge(self) -> str:
        self._calls += 1
        names = list(self._deployment.edges)
        return names[self._calls % len(names)]

    async def submit(self, number: int, groups: list[Group], desired: int) -> Step:
        """
        Submit a job until it is accepted.
        """
        step = Step(f"job{number:04x}", groups)
        job = {
            "step": number,
            "model": MODEL,
            "min_version": 1,
            "desired": desired,
            "requests": [item for group in groups for item in group.items()],
        }
        body = json.dumps(job).encode()
        status = 0
        while status != 202:
            answer = await self._deployment.ask(
                self._next_edge(),
                "POST",
                "/train/x",
                body,
                Saddledoor_Attempt_Id=step.job_id,
            )
            status = answer.status
            self._deployment.record("job sent", job=step.job_id, status=status)
            if status != 202:
                await asyncio.sleep(0.2)
        return step

    async def read(self, step: Step) -> None:
        """
        Read the results that are listed so far.
        """
        target = f"/v1/lots/{step.job_id}?since_rev={len(step.results)}"
        answer = await self._deployment.ask(
            self._next_edge(), "GET", target, Saddledoor_Wait_Ms="500"
        )
        if answer.status == 200:
            for result in answer.media["results"]:
                step.results[result["id"]] = result
                self._deployment.record(
                    "result", job=step.job_id, item=result["id"], state=result["state"]
                )

    async def read_until(self, step: Step, desired: int, must: set[str]) -> None:
        """
        Read until enough groups are whole, the ones that came again among them, or
        until the results are due.
        """
        due = time.monotonic() + 7.5
        while time.monotonic() < due:
            await self.read(step)
            names = {group.name for group in step.whole_groups()}
            if len(names) >= desired and must <= names:
                return
            await asyncio.sleep(0.2)

    async def end(self, step: Step) -> None:
        """
        End a job.
        """
        status = 0
        while status != 200:
            target = f"/v1/lots/{step.job_id}"
            answer = await self._deployment.ask(self._next_edge(), "DELETE", target)
            status = answer.status
            self._deployment.record("job ended", job=step.job_id, status=status)
            if status != 200:
                await asyncio.sleep(0.1)
