# SPDX-License-Identifier: MIT

"""
Membership gossip: pulls member entries of this data centre and others' summaries.

In names, a site is a data centre.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from saddledoor import (
    AcceptedConfig,
    MemberEntry,
    PoolSummary,
    SiteSummary,
    rendezvous,
)
from saddledoor.tracing import ConfigReceived

from .._clock import boot_time
from .._state import NodeState
from ..backends.watcher import Watcher
from ..observability.daemon_metrics import Metrics
from ..wire import peer_pb2 as pb
from .client import PeerClient, PeerUnavailableError
from .wire_types import (
    entry_from_wire,
    entry_to_wire,
    site_from_wire,
    site_to_wire,
)


__all__ = ["Exchange"]

#: Timeout of a peer's response, in seconds.
_TIMEOUT = 1.0
#: Peers of this data centre that a summary names at most.
_MAX_SUMMARY_PEERS = 4
#: Renewals of this VM's own entry per expiry period.
_RENEWALS_PER_EXPIRY = 4
#: A summary is forwarded only if it is newer by this difference, in seconds.
_MIN_AGE_DIFFERENCE = 0.5
#: Age at which entries of dead VMs are removed, in seconds.
_FORGET_DEAD_AFTER = 60.0


class Exchange:
    """
    Keeps this VM's own entry and its view of other members up to date.

    :param held_leases: Returns the names of the leases that this VM holds.
    :param request_vm_list: Requests a refresh of the list of VMs.
    """

    def __init__(
        self,
        state: NodeState,
        peers: PeerClient,
        watcher: Watcher,
        metrics: Metrics,
        held_leases: Callable[[], tuple[str, ...]],
        request_vm_list: Callable[[], None],
    ) -> None:
        self._request_vm_list = request_vm_list
        self._held_leases = held_leases
        self._state = state
        self._peers = peers
        self._watcher = watcher
        self._metrics = metrics
        self._seq = 0
        self._pushed_seq = 0
        self._renewed_at = boot_time()
        expiry = state.settings.timings.member_expiry
        self._renewal_interval = expiry / _RENEWALS_PER_EXPIRY

    async def run_pulls(self) -> None:
        """
        Pull from a random peer of this data centre periodically.
        """
        while True:
            self.refresh_own()
            address = self._random_peer()
            if address is None or not await self._pull(address):
                self._request_vm_list()
            now = boot_time()
            self._state.members.forget_dead(now, _FORGET_DEAD_AFTER)
            await asyncio.sleep(self._state.settings.timings.exchange)

    async def run_summaries(self) -> None:
        """
        Pull summaries of the data centres that are assigned to this VM periodically.
        """
        while True:
            await asyncio.sleep(self._state.settings.timings.summary)
            deployment = self._state.deployment
            sites = set(deployment.data_centres) if deployment else set()
            sites |= {item["data_centre"] for item in self._state.vm_list.values()}
            sites.discard(self._state.data_centre)
            live = self._state.live_vms()
            assigned = [
                site
                for site in sorted(sites)
                if rendezvous(f"site/{site}", live) == self._state.settings.vm
            ]
            await asyncio.gather(*(self._pull_summary(site) for site in assigned))

    def refresh_own(self) -> None:
        """
        Renew this VM's entry with a new number when it changed or a renewal is due.
        """
        entry = self._own_entry()
        known = self._state.members.entry(entry.vm)
        now = boot_time()
        changed = known is None or known.urgent_state != entry.urgent_state
        if changed or now - self._renewed_at >= self._renewal_interval:
            self._renewed_at = now
            self._seq += 1
            self._state.members.offer(replace(entry, seq=self._seq), now)

    def _own_entry(self) -> MemberEntry:
        settings = self._state.settings
        return MemberEntry(
            vm=settings.vm,
            started=self._state.started,
            seq=self._seq,
            data_centre=settings.data_centre,
            http=settings.http,
            grpc=settings.grpc,
            state=self._state.stage,
            config_offset=self._state.active_config.offset,
            reports=self._watcher.reports(),
            leases=self._held_leases(),
            grpc_outside=settings.external_grpc_address,
        )

    def answer(self, request: pb.ExchangeRequest) -> pb.ExchangeReply:
        """
        Answer a peer's pull with the entries, configuration and summaries it lacks.
        """
        ranks = {r.vm: (r.started, r.seq) for r in request.ranks}
        now = boot_time()
        members = self._state.members
        if request.HasField("own"):
            self._offer_entry(entry_from_wire(request.own, now), now)
        entries = [entry_to_wire(entry, now) for entry in members.newer_than(ranks)]
        sites = [
            site_to_wire(site, now)
            for site in members.sites(now)
            if now - site.at + _MIN_AGE_DIFFERENCE
            < request.site_ages.get(site.data_centre, 1e9)
        ]
        return pb.ExchangeReply(
            entries=entries,
            config=self._newer_config(request.config_offset),
            sites=sites,
        )

    def answer_summary(self, request: pb.SummaryRequest) -> pb.SummaryReply:
        """
        Answer a pull from another data centre with this data centre's summary.
        """
        now = boot_time()
        return pb.SummaryReply(
            site=site_to_wire(self._own_site(now), now),
            config=self._newer_config(request.config_offset),
        )

    def _own_site(self, now: float) -> SiteSummary:
        live = [m for m in self._state.live_members() if m.state == "serving"]
        random.shuffle(live)
        reports = self._state.members.reports()
        unusable = [r.name for r in reports.values() if r.leaving or not r.alive]
        return SiteSummary(
            data_centre=self._state.data_centre,
            config_offset=self._state.active_config.offset,
            at=now,
            pools=tuple(self._slots()),
            peers=tuple(m.grpc_outside for m in live[:_MAX_SUMMARY_PEERS]),
            unusable=tuple(unusable),
        )

    def _newer_config(self, offset: int) -> pb.Config | None:
        accepted = self._state.active_config.accepted
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

    async def _pull(self, address: str) -> bool:
        """
        Pull from a peer; return False if it did not respond.
        """
        request = self._pull_request()
        try:
            reply = await self._peers.exchange(address, request, _TIMEOUT)
        except PeerUnavailableError:
            self._metrics.exchanges.add(1, {"outcome": "away"})
            return False
        self._pushed_seq = self._seq
        self._metrics.exchanges.add(1, {"outcome": "answered"})
        self._count_bytes(request, reply)
        self._apply_reply(reply)
        return True

    def _pull_request(self) -> pb.ExchangeRequest:
        state = self._state
        ranks = [
            pb.Rank(vm=vm, started=rank[0], seq=rank[1])
            for vm, rank in state.members.ranks().items()
        ]
        own = state.members.entry(state.settings.vm)
        # The own entry is sent only if it was renewed since the last answered pull.
        renewed = own is not None and self._seq != self._pushed_seq
        return pb.ExchangeRequest(
            vm=state.settings.vm,
            ranks=ranks,
            config_offset=state.active_config.offset,
            site_ages=self._site_ages(),
            own=entry_to_wire(own, boot_time()) if renewed else None,
        )

    def _apply_reply(self, reply: pb.ExchangeReply) -> None:
        now = boot_time()
        for encoded in reply.entries:
            self._offer_entry(entry_from_wire(encoded, now), now)
        for site in reply.sites:
            self._state.members.offer_site(site_from_wire(site, now))
        self._state.note_leaving()
        self._apply_config(reply)

    def _offer_entry(self, entry: MemberEntry, now: float) -> None:
        # Only this VM updates its own entry; VMs of other data centres are not members
        # here.
        own = self._state.settings
        if entry.vm != own.vm and entry.data_centre == own.data_centre:
            self._state.members.offer(entry, now)

    def _site_ages(self) -> dict[str, float]:
        now = boot_time()
        return {s.data_centre: now - s.at for s in self._state.members.sites(now)}

    async def _pull_summary(self, site: str) -> None:
        address = self._peer_of_site(site)
        if address is None:
            self._request_vm_list()
            return
        request = pb.SummaryRequest(
            vm=self._state.settings.vm, config_offset=self._state.active_config.offset
        )
        try:
            reply = await self._peers.summary(address, request, _TIMEOUT)
        except PeerUnavailableError:
            self._metrics.exchanges.add(1, {"outcome": "site_away"})
            self._request_vm_list()
            return
        self._metrics.exchanges.add(1, {"outcome": "site_answered"})
        self._count_bytes(request, reply)
        self._apply_config(reply)
        summary = site_from_wire(reply.site, boot_time())
        # Ignores a summary of another data centre, received from a wrong address.
        if summary.data_centre == site:
            self._state.members.offer_site(summary)

    def _peer_of_site(self, site: str) -> str | None:
        known = {
            address
            for summary in self._state.members.sites(boot_time())
            if summary.data_centre == site
            for address in summary.peers
        }
        known |= {
            item.get("grpc_outside", item["grpc"])
            for item in self._state.vm_list.values()
            if item["data_centre"] == site and item["state"] == "live"
        }
        return random.choice(sorted(known)) if known else None

    def _apply_config(self, reply: pb.ExchangeReply | pb.SummaryReply) -> None:
        if reply.HasField("config"):
            self._state.trace(ConfigReceived(reply.config.offset))
            self._state.offer_config(
                AcceptedConfig(reply.config.offset, reply.config.document)
            )

    def _count_bytes(self, request: object, reply: object) -> None:
        self._metrics.exchange_bytes.add(request.ByteSize(), {"way": "sent"})
        self._metrics.exchange_bytes.add(reply.ByteSize(), {"way": "received"})
