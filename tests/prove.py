# SPDX-License-Identifier: MIT

"""
``make prove``: one row per promise, with the failure that was brought about, the red
that was seen with the mechanism off or on a broken twin, and the green.
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
)
_RED = "test_the_proof_fails_without_the_mechanism"
_TWIN = "test_a_broken_twin_is_found_out"


@dataclass
class _Row:
    """
    What was seen for a promise.
    """

    red: str | None = None
    twin: bool = False
    passed: int = 0
    failed: list[str] = field(default_factory=list)
    answered: list[float] = field(default_factory=list)


class _Collector:
    """
    Gathers what the tests recorded of their promises.
    """

    def __init__(self) -> None:
        self.rows = {proof.name: _Row() for proof in PROOFS}
        self.other_failures: list[str] = []

    def pytest_runtest_logreport(self, report) -> None:
        properties = dict(report.user_properties)
        row = self.rows.get(properties.get("promise"))
        if report.failed:
            failures = row.failed if row else self.other_failures
            failures.append(report.nodeid)
        if row is None or report.when != "call" or not report.passed:
            return
        if _RED in report.nodeid:
            row.red = properties["red"]
        elif _TWIN in report.nodeid:
            row.twin = True
        else:
            row.passed += 1
        if "repeatable_answered" in properties:
            row.answered.append(properties["repeatable_answered"])


def main() -> int:
    """
    Run the proofs and print the table.

    :returns: 0 if every red was red and every green was green.
    """
    collector = _Collector()
    files = [str(_HERE / name) for name in _FILES]
    status = pytest.main([*files, *sys.argv[1:]], plugins=[collector])
    print(f"\n{'promise':<14} {'red: off':<46} {'twin':<5} {'green':<10} answered")
    good = status == 0 and not collector.other_failures
    for proof in PROOFS:
        row = collector.rows[proof.name]
        good = good and row.red is not None and row.twin and not row.failed
        print(_line(proof.name, row))
        print(f"{'':<14} {proof.failures}")
    print(
        "\nanswered: least share of repeatable requests answered during failures in "
        "which\nsomething is refused or cut off; - where nothing is"
    )
    return 0 if good else 1


def _line(name: str, row: _Row) -> str:
    red = row.red or "NOT RED"
    green = "FAILED" if row.failed else f"{row.passed} tests"
    share = f"{min(row.answered):.0%}" if row.answered else "-"
    twin = "red" if row.twin else "NO"
    return f"{name:<14} {red[:45]:<46} {twin:<5} {green:<10} {share}"


if __name__ == "__main__":
    sys.exit(main())
