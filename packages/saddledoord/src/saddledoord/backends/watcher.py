# SPDX-License-Identifier: MIT

"""
Watches back ends: each has one watcher in its data centre, chosen by rendezvous.
"""

from __future__ import annotations

import asyncio

import aiohttp

from saddledoor import BackendReport, Engine, Instance, rendezvous

from .._clock import boot_time
from .._state import NodeState
from .client import Backends


__all__ = ["Watcher", "backends_here"]

#: Longest wait for a back end's load, in seconds.
_TIMEOUT = 1.0


def backends_here(state: NodeState) -> list[Engine | Instance]:
    """
    Return the engines and service instances of the own data centre.
    """
    deployment = state.deployment
    if deployment is None:
        return []
    members: list[Engine | Instance] = []
    for pool in deployment.pools:
        members += [e for e in pool.engines if e.data_centre == state.data_centre]
    for service in deployment.services:
        members += [i for i in service.instances if i.data_centre == state.data_centre]
    return members


class Watcher:
    """
    Reads the load of the back ends that this VM is responsible for.
    """

    def __init__(self, state: NodeState, backends: Backends) -> None:
        self._state = state
        self._backends = backends
        self._reports: dict[str, BackendReport] = {}

    def reports(self) -> tuple[BackendReport, ...]:
        """
        Return this VM's own readings, for its entry.
        """
        return tuple(self._reports.values())

    async def run(self) -> None:
        """
        Read again and again until cancelled.
        """
        while True:
            mine = self._responsible_for()
            for name in set(self._reports) - {member.name for member in mine}:
                del self._reports[name]
            await asyncio.gather(*(self.read(member) for member in mine))
            await asyncio.sleep(self._state.settings.timings.watch)

    async def read(self, member: Engine | Instance) -> BackendReport:
        """
        Read one back end now and keep what it said.
        """
        try:
            reading = await self._backends.read_load(member.address, _TIMEOUT)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            report = BackendReport(member.name, False, 0.0, boot_time())
        else:
            report = BackendReport(
                member.name,
                True,
                reading.load,
                boot_time(),
                reading.leaving,
                reading.versions,
            )
        self._reports[member.name] = report
        if report.leaving:
            self._state.note_leaving()
        return report

    def _responsible_for(self) -> list[Engine | Instance]:
        live = self._state.live_vms()
        return [
            member
            for member in backends_here(self._state)
            if rendezvous(f"watch/{member.name}", live) == self._state.settings.vm
        ]
