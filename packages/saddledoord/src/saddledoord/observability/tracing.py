# SPDX-License-Identifier: MIT

"""
Records a trace of what this process takes in and decides, if the settings ask for it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from saddledoor.tracing import Event, TracedEvent, encode_traced

from .._clock import boot_time


__all__ = ["Emit", "open_trace"]

Emit = Callable[[Event], None]


def open_trace(path: str | None, node: str) -> Emit:
    """
    Return a function that records an event; without a path it does nothing.

    :param node: The VM's name.
    """
    if path is None:
        return lambda event: None
    # Line by line, so that a killed process leaves what it decided.
    file = Path(path).open("a", buffering=1)  # noqa: SIM115

    def emit(event: Event) -> None:
        file.write(encode_traced(TracedEvent(boot_time(), node, event)) + "\n")

    return emit
