# SPDX-License-Identifier: MIT

"""
Closing a socket of `create_resetting_socket` discards undelivered data.
"""

from __future__ import annotations

import socket

import pytest

from saddledoord.backends.sockets import create_resetting_socket


def test_closing_discards_what_was_not_delivered():
    """
    The peer gets a connection reset, not an end of stream.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        sock = create_resetting_socket(
            (socket.AF_INET, socket.SOCK_STREAM, 0, "", address)
        )
        sock.connect(address)
        peer, _ = server.accept()
        with peer:
            sock.close()
            with pytest.raises(ConnectionResetError):
                peer.recv(1)


def test_closing_a_full_connection_does_not_go_on_sending():
    """
    The peer receives less than was written: the rest is discarded on close.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        sock = create_resetting_socket(
            (socket.AF_INET, socket.SOCK_STREAM, 0, "", address)
        )
        sock.connect(address)
        sock.setblocking(False)
        peer, _ = server.accept()
        written = 0
        with pytest.raises(BlockingIOError):
            while True:
                written += sock.send(b"x" * 65536)
        sock.close()
        with peer, pytest.raises(ConnectionResetError):
            while written > 0:
                written -= len(peer.recv(1 << 20)) or written
