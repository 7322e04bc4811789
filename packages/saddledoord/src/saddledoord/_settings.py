# SPDX-License-Identifier: MIT

"""
The daemon's own settings: addresses, data centre, platform services and timings.
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
    :param order_timeout: Longest time an order to an engine may take.
    :param exchange: Pause between pulls from a peer of the own data centre.
    :param summary: Pause between pulls from other data centres.
    :param watch: Pause between readings of a back end.
    :param member_expiry: A VM that is not heard of for so long is dead.
    :param vm_list: Pause between readings of the platform's list of VMs, once others
        are known; it names every VM, so reading it often would cost more than the rest.
    :param control_pause: Least time between readings of the lease stream: many holders
        renew there, and a reading each would cost more than what they say.
    :param burn: Pause between this VM's records for the burn report.
    :param lame_duck: How long a stopping VM goes on taking what is still sent to it.
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
    lame_duck: Seconds = 2.0
    drain: Seconds = 60.0


@_checked
class Settings:
    """
    One daemon's settings file.

    :param http: Where callers and operators are served.
    :param grpc: Where other daemons are served.
    :param grpc_outside: How daemons of other data centres reach it, if not there.
    :param trace: File to record a trace in; a VM keeps nothing, so this is for
        finding faults and for tests.
    :param peer_secret: What daemons of one deployment prove to each other.
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
    trace: str | None = None
    log_format: Literal["json", "terminal"] = "json"
    timings: Timings = Timings()

    @property
    def grpc_from_afar(self) -> str:
        """
        The peer address for other data centres.
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
    Read and check a settings file as a whole.

    :raises InvalidDocumentError: With file, line, finding and allowance.
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
