# SPDX-License-Identifier: MIT

"""
Settings of the daemon: addresses, data centre, platform services and timings.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from saddledoor import validation_problems
from saddledoor.checked_yaml import load_checked
from saddledoor.exceptions import InvalidDocumentError, Problem


__all__ = ["Settings", "Timings", "load_settings"]

_checked = dataclass(
    frozen=True, kw_only=True, config=ConfigDict(extra="forbid", strict=True)
)
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Url = Annotated[str, Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Seconds = Annotated[float, Field(gt=0, le=3600, strict=False)]


@_checked
class Timings:
    """
    Durations in seconds.

    :param lease_term: Term of every lease; longer than ``order_timeout`` and a
        renewal together.
    :param order_timeout: Longest time of an order to an engine.
    :param exchange: Pause between pulls from a peer of the same data centre.
    :param summary: Pause between pulls from other data centres.
    :param watch: Pause between reports that are requested from a backend server.
    :param member_expiry: Time without news after which a VM counts as dead.
    :param vm_list: Pause between reads of the platform's list of VMs once other VMs are
        known.
    :param control_pause: Least time between reads of the lease stream, in which many
        renewals are collected.
    :param burn: Pause between this VM's records for the burn report.
    :param log_timeout: Longest wait for an answer of the log beyond a read's own wait.
    :param log_wait: How long a read of the log waits for new records.
    :param log_retention: Least time for which the log keeps records of leases. Their
        state is written anew several times in it, for VMs that start later.
    :param lame_duck: How long a stopping VM still accepts requests.
    :param drain: Longest wait for requests in flight after that.
    """

    lease_term: Seconds = 6.0
    order_timeout: Seconds = 2.0
    exchange: Seconds = 0.5
    summary: Seconds = 2.0
    watch: Seconds = 2.0
    member_expiry: Seconds = 8.0
    vm_list: Seconds = 60.0
    control_pause: Seconds = 1.0
    burn: Seconds = 60.0
    log_timeout: Seconds = 2.0
    log_wait: Seconds = 10.0
    log_retention: Seconds = 600.0
    lame_duck: Seconds = 2.0
    drain: Seconds = 60.0


@_checked
class Settings:
    """
    The settings file of one daemon.

    :param http: Address for callers and operators.
    :param grpc: Address for other daemons.
    :param grpc_outside: Address for daemons of other data centres; None if it is the
        same.
    :param memory_mb: Memory of the process, in MB; bounds what is held for callers.
    :param trace: File to record a trace in, for debugging and tests.
    :param peer_secret: Shared secret by which daemons of a deployment authenticate each
        other.
    """

    vm: Name
    data_centre: Name
    deployment: Name
    http: Address
    grpc: Address
    grpc_outside: Address | None = None
    log_service: Url
    vm_list: Url
    weight_store: Url | None = None
    peer_secret: Annotated[str, Field(min_length=16, max_length=256)]
    memory_mb: Annotated[int, Field(ge=100, le=1_000_000)] = 256
    trace: str | None = None
    log_format: Literal["json", "terminal"] = "json"
    timings: Timings = Timings()

    @property
    def external_grpc_address(self) -> str:
        """
        Peer address for daemons of other data centres.
        """
        return self.grpc_outside or self.grpc

    def __post_init__(self) -> None:
        timings = self.timings
        if timings.order_timeout >= timings.lease_term / 2:
            raise ValueError("timings.order_timeout must be below half of lease_term")


_ADAPTER = TypeAdapter(Settings)
_JSON = TypeAdapter(object)


def load_settings(path: Path) -> Settings:
    """
    Read and validate a settings file.

    :raises InvalidDocumentError: Names the file, the line, what was found and what is
        allowed.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        problem = Problem("file", error.strerror or "an error", "a readable file")
        raise InvalidDocumentError(str(path), (problem,)) from None
    return load_checked(str(path), data, _validate)


def _validate(name: str, document: object) -> Settings:
    try:
        return _ADAPTER.validate_json(_JSON.dump_json(document))
    except ValidationError as error:
        raise InvalidDocumentError(name, validation_problems(error)) from None
