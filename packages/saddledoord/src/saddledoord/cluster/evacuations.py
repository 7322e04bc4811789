# SPDX-License-Identifier: MIT

"""
The operator's evacuations of data centres, and how old this VM's knowledge of them is.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

import structlog

from .._clock import boot_time
from ..ports import Evacuation, KeyedEntry


__all__ = ["EvacuationKnowledge", "Evacuations", "RegistryReadState"]

_log = structlog.get_logger()

#: Part of the limit for an evacuation to take effect that is left for the send itself,
#: in seconds: 0.8 s until its first byte (`send_deadline`), the rest for its way.
_SEND_TIME = 1.5
#: Least age up to which the knowledge counts as recent, in seconds; a read of the
#: registry waits for up to 1 s.
_MIN_MAX_AGE = 1.5
#: Limit for an evacuation to take effect where the settings give none, in seconds.
_DEFAULT_LIMIT = 5.0
#: Interval between log lines of a VM that has lost the store, in seconds.
_LOG_INTERVAL = 5.0


class Evacuations:
    """
    The evacuations in the operator's registry, by key.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, str] = {}
        self._data_centres: frozenset[str] = frozenset()
        self._ended_at: dict[str, float] = {}

    def data_centres(self) -> frozenset[str]:
        """
        Return the data centres that are evacuated.
        """
        return self._data_centres

    @property
    def are_used(self) -> bool:
        """
        Whether this VM knows of an evacuation, active or ended.
        """
        return bool(self._by_key or self._ended_at)

    def ended_at(self, data_centre: str) -> float | None:
        """
        Return when this VM learnt that the last evacuation of a data centre had ended,
        monotonic, in seconds; None if it knows of none that ended.
        """
        return self._ended_at.get(data_centre)

    def apply(self, entry: KeyedEntry) -> None:
        """
        Apply a change of a key.

        A value that cannot be used does not end an evacuation, as only the removal of
        its key does.
        """
        if isinstance(entry.value, Evacuation):
            if entry.key not in self._by_key:
                self._by_key[entry.key] = entry.value.data_centre
                self._data_centres = frozenset(self._by_key.values())
                _log.warning(
                    "evacuation_started",
                    data_centre=entry.value.data_centre,
                    offset=entry.offset,
                )
        elif entry.value is None:
            self._end(entry.key, entry.offset)

    def retain(self, keys: Collection[str]) -> None:
        """
        End the evacuations whose key is gone.

        :param keys: The keys of the registry.
        """
        for key in set(self._by_key) - set(keys):
            self._end(key, None)

    def _end(self, key: str, offset: int | None) -> None:
        data_centre = self._by_key.pop(key, None)
        if data_centre is not None:
            self._data_centres = frozenset(self._by_key.values())
            self._ended_at[data_centre] = boot_time()
            _log.warning("evacuation_ended", data_centre=data_centre, offset=offset)


@dataclass(frozen=True)
class RegistryReadState:
    """
    How far this VM has read the operator's registry; times are monotonic, in seconds.

    :param synced_at: When it last had read all changes.
    :param is_store_reachable: Whether the store answered the last read.
    :param last_read_at: Start of the newest read that has ended, answered or not.
    :param resumed_at: When the process last resumed after a pause.
    :param answered_at: When the store last answered a call of any kind.
    """

    synced_at: float
    is_store_reachable: bool
    last_read_at: float
    resumed_at: float
    answered_at: float = float("-inf")


def _no_limit() -> None:
    return None


class EvacuationKnowledge:
    """
    Tells whether this VM would know of an evacuation, or of a changed configuration,
    that must have taken effect.

    It may not know of one after a process pause. A VM that has lost the store goes on
    by what it knows; a read that failed during the pause does not show such a loss.

    :param read_state: Returns how far the operator's registry has been read.
    :param limit: Time after which an evacuation must have taken effect, in seconds;
        None if the settings give none.
    :param are_used: Returns whether there was any evacuation so far. Without a limit
        and an evacuation, knowledge of any age counts as recent.
    :param config_limit: Returns the time after which a configuration must have taken
        effect, in seconds; None if no request is refused for an old configuration.
    """

    def __init__(
        self,
        read_state: Callable[[], RegistryReadState],
        limit: float | None,
        are_used: Callable[[], bool],
        config_limit: Callable[[], float | None] = _no_limit,
    ) -> None:
        self._read_state = read_state
        self._are_used = are_used
        self._logged_at = float("-inf")
        self._limit = limit
        self._config_limit = config_limit

    @property
    def max_age(self) -> float | None:
        """
        Age up to which the knowledge counts as recent, in seconds; None for any age.
        """
        limits = [self._config_limit()]
        if self._limit is not None or self._are_used():
            limits.append(self._limit or _DEFAULT_LIMIT)
        shortest = min((limit for limit in limits if limit is not None), default=None)
        return None if shortest is None else max(_MIN_MAX_AGE, shortest - _SEND_TIME)

    def set_limit(self, limit: float | None) -> None:
        """
        Change the limit for evacuations, in seconds.
        """
        self._limit = limit

    def is_recent(self, now: float) -> bool:
        """
        Whether requests may be sent by what this VM knows.
        """
        max_age = self.max_age
        if max_age is None:
            return True
        state = self._read_state()
        age = now - state.synced_at
        if age <= max_age:
            return True
        if state.is_store_reachable or state.last_read_at < state.resumed_at:
            return False
        if state.answered_at >= state.last_read_at:
            # Only this read went without an answer, so the store is not lost.
            return False
        if now - self._logged_at >= _LOG_INTERVAL:
            self._logged_at = now
            _log.warning("evacuations_last_read", age=round(age, 3))
        return True
