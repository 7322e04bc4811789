# SPDX-License-Identifier: MIT

"""
Client middleware that disables aiohttp's automatic retry of requests.
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
    Pass a request on, and replace the errors that make aiohttp resend it.

    aiohttp resends requests of idempotent methods after `ClientOSError` and
    `ServerDisconnectedError`.

    :raises HandedOverError: In place of these two errors.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise HandedOverError(repr(error)) from error
