# SPDX-License-Identifier: MIT

"""
``python -m soak``: runs seeds and prints a line of JSON for each.
"""

from __future__ import annotations

import json
import shutil
import sys
from dataclasses import asdict
from pathlib import Path

import click

from .plan import SoakSettings, UnusableSoakError
from .run import SoakBrokenError, Verdict, run_seed


#: Exit statuses: a broken promise; invalid seeds or settings; an error of the soak
#: itself, which makes its verdict invalid.
_EXIT_VIOLATION, _EXIT_USAGE, _EXIT_FAULT = 1, 2, 3


@click.command()
@click.option("--seeds", default="1,2,3", help="Whole numbers with commas.")
@click.option("--seconds", default="14", help="How long faults are injected.")
@click.option("--series", default="all", help="Which faults: all, stops, or links.")
@click.option("--logs", default="target/soak", help="Logs of seeds that fail.")
def main(seeds: str, seconds: str, series: str, logs: str) -> None:
    """
    Run seeds, one after the other.
    """
    try:
        numbers = parse_seeds(seeds)
        settings = SoakSettings.from_text(seconds, series)
    except UnusableSoakError as error:
        click.echo(error, err=True)
        sys.exit(_EXIT_USAGE)
    try:
        verdicts = [_run(seed, settings, Path(logs)) for seed in numbers]
    except SoakBrokenError as error:
        click.echo(f"the soak itself failed: {error}", err=True)
        sys.exit(_EXIT_FAULT)
    broken = [verdict.seed for verdict in verdicts if verdict.findings]
    click.echo(f"{len(verdicts)} seeds, {len(broken)} with broken promises", err=True)
    if broken:
        again = ",".join(str(seed) for seed in broken)
        click.echo(
            f"again: make soak SEEDS={again} SECONDS={seconds} SERIES={series}",
            err=True,
        )
        sys.exit(_EXIT_VIOLATION)


def parse_seeds(text: str) -> list[int]:
    """
    Parse the list of seeds.

    :raises UnusableSoakError: If it is empty, or a seed is not an integer.
    """
    words = text.split(",")
    if not all(word.strip().isascii() and word.strip().isdigit() for word in words):
        wanted = "whole numbers with commas between them are needed"
        raise UnusableSoakError(f"seeds: {wanted}, not {text!r}")
    return [int(word) for word in words]


def _run(seed: int, settings: SoakSettings, logs: Path) -> Verdict:
    folder = logs / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    verdict = run_seed(seed, settings, folder, lambda text: click.echo(text, err=True))
    click.echo(json.dumps(asdict(verdict)))
    if not verdict.findings:
        shutil.rmtree(folder)
        click.echo(f"seed {seed}: every promise kept", err=True)
    for finding in verdict.findings[:10]:
        description = f"{finding.check} ({finding.row}): {finding.detail}"
        click.echo(f"seed {seed}: BROKEN {description}", err=True)
    return verdict


if __name__ == "__main__":
    main()
