# SPDX-License-Identifier: MIT

"""
Prints tables of measurements.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path


__all__ = ["PLOTS", "print_table"]

#: Folder for plots, relative to the working directory.
PLOTS = Path("docs/bench")


def print_table(title: str, head: Sequence[str], rows: Sequence[Sequence]) -> None:
    """
    Print rows in aligned columns, with floats in three significant digits.
    """
    texts = [[_text(cell) for cell in row] for row in rows]
    widths = [
        max(len(name), *(len(row[i]) for row in texts)) for i, name in enumerate(head)
    ]
    print(f"\n{title}")
    for row in (list(head), *texts):
        print("  ".join(cell.rjust(w) for cell, w in zip(row, widths, strict=True)))


def _text(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:.3g}" if abs(cell) < 1000 else f"{cell:.0f}"
    return str(cell)
