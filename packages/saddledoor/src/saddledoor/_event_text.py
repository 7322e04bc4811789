# SPDX-License-Identifier: MIT

"""
Assembly of a text from numbered events of one or more runs.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = ["EventText", "GeneratedEvent", "TextSegment"]


@dataclass(frozen=True)
class GeneratedEvent:
    """
    An event of an engine's stream.

    :param number: Position in the text, from 1, without gaps.
    :param version: Weight version that made the event; none if unknown.
    """

    number: int
    data: str
    version: int | None


@dataclass(frozen=True)
class TextSegment:
    """
    Consecutive events of a text.

    :param events: Data of the events, in order.
    :param versions: Weight versions that made the text up to the last of these events,
        in order of appearance.
    :param chain: Id of the run that made the last event, as in `EventText`; empty
        without events.
    """

    events: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    chain: str = ""


class EventText:
    """
    Collects events in order; a later run resumes after the last collected event.

    :param chain: Id of this node's run of the text, which may use several engines;
        unique among all nodes that run the item.
    :param beginning: Beginning of the text, from a checkpoint; `None` for a new text.
    """

    @property
    def last(self) -> int:
        """
        Number of the last event; 0 before the first.
        """
        return len(self._events)

    @property
    def versions(self) -> tuple[int, ...]:
        """
        Weight versions that made the events, in order of appearance.
        """
        return tuple(self._versions)

    @property
    def text(self) -> str:
        """
        Data of all events, joined by line feeds.
        """
        return "\n".join(self._events)

    def __init__(self, chain: str, beginning: TextSegment | None = None) -> None:
        self._chain = chain
        self._events: list[str] = list(beginning.events) if beginning else []
        self._versions: list[int] = list(beginning.versions) if beginning else []

    def take(self, event: GeneratedEvent, oldest_version: int) -> bool:
        """
        Append an event.

        :param oldest_version: Oldest acceptable weight version.
        :returns: False if the event is not the next one, or if its weight version is
            unknown or too old; it is not appended then.
        """
        if event.number != len(self._events) + 1:
            return False
        if event.version is None or event.version < oldest_version:
            return False
        self._events.append(event.data)
        if event.version not in self._versions:
            self._versions.append(event.version)
        return True

    def since(self, number: int) -> TextSegment:
        """
        Return the events after an event number, with the versions of the whole text.
        """
        events = tuple(self._events[number:])
        return TextSegment(events, tuple(self._versions), self._chain)
