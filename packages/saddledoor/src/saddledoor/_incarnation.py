# SPDX-License-Identifier: MIT

"""
One life of an engine, from a start of its process to its end.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = ["Incarnation"]


@dataclass(frozen=True)
class Incarnation:
    """
    What anything remembered of an engine is remembered of.

    An engine may start again under its id. It then holds nothing of what it held, so
    an id alone is the key of its address only.

    :param engine_id: As the engine names itself, in each of its lives.
    :param started_at: Start of the process, in Unix milliseconds; none if it does not
        say.
    """

    engine_id: str
    started_at: int | None = None

    def __str__(self) -> str:
        return self.engine_id

    def follows(self, other: Incarnation) -> bool:
        """
        Return whether this is a later life of the same engine.
        """
        if self.engine_id != other.engine_id or self.started_at is None:
            return False
        return other.started_at is None or self.started_at > other.started_at
