# SPDX-License-Identifier: MIT

"""
The state of a job item that this node runs.
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
    SendNeeds,
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
    A job item's text so far, and the task that generates it.

    :param text: Events received so far; those in the log are missing until `load`.
    :param task: Task that runs or scores the item; None while it waits for an engine.
    :param result_queued: Whether its result is queued for the log.
    :param result_logged: Whether the log holds its result.
    :param is_long: Whether its text is expected to be among the longest of its training
        step.
    :param failures: Number of failed runs; ahead of the number in the log.
    :param persisted: Number of events of the last checkpoint, queued or in the log.
    :param persisted_chain: Random id (chain) of the `EventText` that holds the last of
        them; each load or restart of a text begins a new chain.
    :param persisting: Whether the append of these events is in flight.
    :param loaded: Whether the events in the log have been read.
    :param stalls: Number of moves away from silent engines.
    :param pace_moves: Number of moves to faster engines.
    :param ineligible: Engines that are not eligible for the item at present.
    :param engines: Ids of the engines that it was sent to, in order.
    :param needs: What the gate has to check, by the newest configuration.
    :param times: Seconds spent in each phase.
    """

    state: JobState
    item: JobItem
    text: EventText
    task: asyncio.Task | None = None
    result_queued: bool = False
    result_logged: bool = False
    is_long: bool = False
    failures: int = 0
    persisted: int = 0
    persisted_chain: str = ""
    persisting: bool = False
    loaded: bool = False
    stalls: int = 0
    pace_moves: int = 0
    ineligible: set[Incarnation] = field(default_factory=set)
    engines: list[str] = field(default_factory=list)
    needs: SendNeeds = field(default_factory=SendNeeds)
    times: ItemTimes = field(default_factory=lambda: ItemTimes(boot_time()))

    @classmethod
    def create(
        cls, state: JobState, item: JobItem, needs: SendNeeds | None = None
    ) -> ItemRun:
        """
        Create the state of an item, with the number of failed runs in the log.

        :param needs: None for an item that every engine may get.
        """
        failures = state.failures(item.item_id)
        text = EventText(_new_chain())
        return cls(state, item, text, failures=failures, needs=needs or SendNeeds())

    async def load(self, texts: TextStore) -> None:
        """
        Read the events in the log, so that the next attempt resumes after them.

        :raises StoreUnavailableError: If they cannot be read now.
        :raises UndecodableRecordError: If they cannot be decoded.
        """
        if self.loaded:
            return
        logged = self.checkpointed_text
        data = await texts.read(logged.parts)
        events = tuple(event for part in data for event in decode_events(part))
        self.text = EventText(
            _new_chain(), TextSegment(events, logged.versions, logged.chain)
        )
        self.persisted = logged.count
        self.persisted_chain = logged.chain
        self.loaded = True

    @cached_property
    def key(self) -> str:
        """
        Identifies the item's request across jobs.
        """
        sent = self.request
        return request_key(
            sent.host, sent.method, sent.target, sent.body, sent.request_id
        )

    @property
    def name(self) -> str:
        """
        Identifies the item among all items of this node.
        """
        return f"{self.state.job.job_id}/{self.item.item_id}"

    @property
    def checkpointed_text(self) -> CheckpointedText:
        """
        The events of the text in the log, as far as this node has read it.
        """
        return self.state.kept.get(self.item.item_id, CheckpointedText())

    @property
    def is_idle(self) -> bool:
        """
        Whether the item waits for an engine.
        """
        return self.task is None and not self.result_queued

    @property
    def has_events(self) -> bool:
        """
        Whether the current attempt has received an event.
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

    def discard_text(self) -> None:
        """
        Discard the text, so that the next attempt starts from the prompt.
        """
        self.text = EventText(_new_chain())
        self.persisted = 0
        self.persisted_chain = ""
        self.loaded = True

    @property
    def unpersisted(self) -> int:
        """
        Number of events not yet handed to the record writer.
        """
        return self.text.last - self.persisted

    def persist(self, writer: RecordWriter) -> None:
        """
        Queue the new events for the log.

        All events are queued if the log holds those of another node, which wrote late
        or ran the item at the same time.
        """
        if self.unpersisted <= 0:
            return
        held = self.checkpointed_text
        queued = (self.persisted, self.persisted_chain)
        if not self.persisting and (held.count, held.chain) != queued:
            self.persisted, self.persisted_chain = 0, ""
        part = self.text.since(self.persisted)
        record = partial(
            ItemCheckpoint,
            self.state.job.job_id,
            self.item.item_id,
            self.persisted + 1,
            len(part.events),
            self.persisted_chain,
            part.chain,
            part.versions,
        )
        self.persisting = True
        writer.put_with_text(
            encode_events(part.events),
            record,
            self._record_persisted,
            self.needs.regions,
        )
        self.persisted = self.text.last
        self.persisted_chain = part.chain

    def _record_persisted(self) -> None:
        self.persisting = False


def _new_chain() -> str:
    return secrets.token_hex(4)
