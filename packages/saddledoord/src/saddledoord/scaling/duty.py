# SPDX-License-Identifier: MIT

"""
Runs the controller while the configuration has a service with limits for scaling.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog

from saddledoor.scaling import EngineGroup

from ..cluster.view import ClusterView
from ..duties.lease import DutyLease
from ..supervision import keep_running
from .controller import ScalingController


__all__ = ["ScalingDuty"]

_log = structlog.get_logger()


class ScalingDuty:
    """
    One node's part of the ordering of engines.

    :param new_lease: Returns the duty's lease; called at each start, since a lease that
        was released is not claimed again.
    :param new_controller: Returns the controller for a lease.
    """

    def __init__(
        self,
        view: ClusterView,
        new_lease: Callable[[], DutyLease],
        new_controller: Callable[[DutyLease], ScalingController],
    ) -> None:
        self._view = view
        self._new_lease = new_lease
        self._new_controller = new_controller
        self._lease: DutyLease | None = None
        self._controller: ScalingController | None = None
        self._tasks: list[asyncio.Task] = []
        self._releases: set[asyncio.Task] = set()
        self._may_run = False

    def start(self) -> None:
        """
        Allow the duty to run.
        """
        self._may_run = True
        self.follow_config()

    def follow_config(self) -> None:
        """
        Start or stop the duty, as the newest configuration asks for.
        """
        config = self._view.config
        services = config.services.values() if config is not None else ()
        is_wanted = self._may_run and any(s.scaling is not None for s in services)
        if is_wanted and self._controller is None:
            _log.info("scaling_started")
            self._lease = self._new_lease()
            self._controller = self._new_controller(self._lease)
            for loop in (self._lease.run, self._controller.run):
                self._tasks.append(asyncio.create_task(keep_running(loop)))
        elif not is_wanted and self._controller is not None:
            _log.info("scaling_stopped")
            release = asyncio.create_task(self._stop())
            self._releases.add(release)
            release.add_done_callback(self._releases.discard)

    def counts(self) -> dict[tuple[str, str, EngineGroup], int]:
        """
        Return the numbers of engines; see `ScalingController.counts`.
        """
        return self._controller.counts() if self._controller is not None else {}

    def engine_seconds(self) -> dict[tuple[str, EngineGroup], float]:
        """
        Return the seconds of engines seen; see `ScalingController`.
        """
        return self._controller.engine_seconds if self._controller is not None else {}

    async def release(self) -> None:
        """
        End the duty and release the lease, so that another node orders.
        """
        self._may_run = False
        await self._stop()

    async def close(self) -> None:
        """
        Cancel the tasks.
        """
        self._may_run = False
        self._cancel()

    async def _stop(self) -> None:
        lease, tasks = self._lease, self._tasks
        self._tasks = []
        self._lease = self._controller = None
        try:
            # Before the tasks are cancelled: an order in flight gets its answer.
            if lease is not None:
                await lease.release()
        finally:
            _cancel_all(tasks)

    def _cancel(self) -> None:
        _cancel_all([*self._tasks, *self._releases])
        self._tasks = []
        self._lease = self._controller = None


def _cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
