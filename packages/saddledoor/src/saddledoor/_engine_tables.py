# SPDX-License-Identifier: MIT

"""
Everything that is remembered of engines, forgotten as one when a life of one ends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from ._incarnation import Incarnation


__all__ = ["EngineTables", "EngineTable"]

T = TypeVar("T")


class EngineTable(Generic[T]):
    """
    A row for each life of an engine; made by `EngineTables.table`.
    """

    def __init__(self, make: Callable[[], T], ended: Callable[[T], None]) -> None:
        self._make = make
        self._ended = ended
        self._rows: dict[Incarnation, T] = {}

    def __getitem__(self, incarnation: Incarnation) -> T:
        if incarnation not in self._rows:
            self._rows[incarnation] = self._make()
        return self._rows[incarnation]

    def __iter__(self) -> Iterator[Incarnation]:
        return iter(self._rows)

    def get(self, incarnation: Incarnation) -> T | None:
        """
        Return a row, or none if nothing is remembered.
        """
        return self._rows.get(incarnation)

    def rows(self) -> list[T]:
        """
        Return the rows of all lives.
        """
        return list(self._rows.values())

    def forget(self, incarnation: Incarnation) -> None:
        """
        Drop a row and have what depends on it ended.
        """
        row = self._rows.pop(incarnation, None)
        if row is not None:
            self._ended(row)


def _nothing(_: object) -> None:
    pass


class EngineTables:
    """
    The tables of all who remember something of an engine.

    Kept by the engine's id, or in a place of its own, a memory outlives what it speaks
    of: an engine that had started again was taken to hold the weights of its life
    before, and was never loaded again.
    """

    def __init__(self) -> None:
        self._tables: list[EngineTable] = []

    def table(
        self, make: Callable[[], T], ended: Callable[[T], None] = _nothing
    ) -> EngineTable[T]:
        """
        Return a new table.

        :param make: Returns the row of a life of which nothing is remembered yet.
        :param ended: Called with the row of a life that is over.
        """
        table = EngineTable(make, ended)
        self._tables.append(table)
        return table

    def forget(self, incarnation: Incarnation) -> None:
        """
        Drop all that is remembered of a life.
        """
        for table in self._tables:
            table.forget(incarnation)
