# SPDX-License-Identifier: MIT

"""
The last second of a planned stop of an edge.

Guards against an exit that resets connections which arrived during a process pause, and
against one that leaves requests without a response when the grace time is over.
"""

from __future__ import annotations

import signal
import socket
import time

import pytest

from platform_bed import PlatformBed, until
from platform_documents import HOST, make_config


#: Minimum time for which a stopping edge accepts requests, in seconds; the pause begins
#: shortly before its end.
_TAKES_CALLERS = 3.5
_REQUEST = (
    f"POST /look/x HTTP/1.1\r\nHost: {HOST}\r\n"
    "Saddledoor-Attempt-Id: late\r\nContent-Length: 1\r\n\r\nx"
).encode()


def _connect(bed) -> socket.socket:
    return socket.create_connection(("127.0.0.1", bed.front_ports["edge-0"]), 5.0)


def _answer(connection: socket.socket) -> bytes:
    try:
        return connection.recv(4096)
    except ConnectionError as error:
        return repr(error).encode()


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
@pytest.mark.parametrize("frozen", [0.4, 0.7])
def test_what_came_while_a_stopping_edge_stood_still_is_answered(
    platform_bed, frozen, kept
):
    """
    Over an open connection and over one that is not yet accepted.
    """
    connection = _connect(platform_bed) if kept else None
    time.sleep(0.1)
    platform_bed.signal("edge-0", signal.SIGTERM)
    time.sleep(_TAKES_CALLERS - 0.2)
    platform_bed.signal("edge-0", signal.SIGSTOP)
    connection = connection or _connect(platform_bed)
    connection.sendall(_REQUEST)
    time.sleep(frozen)
    platform_bed.signal("edge-0", signal.SIGCONT)
    answer = _answer(connection)
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    assert platform_bed.wait_end("edge-0") == 0


@pytest.fixture
def slow_bed(tmp_path):
    """
    One edge whose look-ups take longer than the grace time of a stop.
    """
    config = make_config()
    for route in config["routes"]:
        route["timeout_ms"] = 30_000
    with PlatformBed.open(tmp_path, config=config) as bed:
        for name in ("desk-0", "desk-1"):
            bed.fake_engine(name, delay=30.0)
        yield bed


def test_a_request_in_flight_at_the_end_of_the_grace_time_is_answered(slow_bed):
    """
    It may have run, so its outcome is unknown.
    """
    connection = _connect(slow_bed)
    connection.settimeout(10.0)
    connection.sendall(_REQUEST)
    until(lambda: slow_bed.runs())
    slow_bed.signal("edge-0", signal.SIGTERM)
    answer = _answer(connection)
    assert answer.startswith(b"HTTP/1.1 502 "), answer
    assert b"connection: close" in answer
    assert slow_bed.wait_end("edge-0") == 0


def test_the_time_from_stopped_to_the_exit_is_logged(platform_bed):
    """
    A slow exit could otherwise not be told from a slow stop.
    """
    platform_bed.signal("edge-0", signal.SIGTERM)
    until(lambda: platform_bed.log("edge-0")[-1]["event"] in ("stopped", "exiting"))
    # Neither does a late signal end the process otherwise than by its exit.
    platform_bed.signal("edge-0", signal.SIGHUP)
    assert platform_bed.wait_end("edge-0") == 0
    *_, stopped, exiting = platform_bed.log("edge-0")
    assert (stopped["event"], exiting["event"]) == ("stopped", "exiting")
    assert 0.0 <= exiting["since_stopped"] < 5.0
