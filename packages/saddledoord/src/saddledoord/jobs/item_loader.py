# SPDX-License-Identifier: MIT

"""
Reads the items of the jobs that this node runs.
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
#: Longest pause after reads that brought unusable bytes, in seconds, doubled each time:
#: all later reads will bring the same, unless the fault was on the way.
_PAUSE_MOST = 10.0


class ItemLoader:
    """
    One read for each job at a time.

    :param tried: Called after each read, whether it brought the items or not.
    """

    @property
    def unreadable(self) -> int:
        """
        Jobs whose items could not be read so far, a count.
        """
        return self._unreadable

    def __init__(self, jobs: JobService, tried: Callable[[], None]) -> None:
        self._jobs = jobs
        self._tried = tried
        self._reads: dict[str, asyncio.Task] = {}
        self._unreadable = 0

    def request_items(self, state: JobState) -> None:
        """
        Have a job's items read unless they are known or being read.
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
        self._tried()

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
                    self._note_unreadable(state, error)
            await asyncio.sleep(pause)
            pause = min(_PAUSE_MOST, 2 * pause)

    def _note_unreadable(self, state: JobState, error: UndecodableRecordError) -> None:
        self._unreadable += 1
        _log.error("items_unreadable", job=state.job.job_id, reason=str(error))
