# SPDX-License-Identifier: MIT

"""
Follows streams of the log, and folds the configuration.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

import structlog

from saddledoor import (
    ConfigFold,
    ConfigVerdict,
    Record,
    deployment_from_json,
    encode_record,
    rendezvous_order,
    unpack_document,
)
from saddledoor.exceptions import InvalidDocumentError, UndecodableRecordError
from saddledoor.tracing import RecordFolded

from .._state import NodeState
from .client import LogClient, LogPage, LogUnavailableError


__all__ = ["CONFIG_STREAM", "StreamFollower", "follow_config"]

#: The stream of configurations and verdicts on them.
CONFIG_STREAM = "config"

_log = structlog.get_logger()

#: Pause after a failed call to the log, in seconds.
_RETRY_PAUSE = 0.3
#: Delay per rank of a VM before it appends a verdict on a proposal, in seconds.
_VERDICT_DELAY = 0.3


class StreamFollower:
    """
    Reads one stream in order, by long polls.

    :param begin: Called with the offset of the oldest record, before the first record
        is applied and again if the log dropped records that were not read yet.
    :param apply: Called with each offset and record.
    :param pause: Least time between long polls, in seconds.
    """

    @property
    def next_offset(self) -> int:
        """
        Offset of the next record to read; -1 before the first read.
        """
        return self._next

    @property
    def caught_up(self) -> bool:
        """
        Whether all records that were in the stream at the start have been read.
        """
        return self._caught_up

    @property
    def is_reachable(self) -> bool:
        """
        Whether the log answered the newest read of the stream by `run`.
        """
        return self._is_reachable

    def __init__(
        self,
        log: LogClient,
        state: NodeState,
        stream: str,
        begin: Callable[[int], None],
        apply: Callable[[int, Record | None], None],
        pause: float = 0.0,
    ) -> None:
        self._pause = pause
        self._log = log
        self._state = state
        self._stream = stream
        self._begin = begin
        self._apply = apply
        self._next = -1
        self._caught_up = False
        self._is_reachable = False
        self.wait = state.settings.timings.log_wait

    async def run(self) -> None:
        """
        Follow until cancelled.
        """
        while True:
            try:
                if self._caught_up:
                    await self.poll(self.wait)
                else:
                    await self.catch_up()
                self._note(answered=True)
                await asyncio.sleep(self._pause)
            except LogUnavailableError:
                self._note(answered=False)
                await asyncio.sleep(_RETRY_PAUSE)

    async def poll(self, wait: float) -> None:
        """
        Read once and apply the records.

        :raises LogUnavailableError: If the log gave no answer.
        """
        page = await self._log.read(self._stream, max(self._next, 0), wait)
        self._apply_page(page)

    async def catch_up(self) -> None:
        """
        Read all records of the stream.

        :raises LogUnavailableError: If the log gave no answer.
        """
        previous = -2
        while self._next != previous:
            previous = self._next
            await self.poll(0.0)
        self._caught_up = True

    def _note(self, answered: bool) -> None:
        self._is_reachable = answered
        self._state.log.note(answered=answered)

    def _apply_page(self, page: LogPage) -> None:
        # A long poll and a catch-up may run concurrently: records that were applied
        # already are skipped.
        if page.first > self._next:
            self._begin(page.first)
            self._next = max(self._next, page.first)
        for entry in page.records:
            if entry.offset >= self._next:
                self._next = entry.offset + 1
                self._apply(entry.offset, entry.record)
        self._next = max(self._next, page.next_offset if not page.records else 0)


def follow_config(
    log: LogClient, state: NodeState, spawn: Callable[..., object]
) -> StreamFollower:
    """
    Return the follower of the configuration stream.

    :param spawn: Runs a coroutine in the background.
    """

    def begin_config(first: int) -> None:
        if state.config_fold is None or first > 0:
            state.config_fold = ConfigFold.starting_at(first)

    def apply_config(offset: int, record: Record | None) -> None:
        if record is None:
            return
        first = state.config_fold.first_offset
        state.trace(
            RecordFolded(CONFIG_STREAM, offset, 0.0, encode_record(record), first)
        )
        state.config_fold = state.config_fold.apply(offset, record)
        state.offer_config(state.config_fold.accepted)
        if offset in state.config_fold.pending:
            spawn(_append_verdict(log, state, offset))

    return StreamFollower(log, state, CONFIG_STREAM, begin_config, apply_config)


async def _append_verdict(log: LogClient, state: NodeState, offset: int) -> None:
    """
    Append a verdict, unless another VM appends one first.
    """
    await asyncio.sleep(_verdict_rank(state, offset) * _VERDICT_DELAY)
    while offset in state.config_fold.pending:
        verdict = _verdict(state, offset)
        try:
            await log.append(CONFIG_STREAM, [verdict])
            return
        except LogUnavailableError:
            await asyncio.sleep(_RETRY_PAUSE)


def _verdict_rank(state: NodeState, offset: int) -> int:
    """
    Return this VM's rank for a verdict; each data centre spans two ranks.
    """
    key = f"verdict/{offset}"
    deployment = state.deployment
    sites = deployment.data_centres if deployment else (state.data_centre,)
    site_order = rendezvous_order(key, sites)
    vms = rendezvous_order(key, state.live_vms())
    site = site_order.index(state.data_centre) if state.data_centre in site_order else 0
    own = vms.index(state.settings.vm) if state.settings.vm in vms else len(vms)
    return site * 2 + own


def _verdict(state: NodeState, offset: int) -> ConfigVerdict:
    proposal = state.config_fold.pending[offset]
    try:
        deployment = deployment_from_json(unpack_document(proposal.document))
    except (InvalidDocumentError, UndecodableRecordError) as error:
        return ConfigVerdict(offset, valid=False, reason=str(error)[:2000])
    if deployment.name != state.settings.deployment:
        reason = f"it is the deployment {deployment.name!r}"
        return ConfigVerdict(offset, valid=False, reason=reason)
    return ConfigVerdict(offset, valid=True)


def new_record_id() -> str:
    """
    Return a unique id for a record.
    """
    return uuid.uuid4().hex
