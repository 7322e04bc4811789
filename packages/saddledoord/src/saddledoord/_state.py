# SPDX-License-Identifier: MIT

"""
The state of one daemon in memory: active configuration, folds and members.
"""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass, field

import structlog

from saddledoor import (
    AcceptedConfig,
    ActiveConfig,
    ConfigFold,
    Deployment,
    Drain,
    LeaseFold,
    LeaseWatch,
    MemberEntry,
    MemberTable,
    Pool,
    Service,
    deployment_from_json,
    unpack_document,
)
from saddledoor.exceptions import InvalidDocumentError, UndecodableRecordError
from saddledoor.tracing import ConfigActivated, LeavingSeen

from ._clock import boot_time
from ._settings import Settings
from .observability.tracing import Emit, open_trace


__all__ = ["LogHealth", "NodeState"]

_log = structlog.get_logger()


@dataclass
class LogHealth:
    """
    Whether the log answered the newest call.

    :param away_since: Start of the current outage, monotonic, in seconds; None if there
        is none.
    """

    away_since: float | None = None

    def note(self, answered: bool) -> None:
        """
        Record whether a call was answered, and log each change.
        """
        if answered and self.away_since is not None:
            seconds = round(boot_time() - self.away_since, 1)
            _log.info("log_back", away_s=seconds)
            self.away_since = None
        elif not answered and self.away_since is None:
            _log.warning("log_away")
            self.away_since = boot_time()


@dataclass
class NodeState:
    """
    The state of a daemon; folds are replaced, not changed in place.

    :param incarnation: Unique name of this process.
    :param started: Start of the process, in Unix milliseconds.
    """

    settings: Settings
    incarnation: str
    started: int
    members: MemberTable
    config_fold: ConfigFold | None = None
    lease_fold: LeaseFold = field(default_factory=lambda: LeaseFold(is_complete=False))
    active_config: ActiveConfig = field(default_factory=ActiveConfig)
    deployment: Deployment | None = None
    drain: Drain = field(default_factory=lambda: Drain(0.0, 0.0))
    log: LogHealth = field(default_factory=LogHealth)
    vm_list: dict[str, dict] = field(default_factory=dict)
    trace: Emit = lambda event: None
    _watches: dict[str, LeaseWatch] = field(default_factory=dict)
    _leaving: set[str] = field(default_factory=set)

    @property
    def stage(self) -> str:
        """
        ``serving``, ``draining`` or ``stopped``.
        """
        return self.drain.stage.value

    @property
    def data_centre(self) -> str:
        return self.settings.data_centre

    @property
    def owner(self) -> str:
        """
        Name of this process in records: incarnation and peer address.
        """
        return f"{self.incarnation}@{self.settings.external_grpc_address}"

    @classmethod
    def from_settings(cls, settings: Settings) -> NodeState:
        started = int(time.time() * 1000)
        incarnation = f"{started}-{settings.vm}-{uuid.uuid4().hex[:8]}"
        members = MemberTable(settings.timings.member_expiry)
        drain = Drain(settings.timings.lame_duck, settings.timings.drain)
        trace = open_trace(settings.trace, settings.vm)
        name = incarnation.replace(".", "_")
        return cls(settings, name, started, members, drain=drain, trace=trace)

    def offer_config(self, accepted: AcceptedConfig | None) -> None:
        """
        Activate an accepted configuration if it is newer and usable.
        """
        if accepted is None or accepted.offset <= self.active_config.offset:
            return
        deployment, reason = self._read(accepted)
        before = self.active_config
        self.active_config = before.offer(accepted, usable=deployment is not None)
        if self.active_config is before:
            return
        if deployment is None:
            _log.error("config_unusable", offset=accepted.offset, reason=reason)
            return
        self.deployment = deployment
        self.trace(ConfigActivated(accepted.offset))
        self.note_leaving()
        _log.info("config_in_force", offset=accepted.offset)

    def note_leaving(self) -> None:
        """
        Trace backend servers that are marked as leaving, once each.
        """
        leaving = {r.name for r in self.members.reports().values() if r.leaving}
        for pool in self.deployment.pools if self.deployment else ():
            leaving |= {e.name for e in pool.engines if e.state == "leaving"}
        for name in sorted(leaving - self._leaving):
            self.trace(LeavingSeen(name))
        self._leaving |= leaving

    def _read(self, accepted: AcceptedConfig) -> tuple[Deployment | None, str]:
        try:
            deployment = deployment_from_json(unpack_document(accepted.document))
        except (InvalidDocumentError, UndecodableRecordError) as error:
            return None, str(error)
        if deployment.name != self.settings.deployment:
            return None, f"it is the deployment {deployment.name!r}"
        return deployment, ""

    def watch(self, lease: str) -> LeaseWatch:
        """
        Return this node's `LeaseWatch` of a lease.
        """
        term = self.settings.timings.lease_term
        return self._watches.setdefault(lease, LeaseWatch(term))

    def observe_leases(self) -> None:
        """
        Observe all leases after new records.
        """
        now = boot_time()
        for name, lease in self.lease_fold.leases.items():
            self.watch(name).observe(lease, now)

    def live_members(self) -> list[MemberEntry]:
        """
        Return the live VMs of this data centre, including this one.
        """
        return self.members.live(boot_time())

    def live_vms(self) -> list[str]:
        """
        Return the names of the serving VMs of this data centre, sorted.
        """
        names = {m.vm for m in self.live_members() if m.state == "serving"}
        if self.stage == "serving":
            names.add(self.settings.vm)
        return sorted(names)

    def pool_of_model(self, model: str) -> Pool | None:
        """
        Return the pool that serves a model.

        :param model: Name of the model, or ``pool/model``.
        """
        if self.deployment is None:
            return None
        pool_name, _, model_name = model.rpartition("/")
        for pool in self.deployment.pools:
            fits = not pool_name or pool.name == pool_name
            if fits and any(m.name == model_name for m in pool.models):
                return pool
        return None

    def service(self, name: str) -> Service | None:
        return self.deployment.service(name) if self.deployment else None
