# SPDX-License-Identifier: MIT

"""
What a closed connection leaves behind.
"""

from __future__ import annotations

import socket

import pytest

from saddledoord.backends.sockets import resetting_socket


def test_closing_discards_what_was_not_delivered():
    """
    The peer sees a reset, not the end of a request that may still be coming.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        made = resetting_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", address))
        made.connect(address)
        peer, _ = server.accept()
        with peer:
            made.close()
            with pytest.raises(ConnectionResetError):
                peer.recv(1)


def test_closing_a_full_connection_does_not_go_on_sending():
    """
    The peer gets less than was written: the rest is gone with the socket.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        made = resetting_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", address))
        made.connect(address)
        made.setblocking(False)
        peer, _ = server.accept()
        written = 0
        with pytest.raises(BlockingIOError):
            while True:
                written += made.send(b"x" * 65536)
        made.close()
        with peer, pytest.raises(ConnectionResetError):
            while written > 0:
                written -= len(peer.recv(1 << 20)) or written
