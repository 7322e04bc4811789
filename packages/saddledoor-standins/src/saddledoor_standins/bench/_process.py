# SPDX-License-Identifier: MIT

"""
Processor time and memory of a process, read from the kernel.
"""

from __future__ import annotations

from pathlib import Path


__all__ = ["cpu_seconds", "resident_mb"]


def cpu_seconds(pid: int) -> float:
    """
    Return the processor time of a process's threads, in seconds.

    Reads the scheduler's statistics, as the usual counter's resolution of 10 ms is too
    coarse for an almost idle process.
    """
    total = 0
    for thread in Path(f"/proc/{pid}/task").iterdir():
        total += int((thread / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_mb(pid: int) -> float:
    """
    Return a process's resident memory, in megabytes.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
