# SPDX-License-Identifier: MIT

"""
Polls the load of backend servers; rendezvous hashing assigns each to one local VM.
"""

from __future__ import annotations

import asyncio

import aiohttp

from saddledoor import BackendReport, Engine, Instance, rendezvous

from .._clock import boot_time
from .._state import NodeState
from .client import BackendClient


__all__ = ["Watcher", "local_backends"]

#: Timeout of reading a backend server's load, in seconds.
_READ_TIMEOUT = 1.0


def local_backends(state: NodeState) -> list[Engine | Instance]:
    """
    Return the engines and service instances of this VM's data centre.
    """
    deployment = state.deployment
    if deployment is None:
        return []
    backends: list[Engine | Instance] = []
    for pool in deployment.pools:
        backends += [e for e in pool.engines if e.data_centre == state.data_centre]
    for service in deployment.services:
        backends += [i for i in service.instances if i.data_centre == state.data_centre]
    return backends


class Watcher:
    """
    Reads the load of the backend servers that are assigned to this VM.
    """

    def __init__(self, state: NodeState, backends: BackendClient) -> None:
        self._state = state
        self._backends = backends
        self._reports: dict[str, BackendReport] = {}

    def reports(self) -> tuple[BackendReport, ...]:
        """
        Return this VM's own reports, for its member entry.
        """
        return tuple(self._reports.values())

    async def run(self) -> None:
        """
        Read all assigned backend servers periodically until cancelled.
        """
        while True:
            assigned = self._assigned_backends()
            for name in set(self._reports) - {backend.name for backend in assigned}:
                del self._reports[name]
            await asyncio.gather(*(self.read(backend) for backend in assigned))
            await asyncio.sleep(self._state.settings.timings.watch)

    async def read(self, backend: Engine | Instance) -> BackendReport:
        """
        Read one backend server now and store the report.
        """
        try:
            reading = await self._backends.read_load(backend.address, _READ_TIMEOUT)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            report = BackendReport(backend.name, False, 0.0, boot_time())
        else:
            report = BackendReport(
                backend.name,
                True,
                reading.load,
                boot_time(),
                reading.leaving,
                reading.versions,
            )
        self._reports[backend.name] = report
        if report.leaving:
            self._state.note_leaving()
        return report

    def _assigned_backends(self) -> list[Engine | Instance]:
        live = self._state.live_vms()
        return [
            backend
            for backend in local_backends(self._state)
            if rendezvous(f"watch/{backend.name}", live) == self._state.settings.vm
        ]
