# SPDX-License-Identifier: MIT

"""
The daemon's clock: one that goes on while a VM is suspended, unlike the loop's own.
"""

from __future__ import annotations

import time


__all__ = ["boot_time"]


def boot_time() -> float:
    """
    Return monotonic seconds since the machine's start, suspension included.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
