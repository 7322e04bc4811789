# SPDX-License-Identifier: MIT

"""
Membership: pulls entries from peers here and summaries of other data centres.
"""

from __future__ import annotations

import asyncio
import random

import aiohttp

from saddledoor import (
    Accepted,
    MemberEntry,
    PoolSummary,
    SiteSummary,
    rendezvous,
)

from ._clock import boot_time
from ._metrics import Metrics
from ._peer_client import PeerAwayError, PeerClient
from ._state import NodeState
from ._watcher import Watcher
from ._wire_types import entry_from_wire, entry_to_wire
from .wire import peer_pb2 as pb


__all__ = ["Exchange"]

#: Longest wait for a peer's answer, in seconds.
_TIMEOUT = 1.0
#: Peers of this data centre that a summary names, a count.
_SUMMARY_PEERS = 4
#: Entries of VMs that are gone are dropped after so long, in seconds.
_FORGET_AFTER = 60.0


class Exchange:
    """
    Keeps this VM's own entry and what it knows of others up to date.
    """

    def __init__(
        self, state: NodeState, peers: PeerClient, watcher: Watcher, metrics: Metrics
    ) -> None:
        self._state = state
        self._peers = peers
        self._watcher = watcher
        self._metrics = metrics
        self._seq = 0
        self.held_leases: tuple[str, ...] = ()

    async def run_vm_list(self, session: aiohttp.ClientSession) -> None:
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
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
                # The last list stays: a lost platform must not empty the fleet.
                pass
            await asyncio.sleep(settings.timings.vm_list)

    async def run_pulls(self) -> None:
        """
        Pull from one random peer of this data centre, again and again.
        """
        while True:
            self.refresh_own()
            address = self._random_peer()
            if address is not None:
                await self._pull(address)
            now = boot_time()
            self._state.members.forget_dead(now, _FORGET_AFTER)
            await asyncio.sleep(self._state.settings.timings.exchange)

    async def run_summaries(self) -> None:
        """
        Pull summaries of the data centres that this VM covers for its own.
        """
        while True:
            await asyncio.sleep(self._state.settings.timings.summary)
            deployment = self._state.deployment
            sites = set(deployment.data_centres) if deployment else set()
            sites |= {item["data_centre"] for item in self._state.vm_list.values()}
            sites.discard(self._state.data_centre)
            live = self._state.live_vms()
            mine = [
                site
                for site in sorted(sites)
                if rendezvous(f"site/{site}", live) == self._state.settings.vm
            ]
            await asyncio.gather(*(self._pull_summary(site) for site in mine))

    def refresh_own(self) -> None:
        """
        Number and keep this VM's own entry.
        """
        settings = self._state.settings
        self._seq += 1
        entry = MemberEntry(
            vm=settings.vm,
            incarnation=self._state.incarnation,
            seq=self._seq,
            data_centre=settings.data_centre,
            http=settings.http,
            grpc=settings.grpc,
            state=self._state.stage,
            config_offset=self._state.in_force.offset,
            reports=self._watcher.reports(),
            leases=self.held_leases,
        )
        self._state.members.offer(entry, boot_time())

    def answer(self, request: pb.ExchangeRequest) -> pb.ExchangeReply:
        """
        Answer a peer's pull with what it lacks.
        """
        ranks = {r.vm: (r.incarnation, r.seq) for r in request.ranks}
        now = boot_time()
        entries = [entry_to_wire(e, now) for e in self._state.members.newer_than(ranks)]
        return pb.ExchangeReply(
            entries=entries, config=self._newer_config(request.config_offset)
        )

    def summarise(self, request: pb.SummaryRequest) -> pb.SummaryReply:
        """
        Answer another data centre's pull.
        """
        live = [m for m in self._state.live_members() if m.state == "serving"]
        random.shuffle(live)
        return pb.SummaryReply(
            data_centre=self._state.data_centre,
            config_offset=self._state.in_force.offset,
            pools=[pb.PoolSlots(name=p.name, slots=p.slots) for p in self._slots()],
            peers=[m.grpc for m in live[:_SUMMARY_PEERS]],
            config=self._newer_config(request.config_offset),
        )

    def _newer_config(self, offset: int) -> pb.Config | None:
        accepted = self._state.in_force.accepted
        if accepted is None or accepted.offset <= offset:
            return None
        return pb.Config(offset=accepted.offset, document=accepted.document)

    def _slots(self) -> list[PoolSummary]:
        deployment = self._state.deployment
        if deployment is None:
            return []
        reports = self._state.members.reports()
        here = self._state.data_centre
        summaries = []
        for pool in deployment.pools:
            slots = sum(
                engine.slots
                for engine in pool.engines
                if engine.data_centre == here and engine.state == "serving"
                if (report := reports.get(engine.name)) and report.alive
                if not report.leaving
            )
            summaries.append(PoolSummary(pool.name, slots))
        return summaries

    def _random_peer(self) -> str | None:
        settings = self._state.settings
        known = {
            m.vm: m.grpc
            for m in self._state.members.all_entries()
            if m.state != "stopped"
        }
        for vm, item in self._state.vm_list.items():
            if item["data_centre"] == settings.data_centre:
                known.setdefault(vm, item["grpc"])
        known.pop(settings.vm, None)
        return random.choice(sorted(known.values())) if known else None

    async def _pull(self, address: str) -> None:
        ranks = [
            pb.Rank(vm=vm, incarnation=rank[0], seq=rank[1])
            for vm, rank in self._state.members.ranks().items()
        ]
        request = pb.ExchangeRequest(
            vm=self._state.settings.vm,
            ranks=ranks,
            config_offset=self._state.in_force.offset,
        )
        try:
            reply = await self._peers.exchange(address, request, _TIMEOUT)
        except PeerAwayError:
            self._metrics.exchanges.add(1, {"outcome": "away"})
            return
        self._metrics.exchanges.add(1, {"outcome": "answered"})
        self._count_bytes(request, reply)
        now = boot_time()
        for wire in reply.entries:
            entry = entry_from_wire(wire, now)
            if entry.vm != self._state.settings.vm:
                self._state.members.offer(entry, now)
        self._take_config(reply)

    async def _pull_summary(self, site: str) -> None:
        address = self._peer_of_site(site)
        if address is None:
            return
        request = pb.SummaryRequest(
            vm=self._state.settings.vm, config_offset=self._state.in_force.offset
        )
        try:
            reply = await self._peers.summary(address, request, _TIMEOUT)
        except PeerAwayError:
            self._metrics.exchanges.add(1, {"outcome": "site_away"})
            return
        self._metrics.exchanges.add(1, {"outcome": "site_answered"})
        self._count_bytes(request, reply)
        self._take_config(reply)
        summary = SiteSummary(
            data_centre=reply.data_centre,
            config_offset=reply.config_offset,
            at=boot_time(),
            pools=tuple(PoolSummary(p.name, p.slots) for p in reply.pools),
            peers=tuple(reply.peers),
        )
        self._state.members.offer_site(summary)

    def _peer_of_site(self, site: str) -> str | None:
        known = {
            address
            for summary in self._state.members.sites(boot_time())
            if summary.data_centre == site
            for address in summary.peers
        }
        known |= {
            item["grpc"]
            for item in self._state.vm_list.values()
            if item["data_centre"] == site and item["state"] == "live"
        }
        return random.choice(sorted(known)) if known else None

    def _take_config(self, reply: pb.ExchangeReply | pb.SummaryReply) -> None:
        if reply.HasField("config"):
            self._state.offer_config(
                Accepted(reply.config.offset, reply.config.document)
            )

    def _count_bytes(self, request: object, reply: object) -> None:
        self._metrics.exchange_bytes.add(request.ByteSize(), {"way": "sent"})
        self._metrics.exchange_bytes.add(reply.ByteSize(), {"way": "received"})
