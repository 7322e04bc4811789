# SPDX-License-Identifier: MIT

"""
The workspaces of a run and their keys, which are rotated with each configuration.
"""

from __future__ import annotations

import random


__all__ = [
    "WORKSPACES",
    "draw_key",
    "is_permanent_key",
    "make_workspaces",
    "workspace_of",
]

#: Names of the workspaces.
WORKSPACES = ("red", "blue")
#: Configuration versions for which a rotated key is valid.
_KEY_VERSIONS = 3
#: Share of requests with a key that no configuration contains.
_UNKNOWN_KEY_SHARE = 0.03
_UNKNOWN_KEY = "nobody-0"


def make_workspaces(version: int) -> list[dict]:
    """
    Return the workspaces of a configuration, each with a permanent key and the newest
    rotated keys.
    """
    newest = range(max(1, version - _KEY_VERSIONS + 1), version + 1)
    return [
        {"name": name, "api_keys": [f"{name}-0", *(f"{name}-{n}" for n in newest)]}
        for name in WORKSPACES
    ]


def draw_key(draw: random.Random, version: int) -> str:
    """
    Return a key for a request: mostly a permanent one, else a rotated or unknown one.
    """
    if draw.random() < _UNKNOWN_KEY_SHARE:
        return _UNKNOWN_KEY
    number = draw.choice((0, 0, 0, draw.randint(1, max(1, version))))
    return f"{draw.choice(WORKSPACES)}-{number}"


def workspace_of(key: str) -> str:
    """
    Return the workspace that owns or owned a key; empty for an unknown key.
    """
    name = key.partition("-")[0]
    return name if name in WORKSPACES else ""


def is_permanent_key(key: str) -> bool:
    """
    Return whether every configuration contains a key.
    """
    return bool(workspace_of(key)) and key.endswith("-0")
