# SPDX-License-Identifier: MIT

"""
Sockets that take back what was not delivered when they are closed.
"""

from __future__ import annotations

import socket
import struct


__all__ = ["resetting_socket"]

#: Linger on, for no time: closing resets the connection (POSIX, SO_LINGER).
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def resetting_socket(addr_info: tuple) -> socket.socket:
    """
    Return a socket whose close discards the bytes that wait to be sent.

    After an ordinary close the system goes on sending them, so a request that was given
    up behind a cut link still arrives once the link heals, seconds later.

    :param addr_info: As `socket.getaddrinfo` gives it.
    """
    family, kind, protocol, *_ = addr_info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return made
