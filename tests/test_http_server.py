# SPDX-License-Identifier: MIT

"""
The end of an HTTP server while clients connect and send requests.

Guards against an end that resets connections whose requests it has not read.
"""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from saddledoord.http import listener
from saddledoord.http.listener import Acceptor, listen
from saddledoord.http.server import HttpServer, server_config


_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
#: Iterations of the event loop from a client's connection until the end of the server;
#: it reads the request in one of the first five.
_ITERATIONS = range(8)
_TIMEOUT = 5.0


async def _answer(scope, receive, send) -> None:
    start = {"type": "http.response.start", "status": 200}
    await send({**start, "headers": [(b"content-length", b"2")]})
    await send({"type": "http.response.body", "body": b"ok"})


class _Client:
    """
    A client whose calls do not let the server's event loop run, except for `read`.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._socket = socket.create_connection(address, _TIMEOUT)

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    async def read(self) -> bytes:
        """
        Call `read_response` while the event loop runs.
        """
        return await asyncio.to_thread(self.read_response)

    def read_response(self) -> bytes:
        """
        Return one response; empty if the connection was closed instead.
        """
        data = b""
        while not data.endswith(b"ok"):
            try:
                received = self._socket.recv(4096)
            except ConnectionError as error:
                return repr(error).encode()
            if not received:
                return data
            data += received
        return data

    def close(self) -> None:
        self._socket.close()


class _RunningServer:
    def __init__(self, app=_answer) -> None:
        self._listener = listen("127.0.0.1:0")
        self.address = self._listener.getsockname()
        self.server = HttpServer(server_config(app, keep_alive=30))

    async def __aenter__(self) -> _RunningServer:
        serving = self.server.serve(sockets=[self._listener])
        self.task = asyncio.create_task(serving)
        await asyncio.sleep(0.05)
        return self

    async def end(self) -> None:
        """
        End the server, as a process does before it exits.
        """
        self.server.end(force=False)
        await asyncio.wait_for(self.task, _TIMEOUT)

    async def __aexit__(self, *_) -> None:
        self.server.end(force=True)
        await asyncio.wait_for(self.task, _TIMEOUT)


@pytest.mark.parametrize("iterations", _ITERATIONS)
def test_a_request_over_a_new_connection_is_answered(iterations):
    """
    However far the event loop has come with the connection when the server ends.
    """

    async def run() -> bytes:
        async with _RunningServer() as running:
            client = _Client(running.address)
            client.send(_REQUEST)
            for _ in range(iterations):
                await asyncio.sleep(0)
            await running.end()
            return client.read_response()

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("iterations", _ITERATIONS)
def test_a_request_over_a_kept_connection_is_answered(iterations):
    """
    However far the event loop has come with the request when the server ends.
    """

    async def run() -> bytes:
        async with _RunningServer() as running:
            client = _Client(running.address)
            client.send(_REQUEST)
            await client.read()
            client.send(_REQUEST)
            for _ in range(iterations):
                await asyncio.sleep(0)
            await running.end()
            return client.read_response()

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200 ")


def test_a_request_that_follows_its_connection_is_answered():
    """
    A client may have connected, and send its request after the listener was closed.
    """

    async def run() -> bytes:
        async with _RunningServer() as running:
            client = _Client(running.address)
            running.server.end(force=False)
            await asyncio.sleep(0.2)
            client.send(_REQUEST[:10])
            await asyncio.sleep(0.2)
            client.send(_REQUEST[10:])
            return await client.read()

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200 ")


def test_an_idle_connection_does_not_hold_up_the_end():
    """
    A connection that is kept, and one that never carries a request.
    """

    async def run() -> None:
        async with _RunningServer() as running:
            kept, unused = _Client(running.address), _Client(running.address)
            kept.send(_REQUEST)
            await kept.read()
            await asyncio.wait_for(running.end(), 1.5)
            unused.close()

    asyncio.run(run())


def test_connecting_is_refused_while_requests_are_in_flight():
    """
    Clients try another node at once; they don't wait at a listener that nobody serves.
    """

    async def run() -> bytes:
        release = asyncio.Event()

        async def slow(scope, receive, send) -> None:
            await release.wait()
            await _answer(scope, receive, send)

        async with _RunningServer(slow) as running:
            client = _Client(running.address)
            client.send(_REQUEST)
            running.server.end(force=False)
            await asyncio.sleep(0.1)
            with pytest.raises(ConnectionRefusedError):
                _Client(running.address)
            release.set()
            return await client.read()

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200 ")


def test_a_forced_end_does_not_wait_for_requests_in_flight():
    """
    A request that never ends is cut off soon.
    """

    async def run() -> None:
        async def hang(scope, receive, send) -> None:
            await asyncio.Event().wait()

        async with _RunningServer(hang) as running:
            client = _Client(running.address)
            client.send(_REQUEST)
            running.server.end(force=False)
            await asyncio.sleep(0.1)
            running.server.end(force=True)
            await asyncio.wait_for(running.task, 1.0)
            client.close()

    asyncio.run(run())


class _OutOfDescriptors(socket.socket):
    """
    A listening socket whose first accept fails.
    """

    has_failed = False

    def accept(self):
        if not self.has_failed:
            self.has_failed = True
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


def test_a_failed_accept_is_retried_after_a_pause(monkeypatch):
    """
    The client waits in the backlog meanwhile.
    """
    monkeypatch.setattr(listener, "_RETRY_PAUSE", 0.1)
    sock = _OutOfDescriptors()
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    sock.setblocking(False)

    async def run() -> None:
        connected = asyncio.Event()

        class _Protocol(asyncio.Protocol):
            def connection_made(self, transport) -> None:
                connected.set()
                transport.close()

        acceptor = Acceptor(sock, _Protocol)
        acceptor.start()
        client = _Client(sock.getsockname())
        await asyncio.wait_for(connected.wait(), _TIMEOUT)
        acceptor.close()
        client.close()

    asyncio.run(run())
    assert sock.has_failed


def test_a_process_without_descriptors_closes_idle_connections():
    """
    The client is accepted soon after, not after the pause of a failed accept.
    """
    sock = _OutOfDescriptors()
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    sock.setblocking(False)
    calls = []

    async def run() -> None:
        def close_idle() -> bool:
            calls.append("closed")
            return True

        acceptor = Acceptor(sock, asyncio.Protocol, on_exhausted=close_idle)
        acceptor.start()
        client = _Client(sock.getsockname())
        while not sock.has_failed:
            await asyncio.sleep(0.01)
        acceptor.close()
        client.close()

    asyncio.run(run())
    assert calls == ["closed"]
