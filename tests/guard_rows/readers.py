# SPDX-License-Identifier: MIT

"""
Guards of reads of jobs at any VM.
"""

from __future__ import annotations

from .guard import DAEMON, EDGE_READERS, JOB_READERS, LIBRARY, Guard


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "a VM that has just started answers readers once it has read the log",
        f"{DAEMON}/jobs/service.py",
        "is_unsure = state is None or not self.caught_up",
        "is_unsure = state is None",
        (JOB_READERS, "just_started"),
    ),
    Guard(
        "a position that a VM does not know is read from the log first",
        f"{DAEMON}/jobs/service.py",
        """            if not await self._follower.sync():
                _log.info("results_unsure",""",
        """            if False:
                _log.info("results_unsure",""",
        (JOB_READERS, "lags_behind"),
    ),
    Guard(
        "the end of a job that is listed whole needs no read of the log",
        f"{DAEMON}/jobs/service.py",
        "is_complete = len(state.results) == state.job.size",
        "is_complete = False",
        (JOB_READERS, "cut_off_answers"),
    ),
    Guard(
        "an edge without the store answers the end of a job that it knows",
        f"{DAEMON}/jobs/service.py",
        "is_complete = len(state.results) == state.job.size",
        "is_complete = False",
        (EDGE_READERS, "without_the_store"),
    ),
    Guard(
        "a read is not answered from a job whose records were dropped meanwhile",
        f"{DAEMON}/jobs/service.py",
        "if self._fold.get(job_id) is not state:",
        "if False:",
        (JOB_READERS, "drops_the_jobs_records"),
    ),
    Guard(
        "the id of another workspace's job is read from the log before a submission",
        f"{DAEMON}/jobs/service.py",
        "return job.workspace is None or await self._follower.sync()",
        "return True",
        (JOB_READERS, "another_workspace"),
    ),
    Guard(
        "a page of texts is read once for all readers that wait for it",
        f"{DAEMON}/jobs/texts.py",
        "                request.page = read",
        "                request.page = None",
        (JOB_READERS, "share_the_reads"),
    ),
    Guard(
        "an item's first result determines whether it was given up",
        f"{LIBRARY}/_job_fold.py",
        "            if result.item_id not in state.listed:",
        "            if True:",
        (JOB_READERS, "given_up"),
    ),
    Guard(
        "readers that wait for the end of the log share a read",
        f"{DAEMON}/cluster/follow.py",
        "        async with self._sync_lock:",
        "        async with asyncio.Lock():",
        (JOB_READERS, "share_the_reads"),
    ),
)
