# SPDX-License-Identifier: MIT

"""
Crowds of connections whose clients send much, stop, or read nothing.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import resource
import select
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from platform_bed import PlatformBed, until
from platform_documents import HOST, make_config


__all__ = [
    "LARGEST_BODY",
    "MEMORY",
    "RECORD_BYTES",
    "SOCKETS",
    "Crowd",
    "Refusal",
    "ask_until_served",
    "edge_limits",
    "limit_descriptors",
    "make_crowd_config",
    "make_head",
    "one_byte_chunks",
    "open_crowd",
    "run_sizes",
    "unread_megabytes",
    "wait_until_idle",
    "small_chunks",
]

#: Memory of the machine, in MB, and the descriptors of the process; a site gives its
#: files 200 of these.
MEMORY, _DESCRIPTORS, _FILES = 128, 400, 200
#: Sockets that the process may have open.
SOCKETS = _DESCRIPTORS - _FILES
#: Largest record of the log, in bytes.
RECORD_BYTES = 262_144
#: Largest body that the configuration allows, in bytes.
LARGEST_BODY = 8 << 20
#: Time after which a crowd whose bytes nobody takes stops sending, in seconds.
_QUIET = 1.0
#: Longest time that a crowd sends, in seconds.
_LONGEST = 60.0
#: Time in which an ordinary request must be served, its retries included, in seconds.
_SERVED_WITHIN = 12.0
#: Longest time for which a crowd is held while the process works, in seconds, and the
#: time without work after which it is idle.
_HELD, _IDLE = 12.0, 0.5
_request_numbers = itertools.count()


@dataclass(frozen=True)
class Refusal:
    """
    A response that a client of a crowd was sent.

    :param client: Number of the client.
    """

    client: int
    status: int
    has_retry_after: bool


class Crowd:
    """
    Connections of one client each; none reads before `read_refusals`.
    """

    def __init__(self, clients: list[socket.socket]) -> None:
        self._clients = clients

    def send(self, make_payload: Callable[[int], bytes]) -> None:
        """
        Send each client's payload, as far as the server takes it.
        """
        pending = {
            client: memoryview(make_payload(number))
            for number, client in enumerate(self._clients)
        }
        started_at = last_sent_at = time.monotonic()
        while pending and last_sent_at - started_at < _LONGEST:
            _, writable, _ = select.select([], list(pending), [], 0.05)
            for client in writable:
                sent = _send_some(client, pending[client])
                pending[client] = pending[client][sent:]
                if sent:
                    last_sent_at = time.monotonic()
                if sent is None or not pending[client]:
                    del pending[client]
            if time.monotonic() - last_sent_at > _QUIET:
                return

    def read_refusals(self) -> list[Refusal]:
        """
        Return the responses with an error status that have arrived.
        """
        refusals = []
        for number, client in enumerate(self._clients):
            with contextlib.suppress(OSError):
                head = client.recv(65_536).partition(b"\r\n\r\n")[0].lower()
                if head.startswith(b"http/1.1 ") and not head.startswith(b"http/1.1 2"):
                    status = int(head.split()[1])
                    refusals.append(
                        Refusal(number, status, b"\r\nretry-after:" in head)
                    )
        return refusals


def _send_some(client: socket.socket, data: memoryview) -> int | None:
    """
    Send what the kernel takes; return None if the connection is closed.
    """
    try:
        return client.send(data[: 1 << 20])
    except BlockingIOError:
        return 0
    except OSError:
        return None


@contextlib.contextmanager
def open_crowd(host: str, port: int, count: int) -> Iterator[Crowd]:
    """
    Connect clients; their connections stay open until the context ends.
    """
    with contextlib.ExitStack() as stack:
        clients = []
        for _ in range(count):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex((host, port))
            clients.append(client)
        yield Crowd(clients)


def make_head(
    path: str,
    request_id: str = "",
    length: int | None = None,
    method: str = "POST",
    host: str = HOST,
    **headers: str,
) -> bytes:
    """
    Return the head of a request.

    :param length: Value of Content-Length; None for a body in chunks.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if request_id:
        lines.append(f"Saddledoor-Attempt-Id: {request_id}")
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def small_chunks(size: int) -> bytes:
    """
    Return a body of chunks of 64 KiB without the last chunk.
    """
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    return chunk * (size // 65_536)


def one_byte_chunks(count: int) -> bytes:
    return b"1\r\nx\r\n" * count


def edge_limits(memory: int = MEMORY) -> dict[str, str]:
    """
    Return the changes of an edge's settings that set the machine's limits.

    :param memory: In MB.
    """
    lines = f"memory_mb = {memory}\nmax_fds = {_DESCRIPTORS}\n"
    return {
        "[limits]\n": "[limits]\n" + lines,
        "record_bytes = 2048": f"record_bytes = {RECORD_BYTES}",
        "call_bytes = 4100": f"call_bytes = {8 * RECORD_BYTES}",
    }


def make_crowd_config(largest_body: int = LARGEST_BODY) -> dict:
    """
    Return a configuration with long timeouts and short limits of connections.
    """
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": largest_body,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 3000,
    }
    config = make_config(limits=limits)
    for route in config["routes"]:
        route["timeout_ms"] = 20_000
    return config


def ask_until_served(
    bed: PlatformBed, body: bytes = b"x", edge: str = "edge-0"
) -> None:
    """
    Send an ordinary request, again after a refusal, until it is answered with 200.
    """

    def is_served() -> bool:
        request_id = f"ordinary-{next(_request_numbers)}"
        with contextlib.suppress(OSError):
            answer = bed.ask("POST", "/look/x", body, request_id, edge)
            return answer.status == 200
        return False

    until(is_served, _SERVED_WITHIN)


def run_sizes(bed: PlatformBed) -> dict[str, int]:
    """
    Return the size of the body of each request that a plain service ran, by its id.
    """
    sizes = {}
    for name in ("desk-0", "desk-1"):
        if bed.journal(name).exists():
            for line in bed.journal(name).read_text().splitlines():
                run = json.loads(line)
                if run["what"] == "run":
                    sizes[run["id"]] = run["size"]
    return sizes


def wait_until_idle(pid: int) -> None:
    """
    Wait until a process uses no CPU time, or for some seconds.
    """
    deadline = time.monotonic() + _HELD
    used, idle_since = _cpu_time(pid), time.monotonic()
    while time.monotonic() < min(deadline, idle_since + _IDLE):
        time.sleep(0.1)
        before, used = used, _cpu_time(pid)
        # A few ticks are those of the process's own timers.
        if used - before > 2:
            idle_since = time.monotonic()


def _cpu_time(pid: int) -> int:
    """
    Return a process's CPU time, in clock ticks; 0 if it has ended.
    """
    with contextlib.suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])
    return 0


def unread_megabytes(ports: Iterable[int]) -> float:
    """
    Return the size of what has arrived at local ports and was not read, in MB.
    """
    endings = {f":{port:04X}" for port in ports}
    size = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        is_listening = state == "0A"
        if local[-5:] in endings and not is_listening:
            size += int(queues.partition(":")[2], 16)
    return size / (1 << 20)


def limit_descriptors(pid: int, count: int) -> None:
    """
    Lower a process's limit of open descriptors.
    """
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))
