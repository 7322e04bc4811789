# SPDX-License-Identifier: MIT

"""
Plots of measurements, if matplotlib is installed.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path


__all__ = ["plot_bars"]


def plot_bars(
    path: Path,
    title: str,
    unit: str,
    groups: Sequence[str],
    series: Mapping[str, Sequence[float]],
) -> bool:
    """
    Write grouped bars as SVG.

    :param groups: Names of the groups of bars.
    :param series: Values by name of the series, one for each group.
    :returns: Whether the plot was written; False if matplotlib is not installed.
    """
    try:
        import matplotlib
        from matplotlib.figure import Figure
    except ImportError:
        print(f"no plot {path.name}: pip install -r requirements-plots.txt")
        return False
    # Makes the output reproducible.
    matplotlib.rcParams["svg.hashsalt"] = "saddledoor"
    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    width = 0.8 / len(series)
    for index, (name, values) in enumerate(series.items()):
        at = [group + index * width for group in range(len(groups))]
        axes.bar(at, values, width, label=name)
    axes.set_xticks([g + 0.4 - width / 2 for g in range(len(groups))], groups)
    axes.set_title(title)
    axes.set_ylabel(unit)
    axes.set_yscale("log" if _needs_log_scale(series) else "linear")
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
    return True


def _needs_log_scale(series: Mapping[str, Sequence[float]]) -> bool:
    values = [value for row in series.values() for value in row if value > 0]
    return bool(values) and max(values) / min(values) > 20
