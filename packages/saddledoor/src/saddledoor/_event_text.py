# SPDX-License-Identifier: MIT

"""
A text put together from numbered events of one or more runs.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = ["EventText", "GeneratedEvent", "TextSegment"]


@dataclass(frozen=True)
class GeneratedEvent:
    """
    An event of an engine's stream.

    :param number: From 1, without gaps within one text.
    :param version: Weight version that made it.
    """

    number: int
    data: str
    version: int | None


@dataclass(frozen=True)
class TextSegment:
    """
    A part of a text, and what is known of the whole up to its end.

    :param events: Data of its events, in order.
    :param versions: Weight versions that made the text so far, in order of appearance.
    :param chain: Names the run of the last of them; empty for no events.
    """

    events: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    chain: str = ""


class EventText:
    """
    Takes events in order; a later run goes on after the last one taken.

    :param chain: Names what this node takes, among all nodes that run the item.
    :param kept: What others have made of the text.
    """

    @property
    def last(self) -> int:
        """
        Number of the newest event; 0 before the first.
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
        Data of all events, with line feeds between them.
        """
        return "\n".join(self._events)

    def __init__(self, chain: str, kept: TextSegment | None = None) -> None:
        self._chain = chain
        self._events: list[str] = list(kept.events) if kept else []
        self._versions: list[int] = list(kept.versions) if kept else []

    def take(self, event: GeneratedEvent, oldest_version: int) -> bool:
        """
        Take the next event.

        :returns: False if it is not the next one, or if the weights that made it are
            unknown or too old; nothing was taken then.
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
        Return the events after one, with the versions that made any of the text.
        """
        events = tuple(self._events[number:])
        return TextSegment(events, tuple(self._versions), self._chain)
