# SPDX-License-Identifier: MIT

"""
Whether a back end may get new work, from all that a node knows of it.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._members import BackendReport


__all__ = ["DEAD_REPORT_AGE", "FAILURE_BACKOFF", "BackendRequirement", "is_eligible"]

#: A back end that just failed this node gets no work for so long, in seconds.
FAILURE_BACKOFF = 1.0
#: A report that says a back end is dead is believed for so long, in seconds.
DEAD_REPORT_AGE = 5.0


@dataclass(frozen=True)
class BackendRequirement:
    """
    What a request needs of a back end.

    :param min_version: Oldest weight version that will do, or -1.
    """

    model: str = ""
    min_version: int = -1


def is_eligible(
    state: str,
    report: BackendReport | None,
    requirement: BackendRequirement,
    now: float,
    failed_at: float = float("-inf"),
) -> bool:
    """
    Tell whether a back end may get new work.

    :param state: What the configuration in force says: ``serving`` or ``leaving``.
    :param report: The newest report of the back end that reached this node.
    :param failed_at: When it last failed this node, in seconds.
    """
    if state == "leaving" or now - failed_at < FAILURE_BACKOFF:
        return False
    if report is not None and report.leaving:
        return False
    if report is not None and not report.alive and now - report.at < DEAD_REPORT_AGE:
        return False
    if requirement.min_version < 0:
        return True
    # Training work only where the engine itself reported a version that will do.
    known = report.versions.get(requirement.model, -1) if report else -1
    return known >= requirement.min_version
