# SPDX-License-Identifier: MIT

"""
What stand-ins saw, in the form of the daemons' traces.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from saddledoor.tracing import Event, TracedEvent, encode_traced


__all__ = ["trace_to"]


def trace_to(path: str, node: str) -> Callable[[Event], None]:
    """
    Return a function that appends an event to a file; without a path it does nothing.
    """
    if not path:
        return lambda event: None
    file = Path(path).open("a", buffering=1)  # noqa: SIM115

    def emit(event: Event) -> None:
        # The clock that the daemons use, so that the files can be put in order.
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        file.write(encode_traced(TracedEvent(now, node, event)) + "\n")

    return emit
