# SPDX-License-Identifier: MIT

"""
Keeps the HTTP client from sending a request twice by itself.
"""

from __future__ import annotations

import aiohttp


__all__ = ["HandedOverError", "send_once"]


class HandedOverError(aiohttp.ClientError):
    """
    A connection was closed after the request was sent.
    """


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """
    A middleware: the library repeats idempotent methods after just these two errors.

    :raises HandedOverError: In their place.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise HandedOverError(repr(error)) from error
