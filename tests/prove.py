# SPDX-License-Identifier: MIT

"""
``make prove``: prints one row per promise with the injected failures, the violation
found with the mechanism disabled and on an altered trace, and the tests that passed.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from proofs import PROOFS


_HERE = Path(__file__).parent
_FILES = (
    "test_proofs.py",
    "test_traces.py",
    "test_failures_samples.py",
    "test_failures_requests.py",
    "test_failures_operations.py",
    "test_failures_leases.py",
)
_VIOLATION_TEST = "test_the_proof_fails_without_the_mechanism"
_ALTERED_TRACE_TEST = "test_an_altered_trace_breaks_its_promise"


@dataclass
class _PromiseResult:
    """
    Results of the tests of one promise.

    :param violation: Violation found with the mechanism disabled, or None.
    :param altered_trace_fails: Whether the replay of an altered trace fails.
    :param passed: Number of other tests that passed.
    :param failed: Tests that failed.
    :param answered_shares: Shares of repeatable requests answered during failures.
    """

    violation: str | None = None
    altered_trace_fails: bool = False
    passed: int = 0
    failed: list[str] = field(default_factory=list)
    answered_shares: list[float] = field(default_factory=list)


class _ResultCollector:
    """
    Pytest plugin that collects the results of tests by promise.
    """

    def __init__(self) -> None:
        self.rows = {proof.name: _PromiseResult() for proof in PROOFS}
        self.other_failures: list[str] = []

    def pytest_runtest_logreport(self, report) -> None:
        properties = dict(report.user_properties)
        row = self.rows.get(properties.get("promise"))
        if report.failed:
            failures = row.failed if row else self.other_failures
            failures.append(report.nodeid)
        if row is None or report.when != "call" or not report.passed:
            return
        if _VIOLATION_TEST in report.nodeid:
            row.violation = properties["red"]
        elif _ALTERED_TRACE_TEST in report.nodeid:
            row.altered_trace_fails = True
        else:
            row.passed += 1
        if "repeatable_answered" in properties:
            row.answered_shares.append(properties["repeatable_answered"])


def main() -> int:
    """
    Run the tests and print the table.

    :returns: 0 if each violation was found and all other tests passed, else 1.
    """
    results = _ResultCollector()
    files = [str(_HERE / name) for name in _FILES]
    status = pytest.main([*files, *sys.argv[1:]], plugins=[results])
    print(f"\n{'promise':<14} {'red: off':<46} {'twin':<5} {'green':<10} answered")
    succeeded = status == 0 and not results.other_failures
    for proof in PROOFS:
        row = results.rows[proof.name]
        succeeded = (
            succeeded
            and row.violation is not None
            and row.altered_trace_fails
            and not row.failed
        )
        print(_format_row(proof.name, row))
        print(f"{'':<14} {proof.failures}")
    print(
        "\nanswered: least share of repeatable requests answered during failures in "
        "which\nsomething is refused or cut off; - where nothing is"
    )
    return 0 if succeeded else 1


def _format_row(name: str, row: _PromiseResult) -> str:
    violation = row.violation or "NOT RED"
    green = "FAILED" if row.failed else f"{row.passed} tests"
    share = f"{min(row.answered_shares):.0%}" if row.answered_shares else "-"
    altered_trace_fails = "red" if row.altered_trace_fails else "NO"
    return (
        f"{name:<14} {violation[:45]:<46} {altered_trace_fails:<5} {green:<10} {share}"
    )


if __name__ == "__main__":
    sys.exit(main())
