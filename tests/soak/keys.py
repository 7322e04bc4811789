# SPDX-License-Identifier: MIT

"""
The workspaces of a run and their keys, which come and go with each configuration.
"""

from __future__ import annotations

import random


__all__ = ["TENANTS", "draw_key", "is_always_there", "tenants_of", "workspace_of"]

#: Names of the workspaces.
TENANTS = ("red", "blue")
#: Versions for which a key stays, a count.
_STAYS = 3
#: Of the requests with a key that no configuration ever held.
_FOREIGN_SHARE = 0.03
_FOREIGN = "nobody-0"


def tenants_of(version: int) -> list[dict]:
    """
    Return the workspaces of a configuration: each has a key that stays, and the newest
    of those that come with each version.
    """
    newest = range(max(1, version - _STAYS + 1), version + 1)
    return [
        {"name": name, "api_keys": [f"{name}-0", *(f"{name}-{n}" for n in newest)]}
        for name in TENANTS
    ]


def draw_key(draw: random.Random, version: int) -> str:
    """
    Return a key for a request: mostly one that stays, else one of a version.
    """
    if draw.random() < _FOREIGN_SHARE:
        return _FOREIGN
    number = draw.choice((0, 0, 0, draw.randint(1, max(1, version))))
    return f"{draw.choice(TENANTS)}-{number}"


def workspace_of(key: str) -> str:
    """
    Return whose a key is, or was; empty if it never was anybody's.
    """
    name = key.partition("-")[0]
    return name if name in TENANTS else ""


def is_always_there(key: str) -> bool:
    """
    Return whether every configuration holds a key.
    """
    return bool(workspace_of(key)) and key.endswith("-0")
