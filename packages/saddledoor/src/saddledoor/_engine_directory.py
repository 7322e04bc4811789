# SPDX-License-Identifier: MIT

"""
Which engines may get work, from the entries they write of themselves.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ._incarnation import Incarnation


__all__ = ["EngineDirectory", "EngineEntry"]

#: How long after the store's return a missing entry may still come back, in seconds;
#: the users' letter says about two.
_RETURN_WINDOW = 2.5


@dataclass(frozen=True)
class EngineEntry:
    """
    What an engine says of itself.

    :param engine_id: Its name, which a restart may keep.
    :param address: Host and port; may come back as another engine's.
    :param slots: Requests it works on at once, a count.
    :param versions: Weight version of each model it holds.
    :param started_at: Start of its process, in Unix milliseconds; none if it does not
        say.
    """

    engine_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)
    started_at: int | None = None

    @cached_property
    def incarnation(self) -> Incarnation:
        """
        The life that this entry speaks of.
        """
        return Incarnation(self.engine_id, self.started_at)


class EngineDirectory:
    """
    The entries as last read, and what became of those that went missing.
    """

    def __init__(self) -> None:
        self._entries: dict[str, EngineEntry] = {}
        self._missing: dict[str, tuple[EngineEntry, float]] = {}
        self._earlier: set[str] = set()
        self._store_back_at = float("-inf")

    def put(self, entry: EngineEntry) -> bool:
        """
        Take an entry that an engine wrote.

        One of an earlier life is passed over: a write may be done seconds after the
        engine that sent it has crashed. A second one in a row is taken, since an engine
        that lives goes on writing, and an entry that wrongly claims a later start must
        not shut it out.

        :returns: Whether it was taken.
        """
        engine_id = entry.engine_id
        known = self._entries.get(engine_id)
        is_earlier = known is not None and known.incarnation.follows(entry.incarnation)
        if is_earlier and engine_id not in self._earlier:
            self._earlier.add(engine_id)
            return False
        self._earlier.discard(engine_id)
        self._entries[engine_id] = entry
        self._missing.pop(engine_id, None)
        return True

    def remove(self, engine_id: str, now: float) -> None:
        """
        Note that an entry is gone.

        While the store is away entries lapse by themselves. One that is missing after
        its return is used until a living engine would have written it again; at any
        other time the engine is leaving.

        :param now: Monotonic, in seconds.
        """
        entry = self._entries.pop(engine_id, None)
        self._earlier.discard(engine_id)
        if entry is None or entry.draining:
            return
        returns_until = self._store_back_at + _RETURN_WINDOW
        if now < returns_until:
            self._missing[engine_id] = (entry, returns_until)

    def drop(self, engine_id: str) -> None:
        """
        Note that what stands under an engine's id names no engine any more.

        At once, also after the store's return: nothing has lapsed.
        """
        self._entries.pop(engine_id, None)
        self._missing.pop(engine_id, None)
        self._earlier.discard(engine_id)

    def record_store_recovery(self, now: float) -> None:
        """
        Note that the store answers again.
        """
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
