# SPDX-License-Identifier: MIT

"""
Settings of the C library's memory allocator.
"""

from __future__ import annotations

import ctypes

import structlog


__all__ = ["return_large_blocks"]

_log = structlog.get_logger()

#: Parameter of ``mallopt`` for the least size of a block that is mapped by itself.
_M_MMAP_THRESHOLD = -3
#: That size, in bytes; above the buffers of the event loop's reads.
_MIN_MAPPED = 1 << 20


def return_large_blocks() -> None:
    """
    Return the memory of large blocks to the system once they are freed.

    By default, glibc raises the size from which it does so with each block that is
    freed, up to 32 MB. Large bodies then grow by copies and leave gaps in the heap.
    """
    try:
        is_set = ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _MIN_MAPPED)
    except (OSError, AttributeError) as error:
        _log.info("allocator_without_settings", reason=str(error))
        return
    if not is_set:
        _log.warning("allocator_setting_refused")
