# SPDX-License-Identifier: MIT

"""
Counts the engines of a service, and tells lost engines from entries that lapsed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

from .._engine_directory import EngineEntry
from ._spread import EngineGroup


__all__ = ["Census", "EngineCensus"]

#: Time after which an engine that gave no notice counts as lost, in seconds. A crashed
#: engine is back under its id within about five seconds.
_RETURN_TIME = 6.0


@dataclass(frozen=True)
class Census:
    """
    The engines of a service.

    :param present: Engines that serve or are expected back, by group.
    :param seen: Engines that serve, by group.
    :param leaving: Engines that still serve but have announced their end, by group.
    :param reclaimed: Groups of spot engines that are being taken away.
    :param slots: Number of slots of the engines that serve.
    :param slots_per_engine: Median number of slots of an engine.
    :param disturbed_at: When an engine was last lost or reclaimed or its entry lapsed,
        monotonic, in seconds.
    """

    present: Mapping[EngineGroup, int] = field(default_factory=dict)
    seen: Mapping[EngineGroup, int] = field(default_factory=dict)
    leaving: Mapping[EngineGroup, int] = field(default_factory=dict)
    reclaimed: frozenset[EngineGroup] = frozenset()
    slots: int = 0
    slots_per_engine: int = 1
    disturbed_at: float = float("-inf")


class EngineCensus:
    """
    Follows the entries of one service's engines.
    """

    def __init__(self) -> None:
        self._serving: dict[str, EngineEntry] = {}
        self._absent_since: dict[str, float] = {}
        self._disturbed_at = float("-inf")

    def observe(
        self, entries: Iterable[EngineEntry], is_certain: bool, now: float
    ) -> Census:
        """
        Return the census of the entries.

        An engine whose entry is gone without notice counts as present for the time in
        which it may come back. This time starts again while absence is not certain.

        :param is_certain: Whether a missing entry shows that the engine is gone: the
            registry has been read lately and without an outage.
        :param now: Monotonic, in seconds.
        """
        by_id = {entry.engine_id: entry for entry in entries}
        leaving = [entry for entry in by_id.values() if entry.draining]
        reclaimed = [e for e in leaving if e.is_spot and e.leaves_in is not None]
        if reclaimed:
            self._disturbed_at = now
        for engine_id, entry in by_id.items():
            self._absent_since.pop(engine_id, None)
            if entry.draining:
                self._serving.pop(engine_id, None)
            else:
                self._serving[engine_id] = entry
        for engine_id in [name for name in self._serving if name not in by_id]:
            since = self._absent_since.setdefault(engine_id, now)
            if not is_certain:
                self._absent_since[engine_id] = now
            elif now - since >= _RETURN_TIME:
                del self._serving[engine_id], self._absent_since[engine_id]
            self._disturbed_at = now
        serving = [e for e in self._serving.values() if e.engine_id in by_id]
        slots = [entry.slots for entry in serving]
        return Census(
            _by_group(self._serving.values()),
            _by_group(serving),
            _by_group(leaving),
            frozenset(_group_of(entry) for entry in reclaimed),
            sum(slots),
            max(1, int(median(slots))) if slots else 1,
            self._disturbed_at,
        )


def _group_of(entry: EngineEntry) -> EngineGroup:
    return EngineGroup(entry.data_centre, entry.is_spot)


def _by_group(entries: Iterable[EngineEntry]) -> dict[EngineGroup, int]:
    return dict(Counter(_group_of(entry) for entry in entries))
