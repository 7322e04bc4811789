# SPDX-License-Identifier: MIT

"""
A process pause between the decision to send a request and its first byte.

Guards against requests that are sent after a pause although what they were decided on
may no longer hold.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from types import FrameType

import pytest
from function_engines import make_pass_through
from send_permits import make_permit

from builders import make_engine_entry, make_request, make_route
from engines import EngineClient
from saddledoor import EngineEntry, RouteKind
from saddledoord._clock import boot_time
from saddledoord.ports import (
    Generation,
    GenerationFailedError,
    KeyedEntry,
    VersionOrder,
)


#: Duration of the pause, in seconds.
_PAUSE = 3.8
_REFUSAL = (
    b"HTTP/1.1 503 Refused\r\nSaddledoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class _PausedProcess:
    """
    Simulates a pause of this process just before a function call, by its clock.

    :param before_call: Number of that call, counted from `watch`.
    :ivar paused_in: File, line and function of the pause; empty before it.
    :ivar late_sends: `paused_in` for each system call that sends after the pause.
    """

    def __init__(self, before_call: int) -> None:
        self._remaining = before_call
        self._clock = time.clock_gettime
        self.paused_in = ""
        self.late_sends: list[str] = []

    @contextlib.contextmanager
    def watch(self) -> Iterator[None]:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(time, "clock_gettime", self._read_clock)
            sys.setprofile(self._on_event)
            try:
                yield
            finally:
                sys.setprofile(None)

    def _read_clock(self, clock: int) -> float:
        return self._clock(clock) + (_PAUSE if self.paused_in else 0.0)

    def _on_event(self, frame: FrameType, event: str, arg: object) -> None:
        if event not in ("call", "c_call"):
            return
        is_send = event == "c_call" and arg.__name__ in ("send", "sendmsg")
        if is_send and isinstance(arg.__self__, socket.socket) and self.paused_in:
            self.late_sends.append(self.paused_in)
        self._remaining -= 1
        if self._remaining == 0:
            code = frame.f_code
            self.paused_in = f"{code.co_filename}:{frame.f_lineno} {code.co_name}"


@contextlib.contextmanager
def _refusing_engine() -> Iterator[EngineEntry]:
    """
    Run an engine in other threads that refuses every request.
    """

    def serve(connection: socket.socket) -> None:
        with connection, contextlib.suppress(ConnectionError):
            while connection.recv(65_536):
                connection.sendall(_REFUSAL)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=serve, args=(connection,), daemon=True).start()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=accept, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        yield make_engine_entry("desk-0", address=address)
        listener.shutdown(socket.SHUT_RDWR)


#: Sends one request if the process has not been paused; it may look only once.
_Send = Callable[[EngineClient, EngineEntry, Callable[[], bool]], Awaitable[None]]


def _request_of(kind: RouteKind) -> _Send:
    route = make_route("/look/", kind=kind, timeout=1.0, max_attempts=1)
    request = replace(make_request("/look/x"), repeatable=kind is RouteKind.SAFE)

    async def send(client, engine, may_begin):
        pass_through, _, view = make_pass_through(client, route, 0)
        view.apply_engine(KeyedEntry("desk-0", 0, engine))
        # Longer than the pause, so that only the decision's time prevents the send.
        deadline = boot_time() + 10.0
        await pass_through.run(route, request, deadline, may_begin=may_begin)

    return send


def _ignore() -> None:
    pass


async def _generate(client, engine, may_begin):
    decided_at = boot_time()
    if may_begin():
        permit = make_permit(engine, decided_at)
        generation = Generation(make_request("/train/x"), 0, 5)
        with contextlib.suppress(GenerationFailedError):
            await anext(client.generate(permit, generation, _ignore))


async def _order(client, engine, may_begin):
    decided_at = boot_time()
    if may_begin():
        order = VersionOrder("model-a", 5, "edge-0", 1, 0, True)
        await client.order(engine, order, decided_at)


_SENDS = {
    "repeatable": _request_of(RouteKind.SAFE),
    "unrepeatable": _request_of(RouteKind.UNSAFE),
    "item": _generate,
    "order": _order,
}


async def _send_with_pauses(engine: EngineEntry, send: _Send) -> tuple[int, list[str]]:
    """
    Send requests, each with a pause one call later than the one before.

    :returns: Number of pauses, and those that a send followed.
    """
    client = EngineClient.open()
    late_sends: list[str] = []
    pauses = 0
    while True:
        # Leaves a connection in the pool, if the request may use one.
        await send(client, engine, lambda: True)
        process = _PausedProcess(pauses + 1)
        with process.watch():
            await send(client, engine, lambda process=process: not process.paused_in)
        if not process.paused_in:
            break
        late_sends += process.late_sends
        pauses += 1
    await client.close()
    return pauses, late_sends


@pytest.mark.parametrize("kind", _SENDS)
def test_nothing_is_sent_after_a_pause_wherever_it_comes(kind):
    """
    From the check that allows it to the system call.
    """
    with _refusing_engine() as engine:
        pauses, late_sends = asyncio.run(_send_with_pauses(engine, _SENDS[kind]))
    assert pauses > 300
    assert late_sends == []
