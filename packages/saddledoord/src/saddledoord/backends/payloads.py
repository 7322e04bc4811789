# SPDX-License-Identifier: MIT

"""
Request bodies that are written in pieces.
"""

from __future__ import annotations

import aiohttp
from aiohttp.abc import AbstractStreamWriter


__all__ = ["PiecewisePayload"]

#: Largest piece, in bytes.
_PIECE = 65_536


class PiecewisePayload(aiohttp.BytesPayload):
    """
    A body that is written as the connection takes it.

    The transport copies what it cannot send at once, so a body that is written whole
    takes its size a second time.
    """

    async def write(self, writer: AbstractStreamWriter) -> None:
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        end = len(self._value)
        if content_length is not None:
            end = min(end, content_length)
        # The writer waits until the connection has taken most of the piece.
        for begin in range(0, end, _PIECE):
            await writer.write(self._value[begin : min(begin + _PIECE, end)])
