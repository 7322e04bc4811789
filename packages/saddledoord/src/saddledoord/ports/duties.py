# SPDX-License-Identifier: MIT

"""
The platform's own interface as the gateway sees it: calls of whoever has a duty.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


__all__ = ["DutyCalls", "DutyOutcome", "UsageReport"]


@dataclass(frozen=True)
class UsageReport:
    """
    Requests that engines began in a window of time.

    :param counts: By workspace.
    :param holder: Name of the VM that has the duty.
    :param fence: Fencing number of its lease.
    """

    window: int
    counts: Mapping[str, int]
    holder: str
    fence: int


class DutyOutcome:
    """
    What became of a call, as far as the platform said.
    """

    DONE = "done"
    FENCED = "fenced"
    #: Not carried out, by the platform's word.
    REFUSED = "refused"
    #: It may have been carried out, or may still be.
    UNKNOWN = "unknown"


class DutyCalls(Protocol):
    """
    Calls to the platform.
    """

    async def report_usage(self, report: UsageReport) -> str:
        """
        Report a window; an exact repeat is ignored.

        :returns: One of `DutyOutcome`.
        """
