# SPDX-License-Identifier: MIT

"""
Starts and stops the processes of a deployment on loopback addresses.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from urllib.request import Request, urlopen

import yaml


__all__ = [
    "Fleet",
    "Process",
    "Vm",
    "daemon_settings",
    "request_json",
    "wait_listening",
]

#: Time limit for a process to exit after SIGTERM, in seconds.
_EXIT_TIMEOUT = 15.0


@dataclass(frozen=True)
class Vm:
    """
    An entry VM with its name, data centre and loopback address.
    """

    name: str
    data_centre: str
    ip: str

    @property
    def http(self) -> str:
        return f"{self.ip}:7001"

    @property
    def grpc(self) -> str:
        return f"{self.ip}:7002"

    @property
    def list_entry(self) -> dict[str, str]:
        """
        The VM's entry in the platform's list.
        """
        return {
            "vm": self.name,
            "data_centre": self.data_centre,
            "http": self.http,
            "grpc": self.grpc,
            "state": "live",
        }


@dataclass
class Process:
    """
    A process of a fleet.
    """

    name: str
    popen: subprocess.Popen
    log_path: Path

    @property
    def running(self) -> bool:
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        if self.running:
            self.popen.send_signal(number)

    def wait(self, timeout: float = _EXIT_TIMEOUT) -> int:
        return self.popen.wait(timeout)

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")


class Fleet:
    """
    A set of processes that are killed together when the context ends.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="saddledoor-")
        self.folder = Path(self._folder.name)
        self.processes: dict[str, Process] = {}

    @classmethod
    @contextlib.contextmanager
    def open(cls) -> Iterator[Fleet]:
        """
        Yield a fleet and kill its processes afterwards, also on Ctrl-C.
        """
        fleet = cls()

        def interrupt(number: int, frame: object) -> None:
            raise KeyboardInterrupt

        previous_handler = signal.signal(signal.SIGTERM, interrupt)
        try:
            yield fleet
        finally:
            # A second Ctrl-C must not leave processes behind.
            interrupt_handler = signal.signal(signal.SIGINT, signal.SIG_IGN)
            fleet.kill_all()
            signal.signal(signal.SIGINT, interrupt_handler)
            signal.signal(signal.SIGTERM, previous_handler)

    def start(self, name: str, command: Sequence[str], **options: object) -> Process:
        """
        Start a process with its output redirected to a file.
        """
        path = self.folder / f"{name}.log"
        with path.open("ab") as output:
            popen = subprocess.Popen(
                list(command),
                stdout=options.pop("stdout", output),
                stderr=output,
                stdin=subprocess.DEVNULL,
                # Only this process receives Ctrl-C; it then kills the others.
                start_new_session=True,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(name, popen, path)
        self.processes[name] = process
        return process

    def start_stand_in(self, name: str, kind: str, *arguments: str) -> Process:
        """
        Start a stand-in.
        """
        module = [sys.executable, "-m", "saddledoor_standins"]
        return self.start(name, [*module, kind, *arguments])

    def start_daemon(self, name: str, settings: dict) -> Process:
        """
        Start a daemon with these settings.
        """
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        binary = str(Path(sys.executable).parent / "saddledoord")
        return self.start(name, [binary, "--settings", str(path)])

    def kill_all(self) -> None:
        """
        Kill all running processes and delete the folder.
        """
        for process in self.processes.values():
            # In case the process is paused by SIGSTOP.
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
        self._folder.cleanup()


def daemon_settings(
    vm: Vm,
    deployment: str,
    *,
    log_service: str,
    vm_list: str,
    weight_store: str,
    **timings: float,
) -> dict:
    """
    Return the settings of a VM's daemon.

    :param timings: Durations that differ from the defaults, in seconds.
    """
    return {
        "vm": vm.name,
        "data_centre": vm.data_centre,
        "deployment": deployment,
        "http": vm.http,
        "grpc": vm.grpc,
        "log_service": f"http://{log_service}",
        "vm_list": f"http://{vm_list}",
        "weight_store": f"http://{weight_store}",
        "peer_secret": "a secret for stand-ins only",
        "timings": timings,
    }


def wait_listening(addresses: Sequence[str], timeout: float = 30.0) -> None:
    """
    Wait until every address accepts connections.

    :param timeout: Time limit, in seconds.
    :raises TimeoutError: If an address does not; the message names it.
    """
    deadline = time.monotonic() + timeout
    for address in addresses:
        host, _, port = address.rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 0.5).close()
                break
            if time.monotonic() > deadline:
                raise TimeoutError(f"nothing listens on {address}")
            time.sleep(0.03)


def request_json(url: str, body: object = None, timeout: float = 5.0) -> dict:
    """
    Send a request to a stand-in or a daemon and return its JSON answer.

    :param body: Body of a POST request; None for a GET request.
    :param timeout: Time limit, in seconds.
    :raises OSError: If the request fails.
    """
    data = None if body is None else json.dumps(body).encode()
    request = Request(url, data=data, headers={"Content-Type": "application/json"})
    with urlopen(request, timeout=timeout) as response:
        return json.load(response)
