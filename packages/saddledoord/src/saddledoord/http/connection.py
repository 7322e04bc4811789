# SPDX-License-Identifier: MIT

"""
A client's connection.
"""

from __future__ import annotations

from uvicorn.protocols.http.h11_impl import H11Protocol

from .._clock import boot_time


__all__ = ["Connection"]

#: Longest time from accepting a connection until its first request arrives for which a
#: stopping server waits, in seconds.
_FIRST_REQUEST_TIMEOUT = 1.0


class Connection(H11Protocol):
    """
    A connection that tells whether its client may be waiting for a response.
    """

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.app_state = {**self.app_state, "abort": self.abort}
        self._accepted_at = boot_time()

    @property
    def is_awaited(self) -> bool:
        """
        Whether a request is in flight, has partly arrived, or may follow as the first.
        """
        if self.transport.is_closing():
            return False
        if self.cycle is None:
            age = boot_time() - self._accepted_at
            return age < _FIRST_REQUEST_TIMEOUT or self._has_partial_head
        return not self.cycle.response_complete or self._has_partial_head

    def abort(self) -> None:
        """
        Close the connection at once, with what is not sent.
        """
        self.transport.abort()

    @property
    def _has_partial_head(self) -> bool:
        unprocessed, _ = self.conn.trailing_data
        return bool(unprocessed)
