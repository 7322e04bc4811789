# SPDX-License-Identifier: MIT

"""
``saddledoorctl status``: VMs, back ends and leases, as reported by the daemons.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import aiohttp
import click

from ._engine_counts import merge_engine_counts, render_engine_counts
from ._platform import (
    PlatformUnavailableError,
    fetch_each,
    fetch_json,
    fetch_text,
)


__all__ = ["status"]

EXIT_UNAVAILABLE = 3


@click.command()
@click.option("--vm", "address", help="HTTP address of one VM, such as 127.0.0.1:7001.")
@click.option("--vm-list", help="URL of the platform's list of VMs; asks all of them.")
@click.option(
    "--metrics",
    multiple=True,
    help="Address of a gateway's metrics, such as 10.0.0.1:9464; shows its engines.",
)
@click.option("--watch", is_flag=True, help="Print again every two seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(
    address: str | None,
    vm_list: str | None,
    metrics: tuple[str, ...],
    watch: bool,
    as_json: bool,
) -> None:
    """
    Show VMs, the configuration in force, back ends and lease holders.

    With --metrics, show the engines that gateways want, see, and wait for.
    """
    if [address is None, vm_list is None, not metrics].count(False) != 1:
        raise click.UsageError("name one of --vm, --vm-list and --metrics")
    while True:
        try:
            if metrics:
                text = asyncio.run(_show_engines(metrics, as_json))
            else:
                views = asyncio.run(_fetch_views(address, vm_list))
                text = json.dumps(views) if as_json else _render(views)
        except PlatformUnavailableError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_UNAVAILABLE)
        click.echo(text)
        if not watch:
            return
        time.sleep(2.0)


async def _fetch_views(
    address: str | None, vm_list: str | None
) -> dict[str, dict | None]:
    async with aiohttp.ClientSession() as session:
        if address is not None:
            names = {address: address}
        else:
            listed = await fetch_json(session, "GET", f"{vm_list}/v1/vms")
            names = {item["http"]: item["vm"] for item in listed["vms"]}
        urls = {f"http://{http}/v1/status": name for http, name in names.items()}
        answers = await fetch_each(session, urls)
    return {urls[url]: view for url, view in answers.items()}


async def _show_engines(addresses: tuple[str, ...], as_json: bool) -> str:
    async with aiohttp.ClientSession() as session:
        urls = [f"http://{address}/metrics" for address in addresses]
        pages = await asyncio.gather(*(fetch_text(session, url) for url in urls))
    counts = merge_engine_counts(pages)
    if as_json:
        names = ("service", "data_centre", "kind")
        return json.dumps(
            [
                dict(zip(names, place, strict=True)) | states
                for place, states in sorted(counts.items())
            ]
        )
    return render_engine_counts(counts)


def _render(views: dict[str, dict | None]) -> str:
    lines = [f"{'VM':<20} {'DATA CENTRE':<16} {'STAGE':<10} {'CONFIG':>7}  LOG"]
    for name, view in sorted(views.items()):
        if view is None:
            lines.append(f"{name:<20} no answer")
            continue
        away = view["log_away_s"]
        log = "answers" if away is None else f"away for {away} s"
        lines.append(
            f"{view['vm']:<20} {view['data_centre']:<16} {view['stage']:<10} "
            f"{view['config_offset']:>7}  {log}"
        )
    answered = [view for view in views.values() if view is not None]
    lines += ["", f"{'BACK END':<20} {'STATE':<10} {'LOAD':>5} {'AGE S':>6}  VERSIONS"]
    lines += _backend_lines(answered)
    lines += ["", f"{'LEASE':<28} {'FENCE':>6}  HOLDER"]
    lines += _lease_lines(answered)
    return "\n".join(lines)


def _backend_lines(views: list[dict]) -> list[str]:
    newest: dict[str, dict] = {}
    for view in views:
        for report in view["backends"]:
            known = newest.get(report["name"])
            if known is None or report["age_s"] < known["age_s"]:
                newest[report["name"]] = report
    lines = []
    for name, report in sorted(newest.items()):
        state = "alive" if report["alive"] else "dead"
        state = "leaving" if report["leaving"] else state
        versions = " ".join(f"{m}={v}" for m, v in report["versions"].items())
        lines.append(
            f"{name:<20} {state:<10} {report['load']:>5.0f} "
            f"{report['age_s']:>6.1f}  {versions}"
        )
    return lines


def _lease_lines(views: list[dict]) -> list[str]:
    # The view with the highest fencing number is the most recent.
    newest: dict[str, dict] = {}
    for view in views:
        for lease in view["leases"]:
            known = newest.get(lease["name"])
            if known is None or lease["fence"] > known["fence"]:
                newest[lease["name"]] = lease
    return [
        f"{name:<28} {lease['fence']:>6}  "
        f"{'released' if lease['released'] else lease['holder']}"
        for name, lease in sorted(newest.items())
    ]
