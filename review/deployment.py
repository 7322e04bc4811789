# SPDX-License-Identifier: MIT

"""
A small deployment on loopback for the scripts of this review: edges, started with the
command of the deploy file, and stand-ins of the platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.request
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp


HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"
MODEL = "model-a"
_HERE = Path(__file__).parent
_ROOT = _HERE.parent
#: Pause before the platform starts a process again that has ended, in seconds.
_RESTART_PAUSE = 0.5

# Bounds and limits as on the sheets of skupna-pot and, without fences, of tracado-sul.
_SETTINGS = """\
node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
heartbeat_ms = 1200
discovery = "platform"
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.717
cores = 3
memory_mb = 350
max_fds = 8200
[timing_bounds]
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
status_s = 120
cancel_ms = 3000
settle_ms = 1000
fence_required = {fences}
lease_ms = 3000
freeze_slack_ms = 300
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
max_queue_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


def trouble() -> bool:
    """
    Return whether the script plays its disruption.
    """
    return os.environ.get("TROUBLE", "1") != "0"


def make_config(attempts: int = 3) -> dict:
    """
    Return a configuration with routes of look-ups, bookings, scoring and jobs.
    """
    plain = {"host": HOST, "timeout_ms": 1500, "slo_ms": 192, "priority": 2}
    return {
        "version": 1,
        "routes": [
            {
                "name": "look-up",
                "path_prefix": "/look/",
                "route_type": "safe",
                "service": "desk",
                "max_attempts": 2,
                **plain,
            },
            {
                "name": "book",
                "path_prefix": "/book/",
                "route_type": "unsafe",
                "service": "desk",
                "max_attempts": 2,
                **plain,
            },
            {
                "name": "score",
                "path_prefix": "/score/",
                "route_type": "safe",
                "service": "desk",
                "max_attempts": 4,
                **plain,
            },
            {
                "name": "train",
                "host": HOST,
                "path_prefix": "/train/",
                "route_type": "rollout",
                "service": "pool",
                "timeout_ms": 10000,
                "slo_ms": 400,
                "priority": 0,
                "max_attempts": attempts,
                "result_due_ms": 7500,
                "max_queue_s": 40,
            },
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 110},
            {
                "name": "pool",
                "health_path": "/health",
                "max_conns": 170,
                "engine": {"slots": 12, "models": [{"name": MODEL}]},
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


@dataclass
class Answer:
    """
    An answer of an edge; status 0 stands for none.
    """

    status: int
    body: bytes = b""

    @property
    def media(self) -> dict:
        return json.loads(self.body)


@dataclass
class Deployment:
    """
    The processes, the record of what was sent, answered and run, and a client.
    """

    folder: Path
    record_path: Path
    fences: bool = True
    edges: dict[str, tuple[int, int]] = field(default_factory=dict)
    own_ends: dict[str, list[float]] = field(default_factory=dict)
    _ports: dict[str, int] = field(default_factory=dict)
    _processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    _stopping: set[str] = field(default_factory=set)
    _watches: set[asyncio.Task] = field(default_factory=set)
    _session: aiohttp.ClientSession | None = None
    _closing: bool = False

    @property
    def store(self) -> str:
        return f"127.0.0.1:{self._ports['store']}"

    def record(self, what: str, **fields: object) -> None:
        line = {"at": round(time.monotonic(), 3), "by": "script", "what": what}
        with self.record_path.open("a") as stream:
            print(json.dumps({**line, **fields}), file=stream)

    def lines(self) -> list[dict]:
        """
        Return the record so far.
        """
        text = self.record_path.read_text()
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]

    def _port(self, name: str) -> int:
        if name not in self._ports:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                self._ports[name] = probe.getsockname()[1]
        return self._ports[name]

    def _start(self, name: str, arguments: list[str], **variables: str) -> None:
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        path = self.folder / f"{name.replace('/', '-')}.out"
        with path.open("ab") as out:
            self._processes[name] = subprocess.Popen(
                arguments,
                cwd=_ROOT,
                env={**kept, "PYTHONPATH": "target/deps", **variables},
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def start_store(self) -> None:
        script = str(_HERE / "stand_in_store.py")
        self._start("store", [sys.executable, script, str(self._port("store"))])

    def start_link(self) -> None:
        """
        Start a link between the edges and the store, whose name is ``link``.
        """
        self._start_link("link", self._port("store link"), self.store)

    def _start_link(self, name: str, port: int, target: str) -> None:
        script = str(_HERE / "stand_in_link.py")
        ports = [str(port), target, str(self._port(name))]
        self._start(name, [sys.executable, script, *ports])

    def start_engine_link(self, name: str) -> None:
        """
        Start a link between the edges and an engine that is started later, whose name
        is the engine's with ``/link``.
        """
        port, target = self._port(f"{name}/path"), self._port(name)
        self._start_link(f"{name}/link", port, f"127.0.0.1:{target}")

    def start_engine(self, name: str, service: str, **settings: object) -> None:
        fields = {
            "port": self._port(name),
            "address_port": self._ports.get(f"{name}/path", self._port(name)),
            "engine_id": name,
            "service": service,
            "store": self.store,
            "record": str(self.record_path),
            **settings,
        }
        script = str(_HERE / "stand_in_engine.py")
        self._start(name, [sys.executable, script, json.dumps(fields)])

    def start_edge(self, name: str) -> None:
        """
        Start an edge; the platform starts it again whenever it ends by itself.
        """
        front, ready = self._port(f"{name}/front"), self._port(f"{name}/ready")
        self.edges[name] = (front, ready)
        path = self.folder / f"{name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=name,
                front=front,
                ready=ready,
                store=self._ports.get("store link", self._ports["store"]),
                fences=str(self.fences).lower(),
            )
        )
        self._start_edge(name)
        self._watches.add(asyncio.create_task(self._restart(name)))

    def _start_edge(self, name: str) -> None:
        metrics = str(self._port(f"{name}/metrics"))
        self._start(
            name,
            ["python3", "platform/edge.py"],
            SADDLEDOOR_BOOT=str(self.folder / f"{name}.toml"),
            SADDLEDOOR_METRICS_PORT=metrics,
        )

    async def _restart(self, name: str) -> None:
        while True:
            await asyncio.sleep(0.05)
            status = self._processes[name].poll()
            if status is None or self._closing:
                continue
            if name in self._stopping:
                self._stopping.discard(name)
                self.record("edge stopped", edge=name, status=status)
            else:
                self.own_ends.setdefault(name, []).append(time.monotonic())
                self.record("edge ended by itself", edge=name, status=status)
            await asyncio.sleep(_RESTART_PAUSE)
            self._start_edge(name)

    def stop_edge(self, name: str) -> None:
        """
        Send SIGTERM, as the platform does before it starts the process again.
        """
        self._stopping.add(name)
        self._processes[name].terminate()
        self.record("SIGTERM", edge=name)

    def is_ready(self, name: str) -> bool:
        url = f"http://127.0.0.1:{self.edges[name][1]}/v1/readiness"
        with contextlib.suppress(OSError), urllib.request.urlopen(url, timeout=1):
            return True
        return False

    def control(self, name: str, **body: object) -> dict:
        """
        Control a stand-in.
        """
        request = urllib.request.Request(
            f"http://127.0.0.1:{self._ports[name]}/control",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.loads(response.read())

    async def put_operator(self, key: str, value: dict) -> None:
        """
        Write to the store as the operator does.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + json.dumps(value).encode()
        url = f"http://{self.store}/v1/log-append?topic=keyed.op&part=0"
        data = struct.pack(">I", len(record)) + record
        async with self.session.post(url, data=data) as response:
            response.raise_for_status()

    @property
    def session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        return self._session

    async def ask(
        self,
        edge: str,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = 3.0,
        **headers: str,
    ) -> Answer:
        """
        Send a request on a new connection.
        """
        fields = {"Host": HOST, **{k.replace("_", "-"): v for k, v in headers.items()}}
        url = f"http://127.0.0.1:{self.edges[edge][0]}{target}"
        try:
            async with self.session.request(
                method,
                url,
                data=body or None,
                headers=fields,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                return Answer(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return Answer(0)

    async def wait_for_store(self, timeout: float = 10.0) -> None:
        """
        Wait until the store accepts connections.

        :raises TimeoutError: If it does not in time.
        """
        async with asyncio.timeout(timeout):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.session.post(
                        f"http://{self.store}/control", json={}
                    ):
                        return
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, timeout: float = 20.0) -> None:
        """
        Wait for all edges.

        :raises TimeoutError: If one is not ready in time.
        """
        async with asyncio.timeout(timeout):
            for name in self.edges:
                while not await asyncio.to_thread(self.is_ready, name):
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """
        End all processes that this script has started.
        """
        self._closing = True
        for task in self._watches:
            task.cancel()
        if self._session is not None:
            await self._session.close()
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


def run(here: str, case: Callable[[Deployment], Awaitable[int]]) -> None:
    """
    Run a case in a temporary folder and exit with its result.

    :param here: The case's file; ``record.txt`` is written beside it.
    """
    record = Path(here).resolve().parent / "record.txt"
    record.write_text("")

    async def play() -> int:
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(Path(folder), record)
            try:
                return await case(deployment)
            finally:
                if keep := os.environ.get("KEEP_LOGS"):
                    for path in Path(folder).glob("*.out"):
                        (Path(keep) / path.name).write_bytes(path.read_bytes())
                await deployment.close()

    try:
        status = asyncio.run(play())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        status = NOT_RUN
    sys.exit(status)
