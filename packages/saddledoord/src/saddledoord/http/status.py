# SPDX-License-Identifier: MIT

"""
Status report of a VM for operators.
"""

from __future__ import annotations

from collections.abc import Callable

from .._clock import boot_time
from .._state import NodeState
from ..backends.dispatch import Dispatcher
from ..samples.collector import Collectors


__all__ = ["status_reader"]


def status_reader(
    state: NodeState, collectors: Collectors, dispatcher: Dispatcher
) -> Callable[[], dict]:
    """
    Return a function that returns this VM's status as JSON-compatible data.
    """

    def read() -> dict:
        now = boot_time()
        return {
            "vm": state.settings.vm,
            "data_centre": state.data_centre,
            "stage": state.stage,
            "config_offset": state.active_config.offset,
            "config_unusable": state.active_config.unusable,
            "log_away_s": _seconds_unavailable(state, now),
            "waiting": dispatcher.waiting(),
            "vms": _vms(state),
            "sites": _sites(state, now),
            "backends": _backends(state, now),
            "leases_known": state.lease_fold.is_complete,
            "leases": _leases(state),
            "steps": collectors.steps(),
        }

    return read


def _seconds_unavailable(state: NodeState, now: float) -> float | None:
    since = state.log.away_since
    return None if since is None else round(now - since, 1)


def _vms(state: NodeState) -> list[dict]:
    return [
        {
            "vm": entry.vm,
            "data_centre": entry.data_centre,
            "state": entry.state,
            "http": entry.http,
            "config_offset": entry.config_offset,
            "leases": list(entry.leases),
        }
        for entry in sorted(state.live_members(), key=lambda e: e.vm)
    ]


def _sites(state: NodeState, now: float) -> list[dict]:
    return [
        {
            "data_centre": site.data_centre,
            "config_offset": site.config_offset,
            "age_s": round(now - site.at, 1),
            "slots": {pool.name: pool.slots for pool in site.pools},
        }
        for site in state.members.sites(now)
    ]


def _backends(state: NodeState, now: float) -> list[dict]:
    return [
        {
            "name": report.name,
            "alive": report.alive,
            "leaving": report.leaving,
            "load": report.load,
            "versions": report.versions,
            "age_s": round(now - report.at, 1),
        }
        for _, report in sorted(state.members.reports().items())
    ]


def _leases(state: NodeState) -> list[dict]:
    return [
        {
            "name": lease.name,
            "holder": lease.holder,
            "fence": lease.fence,
            "released": lease.released,
        }
        for _, lease in sorted(state.lease_fold.leases.items())
    ]
