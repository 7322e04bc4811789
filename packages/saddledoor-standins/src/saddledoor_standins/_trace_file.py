# SPDX-License-Identifier: MIT

"""
Traces of stand-ins in the format of the daemons' traces.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from saddledoor.tracing import Event, TracedEvent, encode_traced


__all__ = ["trace_to"]


def trace_to(path: str, node: str) -> Callable[[Event], None]:
    """
    Return a function that appends events to a file, or ignores them without a path.
    """
    if not path:
        return lambda event: None
    file = Path(path).open("a", buffering=1)  # noqa: SIM115

    def emit(event: Event) -> None:
        # The daemons' clock, so that events of all files can be sorted.
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        file.write(encode_traced(TracedEvent(now, node, event)) + "\n")

    return emit
