# SPDX-License-Identifier: MIT

"""
Clients of the scripts: look-ups, which may be repeated, or bookings, which may not, to
all edges in turn.
"""

from __future__ import annotations

import asyncio
import time

from deployment import Deployment


#: Pause between two requests, in seconds.
_PAUSE = 0.0125


async def look_up(
    deployment: Deployment, stop: asyncio.Event, bookings: bool = False
) -> None:
    """
    Send requests until the event is set, and wait for their answers.

    :param bookings: Whether they are bookings.
    """
    names, tasks, number = list(deployment.edges), set(), 0
    while not stop.is_set():
        number += 1
        edge = names[number % len(names)]
        kind = "book" if bookings else "look"
        tasks.add(asyncio.create_task(_send(deployment, edge, kind, number)))
        await asyncio.sleep(_PAUSE)
    await asyncio.gather(*tasks)


async def _send(deployment: Deployment, edge: str, kind: str, number: int) -> None:
    name = f"{kind}{number:06x}"
    sent_at = time.monotonic()
    answer = await deployment.ask(
        edge,
        "POST",
        f"/{kind}/{number}",
        b"a request",
        Saddledoor_Attempt_Id=name,
        Saddledoor_Deadline_Ms="1500",
    )
    seconds = round(time.monotonic() - sent_at, 3)
    deployment.record(
        "answered", id=name, edge=edge, status=answer.status, seconds=seconds
    )
