# SPDX-License-Identifier: MIT

"""
Connections that carry a request soon after it was decided on, or not at all.
"""

from __future__ import annotations

from contextvars import ContextVar

import aiohttp

from .._clock import boot_time


__all__ = ["TimelyConnector", "note_decision"]

#: Longest time from the decision to send something until there is a connection for it,
#: in seconds: a connection may take 0.5 s.
_SEND_WITHIN = 0.8

_decided_at: ContextVar[float] = ContextVar("decided_at", default=float("inf"))


def note_decision(moment: float) -> None:
    """
    Note when it was decided to send what the current task sends next.

    :param moment: Monotonic, in seconds, time of suspension included.
    """
    _decided_at.set(moment)


class TimelyConnector(aiohttp.TCPConnector):
    """
    Gives no connection to a request that was decided on long ago.

    A process may stand still between the decision and the connection, and the request
    would then be sent by what was known before: of 40 scoring calls that were under way
    when their job ended, one reached its engine 3.6 s later. The client's own limit
    does not help, since the connection may be there when its timer is looked at.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list,
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """
        As the library's.

        :raises TimeoutError: Also if the decision is too old; nothing was sent.
        """
        connection = await super().connect(req, traces, timeout)
        if boot_time() - _decided_at.get() > _SEND_WITHIN:
            connection.close()
            raise TimeoutError("decided on too long ago")
        return connection
