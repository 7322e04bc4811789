# SPDX-License-Identifier: MIT

"""
``saddledoorctl report``: error budgets and burn rates; adds ``runs`` and ``steps``.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp
import click

from saddledoor import (
    BurnRow,
    BurnTotals,
    CountingGap,
    Deployment,
    burn_rows,
    deployment_from_json,
    find_counting_gaps,
    unpack_document,
)

from ._html import render_html
from ._platform import ConfigStream, LogStream, PlatformUnavailableError
from ._runs import runs
from ._steps import steps


__all__ = ["report"]

EXIT_NO_CONFIG = 1
EXIT_UNAVAILABLE = 3


@dataclass(frozen=True)
class BurnReport:
    """
    The contents of the report.

    :param at: End of the windows, in seconds since 1970.
    :param rows: Rows of the fast window, then of the slow one.
    :param holes: Processes that stopped reporting, whose counts are incomplete.
    """

    deployment: str
    at: float
    rows: tuple[BurnRow, ...]
    holes: tuple[CountingGap, ...]


@click.group()
def report() -> None:
    """
    Reports worked out from the log, or from the processes' logs.
    """


report.add_command(runs)
report.add_command(steps)


@report.command()
@click.option("--log", "log_url", envvar="SADDLEDOOR_LOG", help="URL of the log.")
@click.option(
    "--dump",
    type=click.Path(path_type=Path, exists=True),
    help="JSON file with pages of the streams config and burn, in place of the log.",
)
@click.option("--fast", default=300.0, help="Fast window, in seconds.")
@click.option("--slow", default=3600.0, help="Slow window, in seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--html", "html", type=click.Path(path_type=Path), help="Write a page.")
def burn(
    log_url: str | None,
    dump: Path | None,
    fast: float,
    slow: float,
    as_json: bool,
    html: Path | None,
) -> None:
    """
    Show error budgets and burn rates over two windows, and who spends them.
    """
    if (log_url is None) == (dump is None):
        raise click.UsageError("name either --log or --dump")
    try:
        config, stream = asyncio.run(_read_log(log_url)) if log_url else _load(dump)
    except PlatformUnavailableError as error:
        click.echo(f"the log cannot be reached: {error}", err=True)
        sys.exit(EXIT_UNAVAILABLE)
    if config.fold is None or config.fold.accepted is None:
        click.echo("no configuration is accepted", err=True)
        sys.exit(EXIT_NO_CONFIG)
    found = _build_report(config, stream, (fast, slow), _now(stream, dump))
    if html is not None:
        html.write_text(render_html(found.deployment, found.rows, found.holes))
    if as_json:
        click.echo(json.dumps(asdict(found)))
    elif html is None:
        click.echo(_render(found))


async def _read_log(log_url: str) -> tuple[ConfigStream, LogStream]:
    async with aiohttp.ClientSession() as session:
        config = ConfigStream(session, log_url)
        await config.catch_up()
        stream = LogStream(session, log_url, "burn")
        await stream.catch_up()
    return config, stream


def _load(dump: Path) -> tuple[ConfigStream, LogStream]:
    config, stream = ConfigStream(None, ""), LogStream(None, "", "burn")
    try:
        pages = json.loads(dump.read_bytes())
        config.load(pages["config"])
        stream.load(pages["burn"])
    except (ValueError, KeyError, TypeError) as error:
        raise click.BadParameter(f"{dump}: not a dump of the log: {error!r}") from None
    return config, stream


def _now(stream: LogStream, dump: Path | None) -> float:
    # The windows of a dump end at its last record.
    if dump is None or not stream.entries:
        return time.time()
    return stream.entries[-1].at


def _build_report(
    config: ConfigStream, stream: LogStream, windows: tuple[float, ...], now: float
) -> BurnReport:
    document = unpack_document(config.fold.accepted.document)
    records = [
        (entry.at, entry.record)
        for entry in stream.entries
        if isinstance(entry.record, BurnTotals)
    ]
    return _compute_report(deployment_from_json(document), records, windows, now)


def _compute_report(
    deployment: Deployment,
    records: list[tuple[float, BurnTotals]],
    windows: tuple[float, ...],
    now: float,
) -> BurnReport:
    rows = [
        row
        for window in windows
        for row in burn_rows(deployment.objectives, records, window, now)
    ]
    holes = find_counting_gaps(records, now)
    return BurnReport(deployment.name, now, tuple(rows), tuple(holes))


def _render(found: BurnReport) -> str:
    head = (
        f"{'OBJECTIVE':<18} {'SUBJECT':<24} {'TARGET':>7} {'WINDOW':>7} "
        f"{'EVENTS':>7} {'BURN':>6} {'LEFT':>6}  SPENT BY"
    )
    lines = [found.deployment, head]
    for row in found.rows:
        rate = "-" if row.rate is None else f"{row.rate:.1f}"
        left = "-" if row.left is None else f"{row.left:.0%}"
        spent = " ".join(f"{dc}={n}" for dc, n in row.by_data_centre.items())
        lines.append(
            f"{row.objective:<18} {row.subject:<24} {row.target:>7.2%} "
            f"{row.window_s:>6.0f}s {row.total:>7} {rate:>6} {left:>6}  {spent}"
        )
    if not found.rows:
        lines.append("nothing was counted: objectives in the file, requests served?")
    lines += [
        f"HOLE: {hole.incarnation} in {hole.data_centre} wrote nothing since "
        f"{time.strftime('%H:%M:%S', time.gmtime(hole.since))} UTC; what it counted "
        "after that is not known"
        for hole in found.holes
    ]
    return "\n".join(lines)
