# SPDX-License-Identifier: MIT

"""
Reads the platform's list of VMs and closes channels to removed VMs.
"""

from __future__ import annotations

import asyncio

import aiohttp

from .._clock import boot_time
from .._state import NodeState
from .client import PeerClient


__all__ = ["VmListReader"]

#: Delay before a requested refresh of the list, in seconds.
_REFRESH_DELAY = 2.0


class VmListReader:
    """
    Refreshes the list of VMs at a long interval or on request.

    The list names every VM and may lag behind; it only serves to find peers.
    """

    def __init__(self, state: NodeState, peers: PeerClient) -> None:
        self._state = state
        self._peers = peers
        self._refresh_requested = asyncio.Event()
        self._closing: asyncio.Task | None = None

    def request_refresh(self) -> None:
        """
        Request an early refresh because no peer responded.
        """
        self._refresh_requested.set()

    async def run(self, session: aiohttp.ClientSession) -> None:
        """
        Refresh the list until cancelled.
        """
        settings = self._state.settings
        limit = aiohttp.ClientTimeout(total=settings.timings.log_timeout)
        while True:
            try:
                async with session.get(
                    f"{settings.vm_list}/v1/vms", timeout=limit
                ) as response:
                    data = await response.json()
                    vms = {str(item["vm"]): item for item in data["vms"]}
                self._state.vm_list = vms
                self._close_stale_channels()
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
                # Keeps the last list while the platform is unavailable.
                pass
            await self._wait_until_due()

    def _close_stale_channels(self) -> None:
        # VMs are replaced often; a channel to a removed VM is never used again.
        if self._closing is not None and not self._closing.done():
            return
        known = {m.grpc for m in self._state.members.all_entries()}
        known |= {m.grpc_outside for m in self._state.members.all_entries()}
        for item in self._state.vm_list.values():
            known |= {item["grpc"], item.get("grpc_outside", item["grpc"])}
        for site in self._state.members.sites(boot_time()):
            known |= set(site.peers)
        self._closing = asyncio.create_task(self._peers.close_channels_except(known))

    async def _wait_until_due(self) -> None:
        self._refresh_requested.clear()
        try:
            async with asyncio.timeout(self._state.settings.timings.vm_list):
                await self._refresh_requested.wait()
                await asyncio.sleep(_REFRESH_DELAY)
        except TimeoutError:
            pass
