# SPDX-License-Identifier: MIT

"""
What a node holds of an item that it runs.
"""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field
from functools import cached_property, partial

from saddledoor import (
    CheckpointedText,
    EventText,
    Incarnation,
    ItemCheckpoint,
    JobItem,
    JobState,
    TextSegment,
    decode_events,
    encode_events,
    request_key,
)

from .._clock import boot_time
from ..ports import ForwardedRequest
from .item_times import ItemPhase, ItemTimes
from .record_writer import RecordWriter
from .texts import TextStore


__all__ = ["ItemRun"]


@dataclass(eq=False)
class ItemRun:
    """
    An item's text so far and the task that works on it.

    :param text: Without the kept events until they are loaded.
    :param task: None while no engine works on it.
    :param listing: Whether its result is on its way into the log.
    :param written: Whether the log holds its result.
    :param is_long: Whether its text is expected to be among the step's longest.
    :param failures: Failed runs, a count; the log's own lags behind this node's.
    :param kept: Events that were given to the log, a count.
    :param kept_chain: The chain that the last of them belongs to.
    :param writing: Whether events given to the log are still on their way.
    :param loaded: Whether what others made of the text has been read.
    :param stalls: Moves away from silent engines, a count.
    :param pace_moves: Moves to faster engines, a count.
    :param barred: Whether engines are kept from it, which ended under it.
    :param unfit: Engines that cannot run it now.
    :param engines: Where it was sent, by id, in order.
    :param times: Where its time has gone.
    """

    state: JobState
    item: JobItem
    text: EventText
    task: asyncio.Task | None = None
    listing: bool = False
    written: bool = False
    is_long: bool = False
    failures: int = 0
    kept: int = 0
    kept_chain: str = ""
    writing: bool = False
    loaded: bool = False
    stalls: int = 0
    pace_moves: int = 0
    barred: bool = False
    unfit: set[Incarnation] = field(default_factory=set)
    engines: list[str] = field(default_factory=list)
    times: ItemTimes = field(default_factory=lambda: ItemTimes(boot_time()))

    @classmethod
    def begin(cls, state: JobState, item: JobItem) -> ItemRun:
        """
        Take an item up where the log says that others left it.
        """
        failures = state.failures(item.item_id)
        return cls(state, item, EventText(_new_chain()), failures=failures)

    async def load(self, texts: TextStore) -> None:
        """
        Read what others made of the text, so that the next run goes on there.

        :raises StoreUnavailableError: If it cannot be had now.
        :raises UndecodableRecordError: If it is not what a node writes.
        """
        if self.loaded:
            return
        kept = self.held_by_log
        data = await texts.read(kept.parts)
        events = tuple(event for part in data for event in decode_events(part))
        self.text = EventText(
            _new_chain(), TextSegment(events, kept.versions, kept.chain)
        )
        self.kept = kept.count
        self.kept_chain = kept.chain
        self.loaded = True

    @cached_property
    def key(self) -> str:
        """
        What tells the item from others, in this job or another one.
        """
        sent = self.request
        return request_key(
            sent.host, sent.method, sent.target, sent.body, sent.request_id
        )

    @property
    def held_by_log(self) -> CheckpointedText:
        """
        What the log holds of the text, as far as this node has read it.
        """
        return self.state.kept.get(self.item.item_id, CheckpointedText())

    @property
    def is_idle(self) -> bool:
        """
        Whether it waits for an engine.
        """
        return self.task is None and not self.listing

    @property
    def has_events(self) -> bool:
        """
        Whether the engine that works on it has made events.
        """
        return self.times.phase in (ItemPhase.EVENTS, ItemPhase.PAUSE)

    @property
    def request(self) -> ForwardedRequest:
        """
        The item as a request to an engine.
        """
        item, job = self.item, self.state.job
        return ForwardedRequest(
            "POST",
            job.host,
            item.path,
            item.headers,
            item.body,
            item.item_id,
            workspace=job.workspace,
        )

    def start_over(self) -> None:
        """
        Drop the text made so far.
        """
        self.text = EventText(_new_chain())
        self.kept = 0
        self.kept_chain = ""
        self.loaded = True

    @property
    def unkept(self) -> int:
        """
        Events that the log has not been given, a count.
        """
        return self.text.last - self.kept

    def persist(self, writer: RecordWriter) -> None:
        """
        Give the log the events that it has not been given.

        All of them if it holds another run's: that one's last events came between, or
        two nodes ran the item at once.
        """
        if self.unkept <= 0:
            return
        held = self.held_by_log
        given = (self.kept, self.kept_chain)
        if not self.writing and (held.count, held.chain) != given:
            self.kept, self.kept_chain = 0, ""
        part = self.text.since(self.kept)
        record = partial(
            ItemCheckpoint,
            self.state.job.job_id,
            self.item.item_id,
            self.kept + 1,
            len(part.events),
            self.kept_chain,
            part.chain,
            part.versions,
        )
        self.writing = True
        writer.put_with_text(encode_events(part.events), record, self._written)
        self.kept = self.text.last
        self.kept_chain = part.chain

    def _written(self) -> None:
        self.writing = False


def _new_chain() -> str:
    return secrets.token_hex(4)
