# SPDX-License-Identifier: MIT

"""
A small deployment of real processes for focused failure tests and measurements.

Daemons reach the log and other data centres through forwarders, so that the log, a
data centre or both can be cut off.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPConnection
from pathlib import Path

import yaml

from saddledoor.tracing import TracedEvent, read_trace

from .fleet import Fleet, Process, Vm, daemon_settings, request_json, wait_listening
from .testbed_document import (
    MODEL,
    PARTNERS,
    SERVICE,
    SHORT_TIMINGS,
    TRAINER,
    Shape,
    make_deployment,
    make_vms,
    token_digest,
)


__all__ = [
    "MODEL",
    "SHORT_TIMINGS",
    "TRAINER",
    "Answer",
    "Shape",
    "Testbed",
    "token_digest",
    "until",
]


def until(condition: Callable[[], object], timeout: float = 15.0) -> object:
    """
    Wait until a condition is true and return its value; an OSError counts as not true.

    :param timeout: Time limit, in seconds.
    :raises TimeoutError: If it is not true in time.
    """
    deadline = time.monotonic() + timeout
    while True:
        with contextlib.suppress(OSError):
            if value := condition():
                return value
        if time.monotonic() > deadline:
            raise TimeoutError(getattr(condition, "__doc__", None) or repr(condition))
        time.sleep(0.03)


@dataclass(frozen=True)
class Answer:
    """
    An HTTP answer of a daemon.

    :param status: HTTP status, or 0 without a whole answer.
    """

    status: int
    data: dict = field(default_factory=dict)
    retry_after: float | None = None
    vm: str = ""

    @property
    def code(self) -> int:
        """
        The numeric result code.
        """
        if self.status == 200:
            return 100
        return self.data.get("error", {}).get("code", 0)

    @property
    def family(self) -> str:
        return self.data.get("error", {}).get("family", "")


class Testbed:
    """
    A running deployment.

    :ivar log: Address of the log service.
    :ivar weights: Address of the weight store.
    :ivar vm_list: Address of the list of VMs.
    :ivar offset: Offset of the configuration that `open` published.
    """

    # Keeps pytest from collecting the class as a test.
    __test__ = False

    def __init__(self, fleet: Fleet, shape: Shape, network: str) -> None:
        self.fleet = fleet
        self.shape = shape
        self._network = network
        self.log = f"{network}.5.1:9000"
        self.weights = f"{network}.5.2:9000"
        self.vm_list = f"{network}.5.3:9000"
        self._control = f"{network}.6.1:9100"
        self.vms = make_vms(self.shape, network)
        self.deployment = make_deployment(self.shape, network)
        self.offset = -1

    @classmethod
    @contextlib.contextmanager
    def open(cls, shape: Shape | None = None) -> Iterator[Testbed]:
        """
        Start all processes, publish the deployment, and stop them afterwards.
        """
        # One network per process, so that parallel runs use different addresses.
        network = f"127.{40 + os.getpid() % 200}"
        with Fleet.open() as fleet:
            bed = cls(fleet, shape or Shape(), network)
            bed._start_platform()
            for vm in bed.vms.values():
                bed.start_vm(vm.name, wait=False)
            wait_listening([vm.http for vm in bed.vms.values()])
            bed.offset = bed.publish(bed.deployment)["offset"]
            until(lambda: bed.is_active_everywhere(bed.offset))
            yield bed

    @property
    def engines(self) -> dict[str, dict]:
        return {e["name"]: e for e in self.deployment["pools"][0]["engines"]}

    @property
    def instances(self) -> dict[str, dict]:
        return {i["name"]: i for i in self.deployment["services"][0]["instances"]}

    def process(self, name: str) -> Process:
        return self.fleet.processes[name]

    def start_vm(self, name: str, *, wait: bool = True) -> Process:
        """
        Start or restart a VM's daemon.
        """
        vm = self.vms[name]
        settings = daemon_settings(
            vm,
            self.deployment["name"],
            log_service=self._log_forwarder_address(vm.data_centre),
            vm_list=self.vm_list,
            weight_store=self.weights,
            **self.shape.timings,
        )
        settings |= self.shape.settings
        settings["grpc_outside"] = self._peer_forwarder_address(vm)
        if self.shape.traced:
            settings["trace"] = self.trace_path(name)
        process = self.fleet.start_daemon(name, settings)
        if wait:
            wait_listening([vm.http])
        return process

    def trace_path(self, name: str) -> str:
        """
        Return the path of a process's trace.
        """
        return str(self.fleet.folder / f"{name}.trace")

    def read_traces(self) -> list[TracedEvent]:
        """
        Return the traced events of all processes in order of time.
        """
        events: list[TracedEvent] = []
        for path in sorted(self.fleet.folder.glob("*.trace")):
            lines = path.read_text().split("\n")
            events += read_trace(path.name, lines) if any(lines) else []
        return sorted(events, key=lambda traced: traced.at)

    def start_engine(self, name: str, version: int = 1) -> None:
        """
        Start or restart an engine.
        """
        engine = self.engines[name]
        options = {
            "name": name,
            "models": [MODEL],
            "slots": self.shape.slots,
            "token_s": self.shape.token_s,
            "fenced": self.shape.fenced,
            "weight_store": f"http://{self.weights}",
            "version": version,
        }
        arguments = ["--listen", engine["address"], "--options", json.dumps(options)]
        self.fleet.start_stand_in(name, "engine", *arguments)
        wait_listening([engine["address"]])

    def set_log_link(self, *data_centres: str, mode: str = "cut") -> None:
        """
        Set the mode of the forwarders from data centres (default: all) to the log.
        """
        chosen = data_centres or tuple(self.shape.vms)
        listen = [self._log_forwarder_address(name) for name in chosen]
        request_json(f"http://{self._control}/fake", {"mode": mode, "listen": listen})

    def set_data_centre_links(self, mode: str = "cut") -> None:
        """
        Set the mode of the forwarders between VMs of different data centres.
        """
        listen = [self._peer_forwarder_address(vm) for vm in self.vms.values()]
        request_json(f"http://{self._control}/fake", {"mode": mode, "listen": listen})

    def fake(self, name: str, **body: object) -> dict:
        """
        Configure the faults of a stand-in and return its counters.
        """
        addresses = {"log": self.log, "weights": self.weights}
        addresses |= {n: e["address"] for n, e in self.engines.items()}
        addresses |= {n: i["address"] for n, i in self.instances.items()}
        return request_json(f"http://{addresses[name]}/fake", body)

    def publish_weights(self, version: int) -> None:
        url = f"http://{self.weights}/v1/weights/{MODEL}"
        request_json(url, {"version": version})

    def load(self, engine: str) -> dict:
        """
        Return an engine's load report.
        """
        address = self.engines[engine]["address"]
        return request_json(f"http://{address}/v1/load", timeout=1.0)

    def engine_versions(self) -> dict[str, int]:
        """
        Return the weight version of each engine that answers.
        """
        versions = {}
        for name in self.engines:
            with contextlib.suppress(OSError):
                versions[name] = self.load(name)["versions"][MODEL]
        return versions

    def runs(self) -> dict[str, int]:
        """
        Return the number of runs of each reference over all service instances.
        """
        total: dict[str, int] = {}
        for name in self.instances:
            for key, count in self.fake(name)["runs"].items():
                reference = key.partition(" ")[2]
                total[reference] = total.get(reference, 0) + count
        return total

    def status(self, vm: str) -> dict:
        return request_json(f"http://{self.vms[vm].http}/v1/status", timeout=3.0)

    def is_active_everywhere(self, offset: int) -> bool:
        """
        Return whether this or a later configuration is active on every running VM.
        """
        running = [n for n in self.vms if self.process(n).running]
        return all(self.status(name)["config_offset"] >= offset for name in running)

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        """
        Run ``saddledoorctl``.
        """
        binary = str(Path(sys.executable).parent / "saddledoorctl")
        return subprocess.run(
            [binary, *arguments], capture_output=True, text=True, timeout=40
        )

    def publish(self, deployment: dict, base: int | None = None) -> dict:
        """
        Publish a deployment with ``saddledoorctl`` and return its JSON output, with
        the exit status as ``status``.
        """
        path = self.fleet.folder / f"deployment-{time.monotonic_ns()}.yaml"
        path.write_text(yaml.safe_dump(deployment))
        arguments = ["config", "publish", str(path), "--json"]
        arguments += ["--log", f"http://{self.log}"]
        if base is not None:
            arguments += ["--base", str(base)]
        done = self.ctl(*arguments)
        return json.loads(done.stdout or "{}") | {"status": done.returncode}

    def ask(
        self,
        vm: str,
        path: str,
        body: object = None,
        *,
        token: str = PARTNERS[0],
        key: str = "",
        method: str = "POST",
        timeout: float = 20.0,
    ) -> Answer:
        """
        Send one request to one VM, without retries.
        """
        headers = {"Authorization": f"Bearer {token}"}
        headers["Content-Type"] = "application/json"
        if key:
            headers["Idempotency-Key"] = key
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        connection = HTTPConnection(self.vms[vm].ip, 7001, timeout=timeout)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            raw = response.read()
            after = response.getheader("Retry-After")
            return Answer(
                response.status,
                json.loads(raw or b"{}"),
                float(after) if after else None,
                vm,
            )
        except OSError:
            return Answer(0, vm=vm)
        finally:
            connection.close()

    def book(
        self, vm: str, reference: str, key: str = "", timeout: float = 20.0
    ) -> Answer:
        """
        Make an unrepeatable call.
        """
        path = f"/v1/services/{SERVICE}/book"
        return self.ask(vm, path, {"ref": reference}, key=key, timeout=timeout)

    def look_up(self, vm: str, reference: str = "x", timeout: float = 5.0) -> Answer:
        """
        Make a repeatable call.
        """
        path = f"/v1/services/{SERVICE}/slots"
        return self.ask(vm, path, {"ref": reference}, timeout=timeout)

    def complete(self, vm: str, prompt: str, max_tokens: int = 16) -> Answer:
        """
        Request a completion.
        """
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        return self.ask(vm, "/v1/completions", body)

    def _start_platform(self) -> None:
        self.fleet.start_stand_in("log", "log", "--listen", self.log)
        self.fleet.start_stand_in("weights", "weights", "--listen", self.weights)
        self.fleet.start_stand_in(
            "vm-list", "vms", "--listen", self.vm_list, "--lag", "0.5"
        )
        routes = {self._log_forwarder_address(dc): self.log for dc in self.shape.vms}
        routes |= {
            self._peer_forwarder_address(vm): vm.grpc for vm in self.vms.values()
        }
        arguments = ["--listen", self._control, "--routes", json.dumps(routes)]
        self.fleet.start_stand_in("forwarder", "forwarder", *arguments)
        for name, instance in self.instances.items():
            arguments = ["--listen", instance["address"], "--name", name]
            if self.shape.traced:
                arguments += ["--trace", self.trace_path(name)]
            self.fleet.start_stand_in(name, "service", *arguments)
        for name in self.engines:
            self.start_engine(name)
        wait_listening(
            [self.log, self.weights, self.vm_list, self._control]
            + [i["address"] for i in self.instances.values()]
        )
        self.publish_weights(1)
        listed = [
            vm.list_entry | {"grpc_outside": self._peer_forwarder_address(vm)}
            for vm in self.vms.values()
        ]
        request_json(f"http://{self.vm_list}/fake", {"vms": listed})

    def _log_forwarder_address(self, data_centre: str) -> str:
        number = list(self.shape.vms).index(data_centre) + 1
        return f"{self._network}.6.{number + 1}:9000"

    def _peer_forwarder_address(self, vm: Vm) -> str:
        return f"{vm.ip}:7003"
