# SPDX-License-Identifier: MIT

"""
Gossip state: what a node knows of the VMs and back ends of the deployment.

Each VM numbers its own entry, and a higher (start, number) replaces a lower one, so
entries may arrive late, repeatedly and by any route. Inside a data centre entries are
pulled from random peers (anti-entropy); between data centres only summaries are sent.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


__all__ = ["BackendReport", "MemberEntry", "MemberTable", "PoolSummary", "SiteSummary"]


@dataclass(frozen=True)
class BackendReport:
    """
    State of a back end as read by a VM that polls it.

    :param load: Number of requests that run or wait there.
    :param at: When it was read, in seconds of this node's clock; sent as an age.
    :param leaving: Whether the back end accepts no new work.
    :param versions: Weight version by model, as the engine reports it.
    """

    name: str
    alive: bool
    load: float
    at: float
    leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class MemberEntry:
    """
    State that one VM publishes about itself.

    :param started: When its process started, in Unix milliseconds.
    :param seq: Number of the entry; increases with each published change.
    :param http: Address for callers.
    :param grpc: Peer address for VMs of the same data centre.
    :param state: ``serving``, ``draining`` or ``stopped``.
    :param config_offset: Offset of its active configuration.
    :param reports: Back ends that it polls.
    :param leases: Names of the leases that it holds.
    :param grpc_outside: Peer address for VMs of other data centres.
    """

    vm: str
    started: int
    seq: int
    data_centre: str
    http: str
    grpc: str
    state: str
    config_offset: int
    reports: tuple[BackendReport, ...] = ()
    leases: tuple[str, ...] = ()
    grpc_outside: str = ""

    @property
    def urgent_state(self) -> tuple[object, ...]:
        """
        Fields whose change is announced to peers at once, which excludes loads.
        """
        reports = tuple(
            (r.name, r.alive, r.leaving, tuple(sorted(r.versions.items())))
            for r in self.reports
        )
        return (self.state, self.config_offset, self.leases, reports)

    @property
    def rank(self) -> tuple[int, int]:
        """
        Sort key of the entries of a VM; the newer entry has the higher rank.
        """
        return (self.started, self.seq)


@dataclass(frozen=True)
class PoolSummary:
    """
    Capacity of a pool or service in another data centre.

    :param slots: Number of slots of back ends that are alive and serving.
    """

    name: str
    slots: int


@dataclass(frozen=True)
class SiteSummary:
    """
    Summary of one data centre.

    :param at: When it was received, in seconds of this node's clock.
    :param peers: Addresses of VMs there.
    :param unusable: Names of back ends there that are dead or leaving.
    """

    data_centre: str
    config_offset: int
    at: float
    pools: tuple[PoolSummary, ...] = ()
    peers: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()

    def slots(self, pool: str) -> int:
        """
        Return the number of slots of a pool or service in the data centre.
        """
        return next((p.slots for p in self.pools if p.name == pool), 0)


class MemberTable:
    """
    Entries of this VM's data centre and summaries of the others.

    :param expiry: Time without a change after which an entry counts as dead, in
        seconds.
    """

    def __init__(self, expiry: float) -> None:
        self._expiry = expiry
        self._entries: dict[str, MemberEntry] = {}
        self._heard: dict[str, float] = {}
        self._sites: dict[str, SiteSummary] = {}

    def offer(self, entry: MemberEntry, now: float) -> bool:
        """
        Store an entry if it is newer than the stored one.

        :returns: Whether it was stored.
        """
        current = self._entries.get(entry.vm)
        if current is not None and current.rank >= entry.rank:
            return False
        self._entries[entry.vm] = entry
        self._heard[entry.vm] = now
        return True

    def offer_site(self, summary: SiteSummary) -> None:
        """
        Store a summary of another data centre, unless the stored one is newer.
        """
        current = self._sites.get(summary.data_centre)
        if current is None or current.at <= summary.at:
            self._sites[summary.data_centre] = summary

    def ranks(self) -> dict[str, tuple[int, int]]:
        """
        Return the rank of each entry, which a peer compares with its own entries.
        """
        return {vm: entry.rank for vm, entry in self._entries.items()}

    def newer_than(self, ranks: dict[str, tuple[int, int]]) -> list[MemberEntry]:
        """
        Return the entries that are newer than the given ranks of a peer.
        """
        unknown_rank = (-1, -1)
        return [
            e for vm, e in self._entries.items() if e.rank > ranks.get(vm, unknown_rank)
        ]

    def live(self, now: float) -> list[MemberEntry]:
        """
        Return the entries that have not expired, of VMs that have not stopped.
        """
        return [
            entry
            for vm, entry in self._entries.items()
            if now - self._heard[vm] <= self._expiry and entry.state != "stopped"
        ]

    def forget_dead(self, now: float, after: float) -> None:
        """
        Drop entries that have not changed for some time.

        :param after: Time without a change, in seconds.
        """
        for vm, heard in list(self._heard.items()):
            if now - heard > after:
                del self._heard[vm]
                del self._entries[vm]

    def entry(self, vm: str) -> MemberEntry | None:
        return self._entries.get(vm)

    def reports(self) -> dict[str, BackendReport]:
        """
        Return the newest report of each back end.
        """
        newest: dict[str, BackendReport] = {}
        for entry in self._entries.values():
            for report in entry.reports:
                current = newest.get(report.name)
                if current is None or current.at < report.at:
                    newest[report.name] = report
        return newest

    def sites(self, now: float) -> list[SiteSummary]:
        """
        Return the summaries that are recent enough to use.
        """
        return [s for s in self._sites.values() if now - s.at <= 3 * self._expiry]

    def all_entries(self) -> Iterable[MemberEntry]:
        return self._entries.values()
