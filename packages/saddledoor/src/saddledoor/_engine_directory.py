# SPDX-License-Identifier: MIT

"""
Which engines may get work, from the entries they write of themselves.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


__all__ = ["EngineDirectory", "EngineEntry"]

#: How long an entry that went missing around an outage of the store is still used, as
#: a share of the drain time: the engine may be leaving, and serves that long at least.
_BRIDGE = 0.75
#: How long after the store's return a missing entry may still come back, in seconds;
#: the users' letter says about two.
_RETURN_WINDOW = 3.0


@dataclass(frozen=True)
class EngineEntry:
    """
    What an engine says of itself.

    :param engine_id: One incarnation; a restart gets a new one.
    :param address: Host and port; may come back as another engine's.
    :param slots: Requests it works on at once, a count.
    :param versions: Weight version of each model it holds.
    """

    engine_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)


class EngineDirectory:
    """
    The entries as last read, and what became of those that went missing.

    :param drain_time: How long an engine serves at least after its entry is gone, in
        seconds.
    """

    def __init__(self, drain_time: float) -> None:
        self._bridge = _BRIDGE * drain_time
        self._entries: dict[str, EngineEntry] = {}
        self._missing: dict[str, tuple[EngineEntry, float]] = {}
        self._store_away = False
        self._store_back_at = float("-inf")

    def put(self, entry: EngineEntry) -> None:
        """
        Take an entry that an engine wrote.
        """
        self._entries[entry.engine_id] = entry
        self._missing.pop(entry.engine_id, None)

    def remove(self, engine_id: str, now: float) -> None:
        """
        Note that an entry is gone.

        Around an outage of the store entries lapse by themselves, so the engine is
        used for a little longer; at any other time it is leaving.

        :param now: Monotonic, in seconds.
        """
        entry = self._entries.pop(engine_id, None)
        if entry is None or entry.draining:
            return
        if self._store_away or now - self._store_back_at < _RETURN_WINDOW:
            self._missing[engine_id] = (entry, now + self._bridge)

    def store_lost(self) -> None:
        """
        Note that the store cannot be reached: no news is no information now.
        """
        self._store_away = True

    def store_regained(self, now: float) -> None:
        """
        Note that the store answers again.
        """
        if self._store_away:
            self._store_away = False
            self._store_back_at = now

    def known_ids(self) -> set[str]:
        """
        Return the engines that have an entry.
        """
        return set(self._entries)

    def get(self, engine_id: str) -> EngineEntry | None:
        """
        Return an engine's entry, or none if it has none any more.
        """
        return self._entries.get(engine_id)

    def usable(self, service: str, now: float) -> list[EngineEntry]:
        """
        Return the engines of a service that may get new work.

        :param now: Monotonic, in seconds.
        """
        found = [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.draining
        ]
        for engine_id, (entry, until) in list(self._missing.items()):
            if now >= until:
                del self._missing[engine_id]
            elif entry.service == service:
                found.append(entry)
        return found
