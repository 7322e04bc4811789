# SPDX-License-Identifier: MIT

"""
Limits of clients' connections.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass


__all__ = ["ConnectionLimits", "ConnectionTimeouts"]

#: Descriptors of the process that sockets do not get.
_FILES = 200
#: Share of the sockets that callers may take; the rest is for engines, the store,
#: duties and the other ports.
_CALLERS_SHARE = 0.5
#: Share of the memory beyond the process's own that connections may take, and what one
#: takes at most, in bytes.
_MEMORY_SHARE, _CONNECTION_SIZE = 0.25, 40_960
#: Least limit of callers' connections.
_MIN_CALLERS = 16
#: Connections of a port that probes use.
_PROBES = 16


@dataclass(frozen=True)
class ConnectionTimeouts:
    """
    Longest times of a connection, in seconds.

    :param head: From the first byte of a request's head to its last one.
    :param idle: Without a request, and without progress of a body or an answer.
    """

    head: float
    idle: float


@dataclass(frozen=True)
class ConnectionLimits:
    """
    Largest numbers of open connections.

    :param callers: At the first port of a server.
    :param probes: At each other port.
    """

    callers: int
    probes: int = _PROBES

    @classmethod
    def from_machine(
        cls, descriptors: int | None = None, spare_memory: float = float("inf")
    ) -> ConnectionLimits:
        """
        Derive the limits from the descriptors and the memory of a machine.

        :param descriptors: Descriptors of the process; None for those that the system
            allows it.
        :param spare_memory: Memory beyond what the process needs itself, in bytes.
        """
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(0, min(descriptors or allowed, allowed) - _FILES)
        count = int(sockets * _CALLERS_SHARE)
        by_memory = spare_memory * _MEMORY_SHARE / _CONNECTION_SIZE
        return cls(max(_MIN_CALLERS, int(min(count, by_memory))))
