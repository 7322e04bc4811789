# SPDX-License-Identifier: MIT

"""
Builders of what engines say of themselves: entries and reports.
"""

from __future__ import annotations

import json
from typing import Any


__all__ = ["BORN", "as_bytes", "make_entry", "make_report"]

#: Start of a process, in Unix milliseconds.
BORN = 1_700_000_000_123


def make_entry(**changes: object) -> dict[str, Any]:
    """
    Return an entry as an engine writes it.
    """
    fields = {
        "service": "pool",
        "address": "127.0.0.1:8000",
        "zone": "dc-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq_no": 3,
        "born": BORN,
        "models": [{"name": "model-a", "version": 4}],
    }
    return {**fields, **changes}


def make_report(**changes: object) -> dict[str, Any]:
    """
    Return a report as an engine answers it.
    """
    fields = {
        "stage": "both",
        "models": [{"name": "model-a", "version": 4, "adapters": []}],
        "busy": False,
        "seq_no": 2,
        "born": BORN,
    }
    return {**fields, **changes}


def as_bytes(document: object) -> bytes:
    """
    Return a document as it stands in a body.
    """
    return json.dumps(document).encode()
