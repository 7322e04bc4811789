# SPDX-License-Identifier: MIT

"""
Identity of one process of an engine.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = ["Incarnation"]


@dataclass(frozen=True)
class Incarnation:
    """
    One process of an engine, and the key of engine state.

    In log records, ``incarnation`` also names the process of a VM.

    An engine may restart under the same id and then has lost its state, so the id
    alone only identifies its registry entry.

    :param engine_id: Name of the engine, the same in each incarnation.
    :param started_at: Start of the process, in Unix milliseconds; none if not given.
    """

    engine_id: str
    started_at: int | None = None

    def __str__(self) -> str:
        return self.engine_id

    def follows(self, other: Incarnation) -> bool:
        """
        Return whether this is a later incarnation of the same engine.
        """
        if self.engine_id != other.engine_id or self.started_at is None:
            return False
        return other.started_at is None or self.started_at > other.started_at
