# SPDX-License-Identifier: MIT

"""
What a process costs, read from the kernel.
"""

from __future__ import annotations

from pathlib import Path


__all__ = ["cpu_seconds", "resident_mb"]


def cpu_seconds(pid: int) -> float:
    """
    Return the processor time that a process's threads have used, in seconds.

    From the scheduler's own account: the usual one counts ticks of 10 ms, too coarse
    for a process that is idle but for short wake-ups.
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
