# SPDX-License-Identifier: MIT

"""
Interface of the platform for calls by the VM that holds the lease of a duty.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


__all__ = ["DutyCalls", "DutyOutcome", "EngineOrder", "UsageReport"]


@dataclass(frozen=True)
class UsageReport:
    """
    The number of requests that engines started in a window of time.

    :param window: Number of the window.
    :param counts: Number of requests by workspace.
    :param holder: Name of the VM that holds the lease of the duty.
    :param fence: Fencing number of its lease.
    """

    window: int
    counts: Mapping[str, int]
    holder: str
    fence: int


@dataclass(frozen=True)
class EngineOrder:
    """
    The number of engines that a service is to have in a data centre.

    :param desired: Absolute number of engines of this kind.
    :param is_spot: Whether it counts spot engines or the others.
    :param holder: Name of the VM that holds the lease of the duty.
    :param fence: Fencing number of its lease.
    """

    service: str
    data_centre: str
    desired: int
    is_spot: bool
    holder: str
    fence: int


class DutyOutcome:
    """
    The outcome of a call, as far as the platform reported it.
    """

    DONE = "done"
    #: The receiver knows a higher fencing number; for an order also: no engine is
    #: available.
    FENCED = "fenced"
    #: The platform reported that it did not carry the call out.
    REFUSED = "refused"
    #: The call may have been carried out, or may still be.
    UNKNOWN = "unknown"


class DutyCalls(Protocol):
    """
    Calls to the platform.
    """

    async def report_usage(self, report: UsageReport, decided_at: float) -> str:
        """
        Report a window; the platform ignores an exact repetition.

        :param decided_at: Time before the lease was checked, monotonic, in seconds; the
            report is not sent if the process was paused since.
        :returns: One of `DutyOutcome`.
        """

    async def order_engines(self, order: EngineOrder, decided_at: float) -> str:
        """
        Order engines; the platform ignores an exact repetition.

        :param decided_at: See `report_usage`.
        :returns: One of `DutyOutcome`.
        """
