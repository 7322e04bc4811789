# SPDX-License-Identifier: MIT

"""
Registry of engines, built from the entries that engines write to the store.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ._incarnation import Incarnation


__all__ = ["EngineDirectory", "EngineEntry"]

#: How long after the store's recovery a missing entry is still used, in seconds;
#: engines write their entries again within about two seconds.
_MISSING_ENTRY_GRACE = 2.5
#: Maximum number of removed entries that are remembered.
_MAX_REMOVED = 1024


@dataclass(frozen=True)
class EngineEntry:
    """
    An engine's own entry in the registry.

    :param engine_id: Name of the engine; a restart may keep it.
    :param address: Host and port; may later be reused by another engine.
    :param slots: Number of requests that the engine runs concurrently.
    :param versions: Weight version of each model that is loaded.
    :param started_at: Start of the process, in Unix milliseconds; none if not given.
    :param cold_left: How long the engine stays cold, in seconds, when it wrote the
        entry.
    :param is_spot: Whether the platform may take the engine away at short notice.
    :param leaves_in: Time until the engine ends, in seconds, when it wrote the entry;
        none if it gave no time.
    :param sequence: Number of entries that the incarnation has written.
    """

    engine_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)
    started_at: int | None = None
    cold_left: float = 0.0
    is_spot: bool = False
    leaves_in: float | None = None
    sequence: int = 0

    @cached_property
    def incarnation(self) -> Incarnation:
        """
        The incarnation that wrote this entry.
        """
        return Incarnation(self.engine_id, self.started_at)


def _is_outdated(entry: EngineEntry, newest: EngineEntry) -> bool:
    """
    Return whether an entry was written before the newest known one of its engine.
    """
    if newest.incarnation != entry.incarnation:
        return newest.incarnation.follows(entry.incarnation)
    return entry.sequence < newest.sequence


class EngineDirectory:
    """
    The entries as last read, and those that are missing after a store outage.
    """

    def __init__(self) -> None:
        self._entries: dict[str, EngineEntry] = {}
        self._missing: dict[str, tuple[EngineEntry, float]] = {}
        self._ids_with_ignored_entry: set[str] = set()
        # Newest entries of engines whose entry was removed; the oldest are dropped.
        self._removed: dict[str, EngineEntry] = {}
        self._store_recovered_at = float("-inf")

    def put(self, entry: EngineEntry) -> bool:
        """
        Store an entry that an engine wrote.

        A write may take effect seconds after it was sent: when the engine has crashed,
        has written another entry, or has left. So an entry of an earlier incarnation or
        with a lower sequence number is ignored once. A second one in a row is stored,
        since only a running engine keeps writing; otherwise one entry with a wrong,
        later start time or a higher number would hide the engine for good.

        :returns: Whether the entry was stored.
        """
        engine_id = entry.engine_id
        current = self._entries.get(engine_id) or self._removed.get(engine_id)
        is_outdated = current is not None and _is_outdated(entry, current)
        if is_outdated and engine_id not in self._ids_with_ignored_entry:
            self._ids_with_ignored_entry.add(engine_id)
            return False
        self._ids_with_ignored_entry.discard(engine_id)
        self._entries[engine_id] = entry
        self._removed.pop(engine_id, None)
        self._missing.pop(engine_id, None)
        return True

    def remove(self, engine_id: str, now: float) -> None:
        """
        Handle the removal of an entry.

        Entries expire during a store outage. An entry that is missing after the store's
        recovery stays usable until a running engine would have written it again. At any
        other time a removed entry means that the engine is leaving.

        :param now: Monotonic, in seconds.
        """
        entry = self._entries.pop(engine_id, None)
        self._ids_with_ignored_entry.discard(engine_id)
        if entry is None:
            return
        self._removed[engine_id] = entry
        if len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        if entry.draining:
            return
        usable_until = self._store_recovered_at + _MISSING_ENTRY_GRACE
        if now < usable_until:
            self._missing[engine_id] = (entry, usable_until)

    def drop(self, engine_id: str) -> None:
        """
        Drop an entry that was overwritten by a value that is no engine entry.

        It takes effect at once, also after a store outage, since the entry did not
        expire.
        """
        self._entries.pop(engine_id, None)
        self._missing.pop(engine_id, None)
        self._ids_with_ignored_entry.discard(engine_id)

    def record_store_recovery(self, now: float) -> None:
        """
        Record that the store answers again.

        :param now: Monotonic, in seconds.
        """
        self._store_recovered_at = now

    def known_ids(self) -> set[str]:
        """
        Return the ids of the engines that have an entry.
        """
        return set(self._entries)

    def get(self, engine_id: str) -> EngineEntry | None:
        """
        Return an engine's entry, or none.
        """
        return self._entries.get(engine_id)

    def is_usable(self, entry: EngineEntry, now: float) -> bool:
        """
        Return whether the incarnation of an entry may still get new work.

        :param now: Monotonic, in seconds.
        """
        current = self._entries.get(entry.engine_id)
        if current is not None:
            return current.incarnation == entry.incarnation and not current.draining
        missing, usable_until = self._missing.get(entry.engine_id, (None, 0.0))
        return (
            missing is not None
            and missing.incarnation == entry.incarnation
            and now < usable_until
        )

    def leaving(self, service: str) -> list[EngineEntry]:
        """
        Return the engines of a service that are draining.
        """
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and entry.draining
        ]

    def usable(self, service: str, now: float) -> list[EngineEntry]:
        """
        Return the engines of a service that may get new work: those that are not
        draining.

        :param now: Monotonic, in seconds.
        """
        usable_entries = [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.draining
        ]
        for engine_id, (entry, usable_until) in list(self._missing.items()):
            if now >= usable_until:
                del self._missing[engine_id]
            elif entry.service == service:
                usable_entries.append(entry)
        return usable_entries
