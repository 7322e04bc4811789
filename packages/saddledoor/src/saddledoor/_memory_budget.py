# SPDX-License-Identifier: MIT

"""
Bound on the memory that is held for callers' requests and their answers.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass


__all__ = ["Holding", "MemoryBudget", "MemoryLimits", "decoded_json_size"]

#: Share of the remaining memory that all requests together may hold; the rest is for
#: connections, copies that are written in pieces, and jobs.
_SHARED = 0.5
#: The same where that is less than one large request needs, and the limit for that, in
#: bytes.
_MOST_SHARED, _LARGE_REQUEST = 0.7, 40 << 20
#: Share of the room of all requests that is left for small ones.
_SMALL_SHARE = 1 / 8
#: Share of the remaining memory that the items of open jobs may take.
_JOBS = 0.25
#: Largest request that counts as small, in bytes.
_SMALL_REQUEST = 65_536
#: Time without progress after which a request may lose its room, in seconds.
_STALL_TIME = 1.0
#: Bytes that count as progress.
_PROGRESS = 16_384
#: Size of a decoded container and of another decoded value, in bytes.
_CONTAINER_SIZE, _VALUE_SIZE = 64, 64


def decoded_json_size(data: bytes) -> int:
    """
    Estimate the memory that decoding JSON takes besides the data, in bytes.

    A decoder keeps the text beside the decoded strings. Small values take many times
    the size of their text.
    """
    containers = data.count(b"{") + data.count(b"[")
    values = data.count(b",")
    return 2 * len(data) + containers * _CONTAINER_SIZE + values * _VALUE_SIZE


@dataclass(frozen=True)
class MemoryLimits:
    """
    Limits of the memory held for callers, in bytes.

    :param shared: Limit of all requests together.
    :param alone: Limit of a large request while no other large one holds memory.
    :param jobs: Limit of the items of all open jobs.
    """

    shared: float = math.inf
    alone: float = math.inf
    jobs: float = math.inf

    @property
    def small(self) -> float:
        """
        Part of ``shared`` that large requests leave to small ones.
        """
        return self.shared * _SMALL_SHARE if math.isfinite(self.shared) else 0.0

    @classmethod
    def from_machine(cls, memory: int, process_memory: int) -> MemoryLimits:
        """
        Derive the limits from a machine's memory.

        :param memory: In bytes.
        :param process_memory: What the process uses without any request, in bytes.
        """
        rest = max(0, memory - process_memory)
        shared = max(min(rest * _MOST_SHARED, _LARGE_REQUEST), rest * _SHARED)
        return cls(shared, rest, rest * _JOBS)


@dataclass(eq=False)
class Holding:
    """
    Memory held for one request: its body, what is decoded from it, and its answer.

    :param on_evicted: Called when the request loses its memory.
    :param progressed_at: When the client made its last progress, monotonic, in seconds.
    :param size: Memory held, in bytes.
    :param is_evicted: Whether the request has lost its memory.
    :param waits: Whether the client has to send or to read.
    :param unmarked: Bytes transferred since the last progress.
    """

    on_evicted: Callable[[], None]
    progressed_at: float
    size: int = 0
    is_evicted: bool = False
    waits: bool = False
    unmarked: int = 0

    def wait_for_client(self, now: float) -> None:
        """
        Record that the client has to send or to read.
        """
        self.waits = True
        self.unmarked = 0
        self.progressed_at = now

    def record_transfer(self, size: int, now: float) -> None:
        """
        Record bytes that the client has sent or read; a trickle is no progress.
        """
        self.unmarked += size
        if self.unmarked >= _PROGRESS:
            self.unmarked = 0
            self.progressed_at = now

    def end_wait(self) -> None:
        """
        Record that the client has sent or read everything.
        """
        self.waits = False

    def is_stalled(self, now: float) -> bool:
        """
        Return whether the client makes no progress.
        """
        return self.waits and now - self.progressed_at >= _STALL_TIME


class MemoryBudget:
    """
    The memory held for all requests of a process.

    Requests whose clients make no progress lose their memory to others. Small requests
    have a part of their own, which large ones cannot take.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self._limits = limits
        self._holdings: set[Holding] = set()
        self._small = 0
        self._large = 0
        self._refused = 0
        self._evicted = 0

    @property
    def held(self) -> int:
        """
        Memory held for all requests, in bytes.
        """
        return self._small + self._large

    @property
    def refused(self) -> int:
        """
        Number of times that a request got no memory.
        """
        return self._refused

    @property
    def evicted(self) -> int:
        """
        Number of requests that lost their memory.
        """
        return self._evicted

    def open(self, on_evicted: Callable[[], None], now: float) -> Holding:
        """
        Add a request, without memory.

        :param on_evicted: Called when it loses its memory to another one.
        """
        holding = Holding(on_evicted, now)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """
        Remove a request and release its memory.
        """
        self._resize(holding, 0)
        self._holdings.discard(holding)

    def release(self, holding: Holding, size: int) -> None:
        """
        Release a part of a request's memory.

        :param size: In bytes.
        """
        self._resize(holding, max(0, holding.size - size))

    def take(self, holding: Holding, size: int, now: float) -> bool:
        """
        Take more memory for a request, if need be from requests that are stalled.

        :param size: In bytes.
        :returns: Whether there is room; without it, the request should be refused.
        """
        if holding.is_evicted or not self._find_room(holding, size, now):
            self._refused += 1
            return False
        self._resize(holding, holding.size + size)
        return True

    def _resize(self, holding: Holding, size: int) -> None:
        self._add(holding.size, -1)
        holding.size = size
        self._add(size, 1)

    def _add(self, size: int, sign: int) -> None:
        if size > _SMALL_REQUEST:
            self._large += sign * size
        else:
            self._small += sign * size

    def _find_room(self, holding: Holding, size: int, now: float) -> bool:
        """
        Return whether a request may grow, after the eviction of stalled ones.

        No request is evicted unless that gives enough room.
        """
        wanted = holding.size + size
        small, large = self._small, self._large
        if holding.size > _SMALL_REQUEST:
            large -= holding.size
        else:
            small -= holding.size
        if self._fits(wanted, small, large):
            return True
        victims = []
        for victim in self._stalled(now):
            if victim is holding:
                continue
            victims.append(victim)
            if victim.size > _SMALL_REQUEST:
                large -= victim.size
            else:
                small -= victim.size
            if self._fits(wanted, small, large):
                for evicted in victims:
                    self._evict(evicted)
                return True
        return False

    def _fits(self, wanted: int, small: int, large: int) -> bool:
        """
        Return whether a request fits beside the small and the large others.
        """
        limits = self._limits
        if wanted <= _SMALL_REQUEST:
            has_room = small + large + wanted <= limits.shared
            return has_room or small + wanted <= limits.small
        if not large and wanted <= limits.alone:
            return True
        return large + wanted <= limits.shared - limits.small

    def _stalled(self, now: float) -> list[Holding]:
        """
        Return the requests whose clients make no progress, the longest stalled first.
        """
        stalled = [h for h in self._holdings if h.size and h.is_stalled(now)]
        return sorted(stalled, key=lambda holding: holding.progressed_at)

    def _evict(self, holding: Holding) -> None:
        self._evicted += 1
        self._resize(holding, 0)
        holding.is_evicted = True
        holding.on_evicted()
