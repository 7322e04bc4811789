# SPDX-License-Identifier: MIT

"""
Reads the items of the jobs that this node runs from the log, in the background.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from saddledoor import JobState
from saddledoor.exceptions import UndecodableRecordError

from ..ports import StoreUnavailableError
from .service import JobService


__all__ = ["ItemLoader"]

_log = structlog.get_logger()

#: Pause after a read that failed, in seconds.
_PAUSE = 0.1
#: Longest pause after a read of undecodable items, in seconds; doubled at each retry.
#: A retry helps only if the bytes were damaged in transit.
_MAX_PAUSE = 10.0


class ItemLoader:
    """
    Loads the items of jobs, with one read for each job at a time.

    :param on_read_ended: Called when the read of a job has ended, successful or not.
    """

    @property
    def unreadable(self) -> int:
        """
        Number of jobs whose items could not be decoded.
        """
        return self._unreadable

    def __init__(self, jobs: JobService, on_read_ended: Callable[[], None]) -> None:
        self._jobs = jobs
        self._on_read_ended = on_read_ended
        self._reads: dict[str, asyncio.Task] = {}
        self._unreadable = 0

    def request_items(self, state: JobState) -> None:
        """
        Start to read a job's items unless they are known or being read.
        """
        job_id = state.job.job_id
        if state.items is not None or job_id in self._reads:
            return
        task = asyncio.create_task(self._read(state))
        self._reads[job_id] = task
        task.add_done_callback(lambda task: self._ended(job_id, task))

    def _ended(self, job_id: str, task: asyncio.Task) -> None:
        del self._reads[job_id]
        if task.cancelled():
            return
        if task.exception() is not None:
            _log.error("items_task_failed", job=job_id, exc_info=task.exception())
        self._on_read_ended()

    async def _read(self, state: JobState) -> None:
        pause = _PAUSE
        while not state.ended:
            try:
                await self._jobs.load_items(state)
                return
            except StoreUnavailableError as error:
                job_id = state.job.job_id
                _log.warning("items_not_loaded", job=job_id, reason=str(error))
                await asyncio.sleep(_PAUSE)
                return
            except UndecodableRecordError as error:
                if pause == _PAUSE:
                    self._record_unreadable(state, error)
            await asyncio.sleep(pause)
            pause = min(_MAX_PAUSE, 2 * pause)

    def _record_unreadable(
        self, state: JobState, error: UndecodableRecordError
    ) -> None:
        self._unreadable += 1
        _log.error("items_unreadable", job=state.job.job_id, reason=str(error))
