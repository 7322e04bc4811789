# SPDX-License-Identifier: MIT

"""
Per-incarnation state of engines, discarded when the incarnation ends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from ._incarnation import Incarnation


__all__ = ["EngineTables", "EngineTable"]

T = TypeVar("T")


class EngineTable(Generic[T]):
    """
    State by engine incarnation; created by `EngineTables.table`.
    """

    def __init__(
        self, new_row: Callable[[], T], on_discard: Callable[[T], None]
    ) -> None:
        self._new_row = new_row
        self._on_discard = on_discard
        self._rows: dict[Incarnation, T] = {}

    def __getitem__(self, incarnation: Incarnation) -> T:
        if incarnation not in self._rows:
            self._rows[incarnation] = self._new_row()
        return self._rows[incarnation]

    def __iter__(self) -> Iterator[Incarnation]:
        return iter(self._rows)

    def get(self, incarnation: Incarnation) -> T | None:
        """
        Return a row, or none if the incarnation has none.
        """
        return self._rows.get(incarnation)

    def rows(self) -> list[T]:
        """
        Return the rows of all incarnations.
        """
        return list(self._rows.values())

    def forget(self, incarnation: Incarnation) -> None:
        """
        Discard the row of an incarnation and call the table's callback with it.
        """
        row = self._rows.pop(incarnation, None)
        if row is not None:
            self._on_discard(row)


def _ignore(_: object) -> None:
    pass


class EngineTables:
    """
    All tables of engine state, so that an incarnation is discarded from all of them at
    once.

    State that outlives an incarnation would be applied to the restarted engine, which
    has, for example, lost the weights that it held before.
    """

    def __init__(self) -> None:
        self._tables: list[EngineTable] = []

    def table(
        self, new_row: Callable[[], T], on_discard: Callable[[T], None] = _ignore
    ) -> EngineTable[T]:
        """
        Create a table.

        :param new_row: Creates the row of an incarnation on its first use.
        :param on_discard: Called with each row that is discarded.
        """
        table = EngineTable(new_row, on_discard)
        self._tables.append(table)
        return table

    def forget(self, incarnation: Incarnation) -> None:
        """
        Discard the rows of an incarnation from all tables.
        """
        for table in self._tables:
            table.forget(incarnation)
