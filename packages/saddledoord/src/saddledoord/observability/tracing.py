# SPDX-License-Identifier: MIT

"""
Writes a trace of this process's inputs and decisions if the settings enable it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from saddledoor.tracing import Event, TracedEvent, encode_traced

from .._clock import boot_time


__all__ = ["Emit", "open_trace"]

#: Writes a trace event.
Emit = Callable[[Event], None]


def open_trace(path: str | None, vm: str) -> Emit:
    """
    Return a function that writes an event to the trace file.

    :param path: Path of the trace file; None disables tracing.
    :param vm: Name of the VM.
    """
    if path is None:
        return lambda event: None
    # Line-buffered, so that the trace survives a crash of the process.
    file = Path(path).open("a", buffering=1)  # noqa: SIM115

    def emit(event: Event) -> None:
        file.write(encode_traced(TracedEvent(boot_time(), vm, event)) + "\n")

    return emit
