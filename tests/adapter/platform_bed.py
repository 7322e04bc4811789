# SPDX-License-Identifier: MIT

"""
A small deployment on loopback: edges, which are processes of ``platform/edge.py``, and
stand-ins of the platform.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from email.message import Message
from pathlib import Path

from engine_documents import BORN
from platform_documents import DUTIES, HOST, MODEL, SETTINGS, make_config


__all__ = ["Answer", "PlatformBed", "until"]

_HERE = Path(__file__).parent
_ROOT = _HERE.parent.parent
#: Ports for tests: first, last, and number of ports that each test process claims.
_FIRST_PORT, _LAST_PORT, _PORTS = 20_000, 32_000, 500


@dataclass(frozen=True)
class Answer:
    """
    An edge's response; header names are in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def media(self) -> dict:
        return json.loads(self.body)


def _claim_range() -> tuple[socket.socket, int]:
    """
    Claim a range of ports for this process by binding its first port.

    The range is below the ephemeral ports of outgoing connections.
    """
    for base in range(_FIRST_PORT, _LAST_PORT, _PORTS):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", base))
        except OSError:
            claim.close()
        else:
            return claim, base
    raise AssertionError("every range of ports is taken")


_claim, _base = _claim_range()
_port_numbers = itertools.count()


def free_port() -> int:
    """
    Return a free port of the range that this process has claimed.
    """
    for _ in range(_PORTS):
        port = _base + 1 + next(_port_numbers) % (_PORTS - 1)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError(f"no free port from {_base} on")


def until(check: Callable[[], object], timeout: float = 10.0) -> object:
    """
    Poll the check and return its first true value.

    :param timeout: In seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if value := check():
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {timeout} s")


@dataclass
class _Process:
    handle: subprocess.Popen
    out: Path

    def end(self) -> None:
        if self.handle.poll() is None:
            self.handle.kill()
        self.handle.wait()


@dataclass
class PlatformBed:
    """
    Processes of a store, engines and edges; all are stopped at exit.
    """

    folder: Path
    lease_ms: int = 1000
    duties: bool = False
    keep_s: int = 300
    duty_names: str = '"usage", "scale"'
    bounds: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    edge_zones: dict[str, str] = field(default_factory=dict)
    settings_changes: dict[str, str] = field(default_factory=dict)
    store_port: int = field(default_factory=free_port)
    duties_port: int = field(default_factory=free_port)
    edges_store_port: int = 0
    pour_ports: dict[str, int] = field(default_factory=dict)
    store_link: object = None
    engine_ports: dict[str, int] = field(default_factory=dict)
    front_ports: dict[str, int] = field(default_factory=dict)
    ready_ports: dict[str, int] = field(default_factory=dict)
    metrics_ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, _Process] = field(default_factory=dict)

    @classmethod
    @contextlib.contextmanager
    def open(
        cls,
        folder: Path,
        edges: int = 1,
        engines: int = 2,
        lease_ms: int = 1000,
        duties: bool = False,
        config: dict | None = None,
        keep_s: int = 300,
        duty_names: str = '"usage", "scale"',
        bounds: str = "",
        zones: dict[str, str] | None = None,
        edge_zones: dict[str, str] | None = None,
        settings_changes: dict[str, str] | None = None,
        store_link: Callable[[int], contextlib.AbstractContextManager] | None = None,
    ) -> Iterator:
        """
        Start everything and wait until the edges are ready.

        :param lease_ms: Lease term, in milliseconds.
        :param duties: Whether usage is reported.
        :param duty_names: Duties that the settings name, as in the file.
        :param bounds: Further lines of the edges' time bounds.
        :param config: First configuration; None for the default one.
        :param keep_s: Retention of the log in the settings, in seconds; the store keeps
            all records unless it is told otherwise.
        :param zones: Region of each data centre; None for settings without regions.
        :param edge_zones: Data centre of each edge that is not in ``dc-a``.
        :param settings_changes: Texts of the edges' settings and their replacements.
        :param store_link: Opens a link to the store, which the edges use.
        """
        bed = cls(
            folder,
            lease_ms=lease_ms,
            duties=duties,
            keep_s=keep_s,
            duty_names=duty_names,
            bounds=bounds,
            zones=zones or {},
            edge_zones=edge_zones or {},
            settings_changes=settings_changes or {},
        )
        stack = contextlib.ExitStack()
        try:
            bed._run("store", "store", str(bed.store_port))
            until(lambda: bed._answers(bed.store_port))
            if store_link is not None:
                bed.store_link = stack.enter_context(store_link(bed.store_port))
                bed.edges_store_port = bed.store_link.port
            if duties:
                bed._run("duties", "duties", str(bed.duties_port))
                until(lambda: bed._answers(bed.duties_port))
            bed.configure(config or make_config())
            for index in range(engines):
                bed.start_engine(f"engine-{index}", "pool", MODEL)
            bed.start_engine("desk-0", "desk")
            bed.start_engine("desk-1", "desk")
            for index in range(edges):
                bed.start_edge(f"edge-{index}")
            for name in bed.ready_ports:
                until(lambda name=name: bed.ready(name))
            until(bed.owner)
            yield bed
        finally:
            for process in bed.processes.values():
                process.end()
            stack.close()

    def start_engine(
        self,
        engine_id: str,
        service: str,
        model: str = "",
        port: int = 0,
        zone: str = "dc-a",
    ) -> None:
        """
        Start an engine, which writes its registry entry.

        :param zone: Data centre.
        """
        port = port or free_port()
        self.engine_ports[engine_id] = port
        store = f"127.0.0.1:{self.store_port}"
        journal = str(self.journal(engine_id))
        arguments = (str(port), engine_id, service, store, model, journal, zone)
        self._run(engine_id, "engine", *arguments)
        until(lambda: self._answers(port))

    def start_pour(self, engine_id: str, service: str, model: str = "") -> None:
        """
        Start a server that sends bytes without end, and write its registry entry.
        """
        port = free_port()
        self._run(engine_id, "pour", str(port))
        until(lambda: self._answers(port))
        self.pour_ports[engine_id] = port
        self.put_entry(engine_id, service, port, model)

    def fake_pour(self, engine_id: str, **changes: object) -> dict:
        return self._fake(self.pour_ports[engine_id], changes)

    def peak_memory(self, name: str) -> float:
        """
        Return the largest size of an edge's process so far, in MB.
        """
        status = Path(f"/proc/{self.processes[name].handle.pid}/status").read_text()
        (size,) = re.findall(r"VmHWM:\s+(\d+) kB", status)
        return int(size) / 1024

    def open_sockets(self, name: str) -> int:
        """
        Return the number of sockets that an edge's process has open.
        """
        folder = Path(f"/proc/{self.processes[name].handle.pid}/fd")
        links = []
        for path in folder.iterdir():
            with contextlib.suppress(FileNotFoundError):
                links.append(os.readlink(path))
        return sum(link.startswith("socket:") for link in links)

    def journal(self, engine_id: str) -> Path:
        """
        Return the file in which all incarnations of an engine record their actions.
        """
        return self.folder / f"{engine_id}.journal"

    def put_entry(
        self,
        engine_id: str,
        service: str,
        port: int,
        model: str = "",
        state: str = "ready",
        **fields: object,
    ) -> None:
        """
        Write a registry entry on an engine's behalf, with its start time if it runs.

        :param fields: Further fields of the entry.
        """
        started = engine_id in self.engine_ports
        born = self.fake_engine(engine_id)["born"] if started else BORN
        entry = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "dc-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "seq_no": 1,
            "cold_left_ms": 0,
            "born": born,
        }
        if model:
            held = {"name": model, "version": 1, "adapters": []}
            entry |= {"stage": "both", "models": [held]}
        entry |= fields
        self.put("keyed.servers", engine_id, json.dumps(entry))

    def remove_entry(self, engine_id: str) -> None:
        self.put("keyed.servers", engine_id, "")

    def configure(self, config: dict) -> None:
        self.put("keyed.op", "config", json.dumps(config))

    def name_version(self, version: int) -> None:
        value = json.dumps({"model": MODEL, "version": version})
        self.put("keyed.op", f"version/{MODEL}", value)

    def put(self, topic: str, key: str, value: str) -> None:
        self.fake_store(put=[[topic, key, value]])

    def fake_store(self, **changes: object) -> dict:
        return self._fake(self.store_port, changes)

    def fake_duties(self, **changes: object) -> dict:
        return self._fake(self.duties_port, changes)

    def fake_engine(self, engine_id: str, **changes: object) -> dict:
        return self._fake(self.engine_ports[engine_id], changes)

    def runs(self) -> list[dict]:
        """
        Return the requests that the running engines started.
        """
        live = [name for name in self.engine_ports if self.is_running(name)]
        return [run for name in live for run in self.fake_engine(name)["runs"]]

    def is_running(self, name: str) -> bool:
        return self.processes[name].handle.poll() is None

    def start_edge(self, name: str) -> None:
        """
        Start or restart an edge; ports stay the same across restarts.
        """
        front = self.front_ports.setdefault(name, free_port())
        ready = self.ready_ports.setdefault(name, free_port())
        metrics = self.metrics_ports.setdefault(name, free_port())
        path = self.settings_path(name)
        ports = (front, ready, self.edges_store_port or self.store_port)
        text = SETTINGS.format(name, *ports, self.lease_ms, self.keep_s)
        for before, after in self.settings_changes.items():
            assert text.count(before) == 1
            text = text.replace(before, after)
        text += self.bounds
        if self.duties:
            duties = DUTIES.format(self.duties_port)
            text += duties.replace('"usage", "scale"', self.duty_names)
        text = self._with_zones(name, text)
        path.write_text(text)
        out = self.folder / f"{name}.out"
        with out.open("ab") as stream:
            handle = subprocess.Popen(
                [sys.executable, str(_ROOT / "platform" / "edge.py")],
                env={
                    **os.environ,
                    "SADDLEDOOR_BOOT": str(path),
                    "SADDLEDOOR_METRICS_PORT": str(metrics),
                },
                stdout=stream,
                stderr=subprocess.STDOUT,
            )
        self.processes[name] = _Process(handle, out)

    def _with_zones(self, name: str, text: str) -> str:
        """
        Add an edge's data centre, its region and the table of regions to its settings.
        """
        if not self.zones:
            return text
        zone = self.edge_zones.get(name, "dc-a")
        before, own = 'zone = "dc-a"\n', f'zone = "{zone}"\n'
        assert text.count(before) == 1
        own += f'region = "{self.zones[zone]}"\n'
        table = "".join(f'{key} = "{value}"\n' for key, value in self.zones.items())
        return text.replace(before, own) + "[zones]\n" + table

    def settings_path(self, name: str) -> Path:
        return self.folder / f"{name}.toml"

    def change_settings(self, name: str, before: str, after: str) -> None:
        """
        Replace a text in an edge's settings file, by an atomic replacement of the file.
        """
        path = self.settings_path(name)
        text = path.read_text()
        assert before in text
        new = path.with_suffix(".new")
        new.write_text(text.replace(before, after, 1))
        new.replace(path)

    def settings_in_force(self, name: str) -> str:
        """
        Return the version of the settings in force, from an edge's metrics.
        """
        pattern = r'saddledoor_settings\{.*version="(\w+)".*\} 1'
        (version,) = re.findall(pattern, self._metrics(name))
        return version

    def skipped_records(self, name: str) -> dict[str, int]:
        """
        Return an edge's counts of skipped records, by kind.
        """
        pattern = r'saddledoor_records_skipped_total\{.*?of="(\w+)".*\} (\d+)'
        return {of: int(n) for of, n in re.findall(pattern, self._metrics(name))}

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].handle.pid, number)

    def wait_end(self, name: str, timeout: float = 15.0) -> int:
        return self.processes[name].handle.wait(timeout)

    def log(self, name: str) -> list[dict]:
        """
        Return an edge's log lines, parsed as JSON.
        """
        text = self.processes[name].out.read_text()
        return [json.loads(line) for line in text.splitlines()]

    def ready(self, name: str) -> bool:
        with contextlib.suppress(OSError):
            port = self.ready_ports[name]
            return self._ask(port, "GET", "/v1/readiness").status == 200
        return False

    def ask(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        request_id: str = "",
        edge: str = "edge-0",
        timeout: float = 10.0,
        **headers: str,
    ) -> Answer:
        """
        Send a request to an edge as a client.
        """
        fields = {"Host": HOST, **{k.replace("_", "-"): v for k, v in headers.items()}}
        if request_id:
            fields["Saddledoor-Attempt-Id"] = request_id
        port = self.front_ports[edge]
        return self._ask(port, method, target, body, fields, timeout)

    def submit(
        self, job_id: str, job: dict, edge: str = "edge-0", **headers: str
    ) -> Answer:
        body = json.dumps(job).encode()
        return self.ask("POST", "/train/x", body, job_id, edge, **headers)

    def results(
        self, job_id: str, edge: str = "edge-0", since: int = 0, **headers: str
    ) -> list[dict]:
        path = f"/v1/lots/{job_id}?since_rev={since}"
        answer = self.ask("GET", path, edge=edge, **headers)
        return answer.media["results"] if answer.status == 200 else []

    def finished(
        self, job_id: str, items: int, edge: str = "edge-0", **headers: str
    ) -> list[dict]:
        """
        Wait for all results of a job and return them.
        """
        until(lambda: len(self.results(job_id, edge, **headers)) == items, 20.0)
        return self.results(job_id, edge, **headers)

    def owner(self) -> str:
        """
        Return the edge that runs the jobs, according to the logs; empty if none does.
        """
        for name in self.front_ports:
            events = [line["event"] for line in self.log(name)]
            share_events = [event for event in events if event.startswith("share")]
            if share_events and share_events[-1] == "share_taken":
                return name
        return ""

    def _run(self, name: str, *arguments: str) -> None:
        out = self.folder / f"{name}.out"
        with out.open("ab") as stream:
            handle = subprocess.Popen(
                [sys.executable, str(_HERE / "standins.py"), *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
            )
        self.processes[name] = _Process(handle, out)

    def _metrics(self, name: str) -> str:
        url = f"http://127.0.0.1:{self.metrics_ports[name]}/metrics"
        with urllib.request.urlopen(url, timeout=5.0) as response:
            return response.read().decode()

    def _answers(self, port: int) -> bool:
        with contextlib.suppress(OSError):
            return self._fake(port, {}) is not None
        return False

    def _fake(self, port: int, body: dict) -> dict:
        return self._ask(port, "POST", "/fake", json.dumps(body).encode()).media

    def _ask(
        self,
        port: int,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict | None = None,
        timeout: float = 5.0,
    ) -> Answer:
        request = urllib.request.Request(
            f"http://127.0.0.1:{port}{target}",
            data=body or None,
            headers=headers or {},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout) as response:
                return _answer(response.status, response.headers, response.read())
        except urllib.error.HTTPError as error:
            return _answer(error.code, error.headers, error.read())


def _answer(status: int, headers: Message, body: bytes) -> Answer:
    return Answer(status, {k.lower(): v for k, v in headers.items()}, body)
