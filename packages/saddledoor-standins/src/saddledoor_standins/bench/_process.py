# SPDX-License-Identifier: MIT

"""
What a process costs, read from the kernel.
"""

from __future__ import annotations

import os
from pathlib import Path


__all__ = ["cpu_seconds", "resident_mb"]


def cpu_seconds(pid: int) -> float:
    """
    Return the processor time that a process has used, in seconds.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """
    Return a process's resident memory, in megabytes.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
