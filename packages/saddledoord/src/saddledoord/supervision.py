# SPDX-License-Identifier: MIT

"""
Keeps background loops running after an error.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from ._clock import boot_time


__all__ = ["Loop", "keep_running"]

_log = structlog.get_logger()

#: Pause before a failed loop runs again, in seconds; doubled up to the longest one if
#: it fails again soon.
_FIRST_PAUSE, _LAST_PAUSE = 0.05, 2.0
#: Time without a failure after which the pause is the first one again, in seconds.
_RECOVERY_TIME = 10.0

#: A loop that runs until it is cancelled, and can be run again if it failed.
Loop = Callable[[], Awaitable[None]]


async def keep_running(loop: Loop) -> None:
    """
    Run a loop until cancelled; if it fails, log the error and run it again.

    A loop acts on what other processes have sent. If its error ended this process, the
    same bytes would end the next process that reads them, and with each of them the
    requests of its callers. A loop keeps its state in an object, which it finds again.
    """
    pause = _FIRST_PAUSE
    while True:
        started_at = boot_time()
        try:
            await loop()
            return
        except Exception as error:
            if boot_time() - started_at > _RECOVERY_TIME:
                pause = _FIRST_PAUSE
            _log.error("loop_failed", loop=_name_of(loop), pause=pause, exc_info=error)
        await asyncio.sleep(pause)
        pause = min(_LAST_PAUSE, 2 * pause)


def _name_of(loop: Loop) -> str:
    return getattr(loop, "__qualname__", repr(loop))
