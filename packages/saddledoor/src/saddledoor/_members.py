# SPDX-License-Identifier: MIT

"""
What a node knows of the VMs and back ends of the deployment: state passed on by peers.

Each VM numbers its own entry; a higher (start, number) replaces a lower one, so
entries may arrive late, twice and by any way round. Inside a data centre entries are
pulled from random peers (anti-entropy); between data centres only a summary travels.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


__all__ = ["BackendReport", "MemberEntry", "MemberTable", "PoolSummary", "SiteSummary"]


@dataclass(frozen=True)
class BackendReport:
    """
    What a watcher read from a back end.

    :param at: When it was read, by the reader's clock, in seconds; on the wire it
        travels as an age.
    :param load: Requests running and waiting there, a count.
    :param versions: Weight version by model, as the engine itself reports.
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
    One VM's entry.

    :param started: When its process began, in milliseconds since 1970.
    :param seq: Number of the entry; grows with each change that others should hear.
    :param state: ``serving``, ``draining`` or ``stopped``.
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
        What others must hear of at once when it changes; loads are not urgent.
        """
        reports = tuple(
            (r.name, r.alive, r.leaving, tuple(sorted(r.versions.items())))
            for r in self.reports
        )
        return (self.state, self.config_offset, self.leases, reports)

    @property
    def rank(self) -> tuple[int, int]:
        """
        What decides which of two entries of a VM is newer.
        """
        return (self.started, self.seq)


@dataclass(frozen=True)
class PoolSummary:
    """
    What another data centre has of a pool or service.

    :param slots: Slots of back ends that are alive and serving, a count.
    """

    name: str
    slots: int


@dataclass(frozen=True)
class SiteSummary:
    """
    One data centre in a few hundred bytes.

    :param at: When it was heard, in seconds.
    :param unusable: Back ends there that are dead or leaving.
    """

    data_centre: str
    config_offset: int
    at: float
    pools: tuple[PoolSummary, ...] = ()
    peers: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()

    def slots(self, pool: str) -> int:
        """
        Return the slots that the data centre has for a pool or service.
        """
        return next((p.slots for p in self.pools if p.name == pool), 0)


class MemberTable:
    """
    Entries of the own data centre and summaries of the others.

    :param expiry: An entry that did not change for so long is dead, in seconds.
    """

    def __init__(self, expiry: float) -> None:
        self._expiry = expiry
        self._entries: dict[str, MemberEntry] = {}
        self._heard: dict[str, float] = {}
        self._sites: dict[str, SiteSummary] = {}

    def offer(self, entry: MemberEntry, now: float) -> bool:
        """
        Take an entry if it is newer than the one known.
        """
        known = self._entries.get(entry.vm)
        if known is not None and known.rank >= entry.rank:
            return False
        self._entries[entry.vm] = entry
        self._heard[entry.vm] = now
        return True

    def offer_site(self, summary: SiteSummary) -> None:
        """
        Take a summary of another data centre.
        """
        known = self._sites.get(summary.data_centre)
        if known is None or known.at <= summary.at:
            self._sites[summary.data_centre] = summary

    def ranks(self) -> dict[str, tuple[int, int]]:
        """
        Return the digest that a peer compares with its own entries.
        """
        return {vm: entry.rank for vm, entry in self._entries.items()}

    def newer_than(self, ranks: dict[str, tuple[int, int]]) -> list[MemberEntry]:
        """
        Return the entries that a peer with this digest lacks.
        """
        nothing = (-1, -1)
        return [e for vm, e in self._entries.items() if e.rank > ranks.get(vm, nothing)]

    def live(self, now: float) -> list[MemberEntry]:
        """
        Return the entries of VMs that were heard of lately and did not stop.
        """
        return [
            entry
            for vm, entry in self._entries.items()
            if now - self._heard[vm] <= self._expiry and entry.state != "stopped"
        ]

    def forget_dead(self, now: float, after: float) -> None:
        """
        Drop entries of VMs that are long gone.
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
                known = newest.get(report.name)
                if known is None or known.at < report.at:
                    newest[report.name] = report
        return newest

    def sites(self, now: float) -> list[SiteSummary]:
        """
        Return the summaries that are not too old to be used.
        """
        return [s for s in self._sites.values() if now - s.at <= 3 * self._expiry]

    def all_entries(self) -> Iterable[MemberEntry]:
        return self._entries.values()
