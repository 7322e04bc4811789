# SPDX-License-Identifier: MIT

"""
``saddledoorctl replay``: checks recorded traces against their stated outcomes.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
from pydantic import TypeAdapter, ValidationError

from saddledoor import validation_problems
from saddledoor.exceptions import InvalidDocumentError, Problem
from saddledoor.tracing import CHECKS, ExpectedOutcomes, Violation, read_trace, replay


__all__ = ["load_outcomes", "replay_command", "replay_file"]

EXIT_VIOLATED = 1
EXIT_USAGE = 2

_OUTCOMES = TypeAdapter(ExpectedOutcomes)


def load_outcomes(trace: Path) -> ExpectedOutcomes:
    """
    Read the expected outcomes of a trace from the file beside it.

    :raises InvalidDocumentError: If the file is missing or invalid.
    """
    path = trace.with_suffix(".outcomes.json")
    try:
        outcomes = _OUTCOMES.validate_json(path.read_bytes())
    except OSError as error:
        raise _unusable(path, error.strerror or "an error") from None
    except ValidationError as error:
        raise InvalidDocumentError(str(path), validation_problems(error)) from None
    unknown = [name for name in outcomes.promises if name not in CHECKS]
    if unknown:
        problem = Problem("promises", repr(unknown), f"some of {list(CHECKS)}")
        raise InvalidDocumentError(str(path), (problem,))
    return outcomes


def replay_file(path: Path) -> Violation | None:
    """
    Replay a trace and check its expected outcomes.

    :returns: The first violation; None if all outcomes hold.
    :raises InvalidDocumentError: If either file is missing or invalid.
    """
    try:
        lines = path.read_text(encoding="utf-8").split("\n")
    except UnicodeDecodeError:
        raise _unusable(path, "bytes that are not UTF-8") from None
    except OSError as error:
        raise _unusable(path, error.strerror or "an error") from None
    return replay(read_trace(str(path), lines), load_outcomes(path))


@click.command("replay")
@click.argument("traces", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def replay_command(traces: tuple[Path, ...], as_json: bool) -> None:
    """
    Replay TRACES; 0 if all outcomes hold, 1 if one is broken, 2 for unusable files.

    Files that state outcomes (*.outcomes.json) may be named too; they are read with
    their trace.
    """
    status = 0
    for path in traces:
        if path.name.endswith(".outcomes.json") or path.is_dir():
            continue
        status = max(status, _replay_one(path, as_json))
    sys.exit(status)


def _replay_one(path: Path, as_json: bool) -> int:
    try:
        broken = replay_file(path)
    except InvalidDocumentError as error:
        click.echo(str(error), err=True)
        return EXIT_USAGE
    if as_json:
        detail = vars(broken) if broken else None
        click.echo(json.dumps({"trace": str(path), "broken": detail}))
    elif broken is None:
        click.echo(f"{path}: holds")
    else:
        click.echo(
            f"{path}: {broken.promise} is broken by event {broken.index}: "
            f"{broken.reason}"
        )
    return 0 if broken is None else EXIT_VIOLATED


def _unusable(path: Path, found: str) -> InvalidDocumentError:
    return InvalidDocumentError(str(path), (Problem("file", found, "a UTF-8 file"),))
