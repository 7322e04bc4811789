# SPDX-License-Identifier: MIT

"""
Load of callers and trainers that continues while edges stop and start.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_bed import PlatformBed
from platform_documents import HOST, MODEL, make_job

from .keys import draw_key
from .observed import (
    TRAINERS,
    CallerRequest,
    JobEnd,
    JobRead,
    JobSubmission,
    Observations,
)
from .plan import EDGES


__all__ = ["Load", "ask_once"]

#: Callers' timeout, in seconds; longer than a route's time limit of 2 s.
_CALLER_TIMEOUT = 2.6
#: Shortest and longest time that a trainer waits for a job's results, in seconds.
_SHORTEST_WAIT, _LONGEST_WAIT = 0.8, 5.0
#: Attempts to submit a job.
_SUBMIT_ATTEMPTS = 4
_ITEMS = 6
#: Key of all trainers, which share a workspace.
_TRAINERS_KEY = f"{TRAINERS}-0"


@dataclass
class Load:
    """
    State that callers and trainers share.

    :ivar start_counts: Number of starts of each edge.
    :ivar version: The newest announced version of the weights.
    :ivar routes: The newest configuration's version N; its routes are ``/r1/`` to
        ``/rN/``.
    :ivar open_jobs: Number of items of each job that is accepted and not ended.
    :ivar closing: Set when trainers must submit no more jobs; callers continue until
        ``over`` is set.
    """

    bed: PlatformBed
    observations: Observations
    start_counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(EDGES, 1)
    )
    version: int = 1
    routes: int = 1
    open_jobs: dict[str, int] = field(default_factory=dict)
    closing: threading.Event = field(default_factory=threading.Event)
    over: threading.Event = field(default_factory=threading.Event)

    def call(self, name: str, draw: random.Random) -> None:
        """
        Send requests over persistent connections until the load is over.
        """
        connection, edge = None, ""
        for number in range(100_000):
            if self.over.wait(draw.uniform(0.01, 0.06)):
                return
            if connection is None or draw.random() < 0.03:
                edge = draw.choice(EDGES)
                connection = self._connect(edge)
            target = draw.choice(
                ("/look/x", "/book/x", f"/r{draw.randint(1, self.routes)}/")
            )
            key = draw_key(draw, self.routes)
            record = self._send(connection, edge, f"{name}-{number}", target, key)
            self.observations.requests.append(record)
            if not record.status:
                connection.close()
                connection = None

    def _connect(self, edge: str) -> http.client.HTTPConnection:
        port = self.bed.front_ports[edge]
        return http.client.HTTPConnection("127.0.0.1", port, timeout=_CALLER_TIMEOUT)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        edge: str,
        name: str,
        target: str,
        key: str,
    ) -> CallerRequest:
        start_number, began = self.start_counts[edge], time.monotonic()
        headers = {
            "Host": HOST,
            "Saddledoor-Attempt-Id": name,
            "Saddledoor-Key": key,
            "Saddledoor-Tenant": "somebody",
        }
        try:
            connection.request("POST", target, b"x", headers)
            response = connection.getresponse()
            body = response.read().decode("latin-1")
        except (OSError, http.client.HTTPException):
            now = time.monotonic()
            return CallerRequest(
                name, target, edge, start_number, began, now, 0, key=key
            )
        signature = response.headers.get("Saddledoor-Server-Seal", "")
        now, status = time.monotonic(), response.status
        # `start_number` is that of the process that received the request, even if the
        # edge has restarted since.
        return CallerRequest(
            name, target, edge, start_number, began, now, status, signature, body, key
        )

    def train(self, name: str, draw: random.Random) -> None:
        """
        Submit jobs, read them at random edges, and end most of them.
        """
        for number in range(100_000):
            if self.closing.is_set():
                return
            job = f"{name}-{number}"
            if not self._submit(job, draw):
                self.over.wait(0.2)
                continue
            self._read_results(job, draw)
            if draw.random() < 0.8:
                self.end(job, draw)
            for earlier in range(max(0, number - 3), number):
                self.read(f"{name}-{earlier}", draw.randint(0, 2), draw)

    def _submit(self, job: str, draw: random.Random) -> bool:
        oldest = max(1, self.version - 1)
        body = json.dumps(_job(job, oldest)).encode()
        statuses = []
        while len(statuses) < _SUBMIT_ATTEMPTS and 202 not in statuses:
            edge = draw.choice(EDGES)
            status, _ = self._job_call("POST", "/train/x", edge, job, body)
            statuses.append(status)
            time.sleep(0.1)
        submitted = JobSubmission(
            job, _ITEMS, oldest, tuple(statuses), time.monotonic()
        )
        if submitted.accepted:
            self.open_jobs[job] = _ITEMS
        self.observations.submissions.append(submitted)
        return submitted.accepted

    def _read_results(self, job: str, draw: random.Random) -> None:
        deadline = time.monotonic() + draw.uniform(_SHORTEST_WAIT, _LONGEST_WAIT)
        received = 0
        while time.monotonic() < deadline and received < _ITEMS:
            read = self.read(job, draw.choice((0, received)), draw)
            received = max(received, read.since + len(read.results))
            time.sleep(0.1)

    def read(
        self, job: str, since: int, draw: random.Random, edge: str = ""
    ) -> JobRead:
        """
        Read a job at an edge.

        :param edge: The edge; empty for a random one.
        """
        edge = edge or draw.choice(EDGES)
        began = time.monotonic()
        target = f"/v1/lots/{job}?since_rev={since}"
        status, body = self._job_call("GET", target, edge)
        now = time.monotonic()
        if status != 200:
            read = JobRead(job, edge, began, now, status)
        else:
            table = json.loads(body)
            results = tuple(table["results"])
            read = JobRead(job, edge, began, now, 200, since, table["total"], results)
        self.observations.reads.append(read)
        return read

    def end(self, job: str, draw: random.Random) -> None:
        """
        End a job, trying random edges until one acknowledges it.
        """
        self.open_jobs.pop(job, None)
        began = time.monotonic()
        while not self.over.is_set():
            status, _ = self._job_call("DELETE", f"/v1/lots/{job}", draw.choice(EDGES))
            if status == 200:
                self.observations.ended.append(JobEnd(job, began, time.monotonic()))
                return
            time.sleep(0.1)

    def _job_call(
        self, method: str, target: str, edge: str, job: str = "", body: bytes = b""
    ) -> tuple[int, bytes]:
        headers = {"Saddledoor-Attempt-Id": job, "Saddledoor-Key": _TRAINERS_KEY}
        return ask_once(self._connect(edge), method, target, body, headers)

    def start(self, seed: int, callers: int, trainers: int) -> list[threading.Thread]:
        """
        Start one thread for each caller and trainer; they end once ``over`` is set.
        """
        targets: list[tuple[Callable, str]] = [
            *((self.call, f"q{index}") for index in range(callers)),
            *((self.train, f"job{index}") for index in range(trainers)),
        ]
        threads = [
            threading.Thread(
                target=work, args=(name, random.Random(f"{seed} {name}")), name=name
            )
            for work, name in targets
        ]
        for thread in threads:
            thread.start()
        return threads


def ask_once(
    connection: http.client.HTTPConnection,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """
    Send one request and close the connection; the status is 0 without a whole answer.
    """
    fields = {"Host": HOST, **(headers or {})}
    with contextlib.closing(connection):
        try:
            connection.request(method, target, body or None, fields)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""


def _job(job: str, oldest: int) -> dict:
    """
    Return a job whose items and scoring calls have unique names.
    """
    table = make_job(_ITEMS, min_version=oldest, model=MODEL)
    for index, item in enumerate(table["requests"]):
        item["id"] = f"{job}.i{index}"
        item["scorer"]["id"] = f"{job}.s{index}"
        item["headers"] |= {"Saddledoor-Tenant": "somebody", "Saddledoor-Key": "theirs"}
    return table
