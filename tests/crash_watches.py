# SPDX-License-Identifier: MIT

"""
Builders of the watch over engines that end, without a store or engines.
"""

from __future__ import annotations

from collections.abc import Callable

from saddledoor import EngineCrashed, RequestsCleared, encode_record
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import Appended
from saddledoord.serving.engine_crash_watch import EngineCrashWatch


__all__ = ["Told", "make_crash_watch"]


class _Engines:
    def __init__(self, gone: bool) -> None:
        self._gone = gone

    async def has_exited(self, engine) -> bool:
        return self._gone


class Told:
    """
    A log of leases that nobody holds, and what is told besides.

    :ivar asked_at: When the newest question began that has ended.
    :ivar missed: Records that come with the next question.
    :ivar records: What the watch has appended.
    """

    def __init__(self, asked_at: float = float("inf")) -> None:
        self.asked_at = asked_at
        self.missed: list[EngineCrashed | RequestsCleared] = []
        self.records: list[bytes] = []
        self._fold: Callable[[object], None] = lambda record: None

    def on_other(self, fold: Callable[[object], None]) -> None:
        self._fold = fold

    async def sync(self) -> bool:
        for record in self.missed:
            self.hear(record)
        self.asked_at = boot_time()
        return True

    async def append(self, stream, records, answer_timeout=1.0) -> Appended:
        self.records += records
        return Appended(0)

    def hear(self, record: EngineCrashed | RequestsCleared) -> None:
        """
        Have the watch read a record.
        """
        self._fold(record)

    def holds(self, record: EngineCrashed | RequestsCleared) -> bool:
        return encode_record(record).encode() in self.records


def make_crash_watch(
    view: ClusterView, told: Told | None = None, gone: bool = False
) -> EngineCrashWatch:
    """
    Return a watch.

    :param gone: Whether engines that are asked are found to be gone.
    """
    told = told or Told()
    return EngineCrashWatch(_Engines(gone), view.engine_tables, told, told)
