# SPDX-License-Identifier: MIT

"""
Reads bodies of answers into memory, with a limit for each and one for all together.
"""

from __future__ import annotations

import io
from dataclasses import dataclass, field

import aiohttp

from ..request_memory import release_room, take_room


__all__ = ["AnswerBodies"]

#: Maximum size of all bodies that are being read, in bytes.
_MAX_TOTAL = 24 << 20


@dataclass(eq=False)
class _Reading:
    """
    A body that is being read.

    :param is_declared: Whether its length is known to be within the limit.
    :param taken: Room that the request holds for it, in bytes.
    """

    response: aiohttp.ClientResponse
    is_declared: bool
    body: io.BytesIO = field(default_factory=io.BytesIO)
    is_dropped: bool = False
    taken: int = 0

    @property
    def size(self) -> int:
        return self.body.tell()


class AnswerBodies:
    """
    The bodies that are being read.

    A server may send a body without end. If all bodies together are too large, the
    largest one of unknown length is dropped; if there is none, the largest one.

    :param max_total: Maximum size of all bodies together, in bytes. A single body may
        exceed it up to its own limit.
    """

    def __init__(self, max_total: int = _MAX_TOTAL) -> None:
        self._max_total = max_total
        self._readings: set[_Reading] = set()

    async def read(self, response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
        """
        Return the complete body of a response.

        :param max_bytes: Maximum size, in bytes.
        :raises aiohttp.ClientPayloadError: If the body is too large or was dropped; the
            connection is closed then.
        """
        length = response.content_length
        if length is not None and length > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"a body of {length} bytes")
        reading = _Reading(response, length is not None)
        self._readings.add(reading)
        try:
            async for chunk in response.content.iter_any():
                self._add(reading, chunk)
                if reading.is_dropped or reading.size > max_bytes:
                    response.close()
                    size = reading.size
                    raise aiohttp.ClientPayloadError(f"a body of over {size} bytes")
        except BaseException:
            release_room(reading.taken)
            raise
        finally:
            self._readings.discard(reading)
        # Returns the content without a copy.
        return reading.body.getvalue()

    def _add(self, reading: _Reading, chunk: bytes) -> None:
        if take_room(len(chunk)):
            reading.taken += len(chunk)
            reading.body.write(chunk)
            self._drop_largest()
        else:
            reading.is_dropped = True

    def _drop_largest(self) -> None:
        readings = [reading for reading in self._readings if not reading.is_dropped]
        total = sum(reading.size for reading in readings)
        if len(readings) < 2 or total <= self._max_total:
            return
        largest = max(readings, key=lambda r: (not r.is_declared, r.size))
        largest.is_dropped = True
        largest.body = io.BytesIO()
        largest.response.close()
