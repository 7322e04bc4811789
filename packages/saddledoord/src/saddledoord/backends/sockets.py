# SPDX-License-Identifier: MIT

"""
Sockets that discard undelivered data when they are closed.
"""

from __future__ import annotations

import socket
import struct


__all__ = ["create_resetting_socket"]

#: SO_LINGER value with a timeout of zero: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def create_resetting_socket(
    addr_info: tuple, socket_class: type[socket.socket] = socket.socket
) -> socket.socket:
    """
    Create a socket that discards unsent bytes when it is closed.

    After an ordinary close the kernel keeps retransmitting them, so an abandoned
    request could still arrive after a network partition heals.

    :param addr_info: An entry of the result of `socket.getaddrinfo`.
    """
    family, kind, protocol, *_ = addr_info
    sock = socket_class(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return sock
