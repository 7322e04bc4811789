# SPDX-License-Identifier: MIT

"""
Renders the burn report as one HTML page with an inline plot.
"""

from __future__ import annotations

import html
import io
from collections.abc import Sequence

import click

from saddledoor import BurnRow, CountingGap


__all__ = ["render_html"]

_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}"
    "td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}"
    "td:first-child,td:nth-child(2),th:first-child{text-align:left}"
    ".over{color:#b00;font-weight:bold}.hole{color:#b60}"
)


def render_html(
    deployment: str, rows: Sequence[BurnRow], gaps: Sequence[CountingGap]
) -> str:
    """
    Return the HTML page.

    :param gaps: Processes that stopped reporting, whose counts are incomplete.

    :raises click.ClickException: If matplotlib is not installed.
    """
    body = "".join(_row(row) for row in rows)
    missing = "".join(
        f"<p class=hole>Hole: {html.escape(gap.incarnation)} in "
        f"{html.escape(gap.data_centre)} fell silent; what it counted is not known."
        for gap in gaps
    )
    head = "".join(
        f"<th>{name}"
        for name in (
            "objective",
            "subject",
            "target",
            "window, s",
            "events",
            "burn rate",
            "budget left",
            "spent by",
        )
    )
    title = f"Burn report: {html.escape(deployment)}"
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title>"
        f"<style>{_STYLE}</style><h1>{title}</h1>{missing}"
        f"<table><tr>{head}{body}</table>{_plot(rows)}</html>"
    )


def _row(row: BurnRow) -> str:
    rate = "-" if row.rate is None else f"{row.rate:.2f}"
    left = "-" if row.left is None else f"{row.left:.0%}"
    over = " class=over" if row.rate is not None and row.rate > 1 else ""
    spent = " ".join(f"{dc}={count}" for dc, count in row.by_data_centre.items())
    cells = (
        row.objective,
        row.subject,
        f"{row.target:.2%}",
        f"{row.window_s:.0f}",
        str(row.total),
        rate,
        left,
        spent,
    )
    return f"<tr{over}>" + "".join(f"<td>{html.escape(cell)}" for cell in cells)


def _plot(rows: Sequence[BurnRow]) -> str:
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise click.ClickException(
            "--html needs matplotlib: pip install -r requirements-plots.txt"
        ) from None
    shown = [row for row in rows if row.rate is not None]
    figure = Figure(figsize=(9, 1 + 0.3 * len(shown)))
    axes = figure.subplots()
    names = [f"{r.objective} {r.subject} {r.window_s:.0f} s" for r in shown]
    axes.barh(names, [row.rate for row in shown])
    axes.axvline(1.0, color="red")
    axes.set_xlabel("burn rate (1: the whole budget is spent in the window)")
    figure.tight_layout()
    image = io.StringIO()
    figure.savefig(image, format="svg")
    text = image.getvalue()
    return text[text.index("<svg") :]
