# SPDX-License-Identifier: MIT

"""
The memory held for the request that the current task serves.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextvars import ContextVar

from saddledoor import Holding, MemoryBudget

from ._clock import boot_time


__all__ = [
    "ClientLeftError",
    "NoRoomError",
    "RequestMemory",
    "release_room",
    "take_room",
]


class NoRoomError(Exception):
    """
    There is no memory for a request; nothing of it has run.
    """


class ClientLeftError(Exception):
    """
    The client has closed its connection before the end of its request.
    """


class RequestMemory:
    """
    A request's memory, taken from the budget of the process.
    """

    def __init__(self, budget: MemoryBudget, holding: Holding) -> None:
        self._budget = budget
        self._holding = holding

    @classmethod
    @contextlib.contextmanager
    def open(
        cls, budget: MemoryBudget, on_evicted: Callable[[], None]
    ) -> Iterator[RequestMemory]:
        """
        Hold memory for a request; `take_room` takes it within the context.

        :param on_evicted: Called when the request loses its memory to another one.
        """
        memory = cls(budget, budget.open(on_evicted, boot_time()))
        token = _current.set(memory)
        try:
            yield memory
        finally:
            _current.reset(token)
            budget.close(memory._holding)

    def take(self, size: int) -> bool:
        """
        Take room for bytes; return whether there is any.
        """
        return self._budget.take(self._holding, size, boot_time())

    def release(self, size: int) -> None:
        """
        Release a part of the room.

        :param size: In bytes.
        """
        self._budget.release(self._holding, size)

    def wait_for_client(self) -> None:
        """
        Record that the client has to send or to read.
        """
        self._holding.wait_for_client(boot_time())

    def record_transfer(self, size: int) -> None:
        """
        Record bytes that the client has sent or read.
        """
        self._holding.record_transfer(size, boot_time())

    def end_wait(self) -> None:
        """
        Record that the client has sent or read everything.
        """
        self._holding.end_wait()


_current: ContextVar[RequestMemory | None] = ContextVar("request_memory", default=None)


def take_room(size: int) -> bool:
    """
    Take room for bytes of the request that the current task serves.

    :param size: In bytes.
    :returns: Whether there is room; also true outside of a request.
    """
    memory = _current.get()
    return memory is None or memory.take(size)


def release_room(size: int) -> None:
    """
    Release room of the request that the current task serves.

    :param size: In bytes.
    """
    memory = _current.get()
    if memory is not None:
        memory.release(size)
