# SPDX-License-Identifier: MIT

"""
Reads the platform's lagging list of VMs, and drops channels to those that are gone.
"""

from __future__ import annotations

import asyncio

import aiohttp

from .._clock import boot_time
from .._state import NodeState
from .client import PeerClient


__all__ = ["VmListReader"]

#: Wait before the list of VMs is read again because nobody answered, in seconds.
_LIST_RETRY = 2.0


class VmListReader:
    """
    Keeps the list; it is read seldom, for it names every VM.
    """

    def __init__(self, state: NodeState, peers: PeerClient) -> None:
        self._state = state
        self._peers = peers
        self._lonely = asyncio.Event()
        self._closing: asyncio.Task | None = None

    def ask(self) -> None:
        """
        Read the list soon: somebody found no peer that answers.
        """
        self._lonely.set()

    async def run(self, session: aiohttp.ClientSession) -> None:
        """
        Read the platform's lagging list of VMs; only a seed for whom to ask.
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
                self._forget_channels()
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
                # The last list stays: a lost platform must not empty the fleet.
                pass
            await self._until_list_is_due()

    def _forget_channels(self) -> None:
        # VMs are replaced all day; a channel to one that is gone is never used again.
        if self._closing is not None and not self._closing.done():
            return
        known = {m.grpc for m in self._state.members.all_entries()}
        known |= {m.grpc_outside for m in self._state.members.all_entries()}
        for item in self._state.vm_list.values():
            known |= {item["grpc"], item.get("grpc_outside", item["grpc"])}
        for site in self._state.members.sites(boot_time()):
            known |= set(site.peers)
        self._closing = asyncio.create_task(self._peers.keep_only(known))

    async def _until_list_is_due(self) -> None:
        self._lonely.clear()
        try:
            async with asyncio.timeout(self._state.settings.timings.vm_list):
                await self._lonely.wait()
                await asyncio.sleep(_LIST_RETRY)
        except TimeoutError:
            pass
