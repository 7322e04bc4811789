# SPDX-License-Identifier: MIT

"""
Runs the soak on broken builds: ``python -m soak.mutants [SEEDS]``.

The checks must find each fault within five seeds.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass

from guard_rows.guard import DAEMON, LIBRARY
from guards import scratch_copy


__all__ = ["MUTANTS", "Mutant"]

_SEEDS = "1,2,3,4,5"
_LEASE = f"{DAEMON}/duties/lease.py"


@dataclass(frozen=True)
class Mutant:
    """
    A broken build.

    :param changes: Path, original text and replacement of each change.
    """

    name: str
    changes: tuple[tuple[str, str, str], ...]


MUTANTS = (
    Mutant(
        "a truncated history counts as complete",
        (
            (
                f"{LIBRARY}/_leases.py",
                "is_complete=first == 0)",
                "is_complete=True)",
            ),
            (
                f"{LIBRARY}/_leases.py",
                "if offset != record.folded_to:",
                "if True:",
            ),
        ),
    ),
    Mutant(
        "an unrepeatable request is sent again",
        (
            (
                f"{DAEMON}/serving/pass_through.py",
                "case OutcomeUnknown():\n"
                "            return route.kind is not RouteKind.SAFE",
                "case OutcomeUnknown():\n            return False",
            ),
        ),
    ),
    Mutant(
        "a holder goes on after its lease",
        (
            (
                _LEASE,
                "return held if held and held.may_act(boot_time(), margin) else None",
                "return held",
            ),
            (
                _LEASE,
                "return held.may_act(now) and lease is not None"
                " and lease.fence == held.fence",
                "return True",
            ),
        ),
    ),
    Mutant(
        "an item runs under its trainer's own words",
        (
            (
                f"{DAEMON}/jobs/item_run.py",
                "workspace=job.workspace,",
                "workspace=None,",
            ),
        ),
    ),
    Mutant(
        "a report is counted anew by each holder",
        (
            (
                f"{DAEMON}/duties/usage_reporter.py",
                "            return decided\n        record",
                "            return self._fold.counted(window)\n        record",
            ),
        ),
    ),
    Mutant(
        "a result is listed twice",
        (
            (
                f"{LIBRARY}/_job_fold.py",
                "if result.item_id not in state.listed:",
                "if True:",
            ),
        ),
    ),
)


def main(seeds: str = _SEEDS, name_part: str = "") -> int:
    """
    Run the mutants and print a row for each mutant and seed.

    :param name_part: Selects the mutants whose name contains it.

    :returns: 0 if every mutant was caught.
    """
    all_caught = True
    for mutant in MUTANTS:
        if name_part not in mutant.name:
            continue
        caught = [seed for seed in seeds.split(",") if _is_caught(mutant, seed)]
        all_caught = all_caught and bool(caught)
        print(f"{mutant.name:<40} {','.join(caught) or 'NOT CAUGHT'}", flush=True)
    return 0 if all_caught else 1


def _is_caught(mutant: Mutant, seed: str) -> bool:
    with scratch_copy(mutant.name, mutant.changes) as (copy, environment):
        paths = [environment["PYTHONPATH"], "tests", "tests/adapter"]
        done = subprocess.run(
            [sys.executable, "-m", "soak", f"--seeds={seed}"],
            cwd=copy,
            env={**environment, "PYTHONPATH": os.pathsep.join(paths)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            check=False,
        )
    if done.returncode not in (0, 1):
        raise ValueError(f"{mutant.name}: the soak ended with {done.returncode}")
    findings = json.loads(done.stdout)["findings"]
    checks = dict(Counter(finding["check"] for finding in findings))
    print(f"{mutant.name:<40} seed {seed}: {checks}", flush=True)
    return done.returncode == 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
