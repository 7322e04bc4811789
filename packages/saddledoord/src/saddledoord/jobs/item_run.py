# SPDX-License-Identifier: MIT

"""
What a node holds of an item that it runs.
"""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field

from saddledoor import EventText, ItemKept, JobItem, JobState, KeptText

from ..ports import ForwardedRequest


__all__ = ["ItemRun"]


@dataclass
class ItemRun:
    """
    An item's text so far and the task that works on it.

    :param task: None while no engine works on it.
    :param listing: Whether its result is on its way into the log.
    :param failures: Failed runs, a count; the log's own lags behind this node's.
    :param kept: Events that were given to the log, a count.
    :param kept_chain: The chain that the last of them belongs to.
    :param moves: Moves away from silent engines, a count.
    :param unfit: Engines that cannot run it now, by id.
    """

    state: JobState
    item: JobItem
    text: EventText
    task: asyncio.Task | None = None
    listing: bool = False
    failures: int = 0
    kept: int = 0
    kept_chain: str = ""
    moves: int = 0
    unfit: set[str] = field(default_factory=set)

    @classmethod
    def begin(cls, state: JobState, item: JobItem) -> ItemRun:
        """
        Take an item up where the log says that others left it.
        """
        kept = state.kept.get(item.item_id, KeptText((), ()))
        text = EventText(_new_chain(), kept)
        failures = state.failures(item.item_id)
        return cls(
            state,
            item,
            text,
            failures=failures,
            kept=text.last,
            kept_chain=kept.chain,
        )

    @property
    def is_idle(self) -> bool:
        """
        Whether it waits for an engine.
        """
        return self.task is None and not self.listing

    @property
    def request(self) -> ForwardedRequest:
        """
        The item as a request to an engine.
        """
        item = self.item
        host = self.state.job.host
        return ForwardedRequest(
            "POST", host, item.path, item.headers, item.body, item.item_id
        )

    def start_over(self) -> None:
        """
        Drop the text made so far.
        """
        self.text = EventText(_new_chain())
        self.kept = 0
        self.kept_chain = ""

    def unkept(self) -> ItemKept | None:
        """
        Return the events that the log has not been given, and count them as given.
        """
        if self.text.last <= self.kept:
            return None
        record = ItemKept(
            self.state.job.job_id,
            self.item.item_id,
            self.kept + 1,
            self.kept_chain,
            self.text.since(self.kept),
        )
        self.kept = self.text.last
        self.kept_chain = record.kept.chain
        return record


def _new_chain() -> str:
    return secrets.token_hex(4)
