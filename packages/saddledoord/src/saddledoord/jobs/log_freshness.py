# SPDX-License-Identifier: MIT

"""
Decides whether this node's knowledge of the jobs' log is fresh enough to send work.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


__all__ = ["LogFreshness", "LogReadState"]

#: Freshness limit while the store is reachable, as a share of the cancel limit.
_FRESH_SHARE = 2 / 3
#: Freshness limit for items while the store is unreachable, in seconds. No job can end
#: then, but another node may have claimed this node's share.
_UNREACHABLE_LIMIT = 6.0


@dataclass(frozen=True)
class LogReadState:
    """
    How far this node has read the jobs' log; times are monotonic, in seconds.

    :param synced_at: When this node last had read the whole log.
    :param is_store_reachable: Whether the store answered the last read.
    :param resumed_at: When the process last resumed after a pause.
    """

    synced_at: float
    is_store_reachable: bool
    resumed_at: float


class LogFreshness:
    """
    Tells whether this node would know that a job has ended.

    After a process pause it cannot tell before the log has been read again. The read in
    flight during the pause times out on resume, which looks like an unreachable store
    although other nodes may have ended jobs.

    :param read_state: Returns how far the log has been read.
    :param cancel_limit: Time after the end of a job from which no work of it may reach
        an engine, in seconds.
    """

    def __init__(
        self, read_state: Callable[[], LogReadState], cancel_limit: float
    ) -> None:
        self._read_state = read_state
        self.set_cancel_limit(cancel_limit)

    def set_cancel_limit(self, cancel_limit: float) -> None:
        """
        Change the cancel limit, in seconds.
        """
        self._fresh_for = _FRESH_SHARE * cancel_limit

    def may_start(self, now: float) -> bool:
        """
        Whether items may be sent to engines.
        """
        return self._is_fresh(now, _UNREACHABLE_LIMIT)

    def may_score(self, now: float) -> bool:
        """
        Whether texts may be scored.

        There is no limit while the store is unreachable, so that results can be listed
        as soon as it is back.
        """
        return self._is_fresh(now, float("inf"))

    def _is_fresh(self, now: float, limit_unreachable: float) -> bool:
        read_state = self._read_state()
        if read_state.synced_at < read_state.resumed_at:
            return False
        limit = self._fresh_for if read_state.is_store_reachable else limit_unreachable
        return now - read_state.synced_at < limit
