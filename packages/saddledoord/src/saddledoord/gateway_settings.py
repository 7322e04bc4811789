# SPDX-License-Identifier: MIT

"""
Settings of the gateway, and the adapters to its environment.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from saddledoor import EngineCrashFold, KeyFreshnessBounds, UsageWindows

from .ports import DutyCalls, Engines, Registry, SharedLog
from .serving.gate import SendSettings


__all__ = ["GatewayPorts", "GatewaySettings"]


@dataclass(frozen=True)
class GatewaySettings:
    """
    Settings of a node.

    :param vm: Name of the VM.
    :param address: IP address of the VM; a VM that replaces another one has a different
        address.
    :param cores: Processor time of the VM, in cores.
    :param lease_term: Term of the lease for orders, in seconds.
    :param largest_record: Largest record of the log, in bytes.
    :param largest_append: Largest append to the log, in bytes.
    :param cancel_limit: Time after the end of a job from which none of its items may be
        sent to an engine, in seconds.
    :param result_retention: Age up to which an ended job may be read, in seconds.
    :param retention: Age up to which the log keeps records, in seconds.
    :param key_bounds: Freshness bounds for the known keys.
    :param usage: Windows of the usage that is reported; None if no usage is reported.
    :param orders_engines: Whether engines may be ordered from the platform.
    :param holds_engines: Whether the numbers of engines stay as they are.
    :param engine_drain_time: Time for which an engine that leaves serves on, in
        seconds; None if unknown.
    :param sends: Settings of the gate of all sends.
    :param largest_items: Limit of the items of all open jobs together, in bytes.
    """

    vm: str
    address: str
    cores: float
    lease_term: float
    largest_record: int
    largest_append: int
    cancel_limit: float
    result_retention: float
    retention: float
    key_bounds: KeyFreshnessBounds
    usage: UsageWindows | None = None
    orders_engines: bool = False
    holds_engines: bool = False
    engine_drain_time: float | None = None
    sends: SendSettings = field(default_factory=SendSettings)
    largest_items: float = math.inf

    @property
    def needed_retention(self) -> dict[str, float]:
        """
        Shortest sufficient retention of the log by what is read, in seconds.
        """
        needed = {
            "leases": self.lease_term,
            "jobs": self.result_retention,
            "engine_crashes": EngineCrashFold.retention,
        }
        if self.usage is not None:
            needed["usage"] = self.usage.report_period
        return needed


@dataclass(frozen=True)
class GatewayPorts:
    """
    The adapters to the environment of a gateway.

    :param operator: Registry of configurations and named versions.
    :param entries: Registry of the engines' entries.
    :param reconnect: Called to use new connections to the store for further calls.
    :param duties: Calls to the platform; None if there are none.
    """

    log: SharedLog
    operator: Registry
    entries: Registry
    engines: Engines
    reconnect: Callable[[], None]
    duties: DutyCalls | None = None
