# SPDX-License-Identifier: MIT

"""
Compares two checkouts on the same simulated days and seeds, and prints a table.

A day is a scenario of the bench program, a site one of its deployments.

``python tests/pairs.py --bench PROGRAM --before DIR --after DIR --site FILE ...``: the
program is started in each checkout, runs a day of a deployment and writes a report. It
runs with ``--no-cpu``, so that a pair differs by the code alone.
"""

from __future__ import annotations

import asyncio
import json
import math
import statistics
import tempfile
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click


__all__ = ["Pair", "DayResult", "Summary", "render", "summarise"]

#: Half the width of a mean's 95 % confidence interval, in standard errors, by number of
#: pairs (Student's t).
_QUANTILES = (math.inf, math.inf, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
_QUANTILE_BEYOND = 2.23


@dataclass(frozen=True)
class DayResult:
    """
    The result of one checkout for one day.

    :param score: The report's score ``G``.
    :param broken: Number of broken rules.
    """

    score: float
    broken: int = 0


@dataclass(frozen=True)
class Pair:
    """
    A day and a seed in both checkouts.
    """

    site: str
    day: str
    seed: int
    before: DayResult
    after: DayResult

    @property
    def gain(self) -> float:
        return self.after.score - self.before.score


@dataclass(frozen=True)
class Summary:
    """
    Statistics of a deployment's pairs.

    :param interval: Half the width of the mean gain's 95 % confidence interval;
        infinite for fewer than two pairs.
    :param up: Number of pairs with a gain above 0.
    """

    before: float
    after: float
    gain: float
    interval: float
    up: int
    pairs: int
    broken: int


def summarise(pairs: Iterable[Pair]) -> Summary:
    """
    Return the means of pairs and the confidence interval of the gain.

    :raises ValueError: If there are no pairs.
    """
    found = list(pairs)
    if not found:
        raise ValueError("no pair to summarise")
    gains = [pair.gain for pair in found]
    interval = math.inf
    if len(found) > 1:
        quantile = (
            _QUANTILES[len(found)] if len(found) < len(_QUANTILES) else _QUANTILE_BEYOND
        )
        interval = quantile * statistics.stdev(gains) / math.sqrt(len(found))
    return Summary(
        statistics.fmean(pair.before.score for pair in found),
        statistics.fmean(pair.after.score for pair in found),
        statistics.fmean(gains),
        interval,
        sum(gain > 0 for gain in gains),
        len(found),
        sum(pair.after.broken for pair in found),
    )


def render(pairs: Iterable[Pair]) -> str:
    """
    Return a row for each pair, and one for each deployment.
    """
    by_site: dict[str, list[Pair]] = defaultdict(list)
    lines = ["| site | day, seed | before | after | gain |", "|---|---|---|---|---|"]
    for pair in pairs:
        by_site[pair.site].append(pair)
        lines.append(
            f"| {pair.site} | {pair.day}, {pair.seed} | {_format_result(pair.before)}"
            f" | {_format_result(pair.after)} | {pair.gain:+.3f} |"
        )
    for site, found in by_site.items():
        s = summarise(found)
        lines.append(
            f"| {site} | mean, {s.up} of {s.pairs} up | {s.before:.3f} | {s.after:.3f}"
            f" | {s.gain:+.3f} ± {s.interval:.3f} |"
        )
    return "\n".join(lines)


def _format_result(result: DayResult) -> str:
    return f"{result.score:.3f}" + (
        f", {result.broken} broken" if result.broken else ""
    )


async def _run_day(
    bench: Path, checkout: Path, site: Path, day: str, seed: int, why: str
) -> DayResult:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        process = await asyncio.create_subprocess_exec(
            *(str(bench), "run", str(site), day, "--no-cpu"),
            *("--seed", str(seed), "--report", str(report), "--why", why),
            cwd=checkout,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await process.wait()
        if not report.exists():
            raise click.ClickException(
                f"{checkout}: {site.stem} {day} {seed}: no report"
            )
        table = json.loads(report.read_text())
    return DayResult(float(table["G"]), sum(table["breaks"].values()))


async def _pairs(
    bench: Path,
    checkouts: tuple[Path, Path],
    runs: list[tuple[Path, str, int]],
    jobs: int,
    why: str,
) -> list[Pair]:
    limit = asyncio.Semaphore(jobs)

    async def run_day(checkout: Path, site: Path, day: str, seed: int) -> DayResult:
        async with limit:
            return await _run_day(bench, checkout, site, day, seed, why)

    async def pair(site: Path, day: str, seed: int) -> Pair:
        before, after = await asyncio.gather(
            *(run_day(checkout, site, day, seed) for checkout in checkouts)
        )
        made = Pair(site.stem, day, seed, before, after)
        click.echo(f"{made.site} {day} {seed}: {made.gain:+.3f}", err=True)
        return made

    return await asyncio.gather(*(pair(*run) for run in runs))


@click.command()
@click.option("--bench", type=Path, required=True, help="Program that plays a day.")
@click.option("--before", type=Path, required=True, help="Checkout to compare with.")
@click.option("--after", type=Path, required=True, help="Checkout with the change.")
@click.option("--site", "sites", type=Path, multiple=True, required=True)
@click.option("--days", default="quiet-1,trouble-1,scale-1")
@click.option("--seeds", default="11,12")
@click.option("--jobs", default=2, type=click.IntRange(1), help="Plays at once.")
@click.option("--why", required=True, help="A line for the journal.")
def main(bench, before, after, sites, days, seeds, jobs, why) -> None:
    """
    Play all pairs and print their table.
    """
    runs = [
        (site.resolve(), day, int(seed))
        for site in sites
        for day in days.split(",")
        for seed in seeds.split(",")
    ]
    checkouts = (before.resolve(), after.resolve())
    pairs = asyncio.run(_pairs(bench.resolve(), checkouts, runs, jobs, why))
    click.echo(render(pairs))


if __name__ == "__main__":
    main()
