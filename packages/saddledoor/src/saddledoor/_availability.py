# SPDX-License-Identifier: MIT

"""
Eligibility of a back end for new work.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._members import BackendReport


__all__ = ["DEAD_REPORT_AGE", "FAILURE_BACKOFF", "BackendRequirement", "is_eligible"]

#: How long a back end gets no work after a request of this node failed there, in
#: seconds.
FAILURE_BACKOFF = 1.0
#: How long a report that a back end is dead holds, in seconds.
DEAD_REPORT_AGE = 5.0


@dataclass(frozen=True)
class BackendRequirement:
    """
    What a request requires of a back end.

    :param model: Model that the request is for.
    :param min_version: Oldest acceptable weight version; -1 accepts any.
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
    Return whether a back end may get new work.

    :param state: State in the active configuration: ``serving`` or ``leaving``.
    :param report: The newest report of the back end that reached this node, if any.
    :param now: Monotonic, in seconds.
    :param failed_at: When a request of this node last failed there, monotonic, in
        seconds.
    """
    if state == "leaving" or now - failed_at < FAILURE_BACKOFF:
        return False
    if report is not None and report.leaving:
        return False
    if report is not None and not report.alive and now - report.at < DEAD_REPORT_AGE:
        return False
    if requirement.min_version < 0:
        return True
    # A version that the engine did not report itself is not assumed.
    known = report.versions.get(requirement.model, -1) if report else -1
    return known >= requirement.min_version
