# SPDX-License-Identifier: MIT

"""
The guards, by subject.
"""

from __future__ import annotations

from . import (
    clients,
    crashes,
    engines,
    history,
    jobs,
    keys,
    nodes,
    readers,
    requests,
    residency,
    scaling,
    sends,
)
from .guard import Guard


__all__ = ["GUARDS", "Guard"]

GUARDS = (
    *jobs.GUARDS,
    *requests.GUARDS,
    *engines.GUARDS,
    *nodes.GUARDS,
    *crashes.GUARDS,
    *keys.GUARDS,
    *history.GUARDS,
    *readers.GUARDS,
    *scaling.GUARDS,
    *sends.GUARDS,
    *residency.GUARDS,
    *clients.GUARDS,
)
