# SPDX-License-Identifier: MIT

"""
Removes one guard at a time from a scratch copy and runs the test that must fail.

A guard whose removal fails no test is either untested or unnecessary.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path

from guard_rows import GUARDS, Guard


__all__ = ["fails_without", "scratch_copy"]

_ROOT = Path(__file__).parent.parent
_PACKAGES = ("saddledoor", "saddledoord", "saddledoorctl", "saddledoor-standins")


def fails_without(guard: Guard) -> bool:
    """
    Return whether the guard's test fails without the guard.

    :raises ValueError: If the guard's text does not occur exactly once in its file, or
        if pytest ends with an error other than failed tests.
    """
    change = (guard.path, guard.before, guard.after)
    with scratch_copy(guard.name, [change]) as (copy, environment):
        file, expression = guard.test
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", file, "-k", expression],
            cwd=copy,
            env=environment,
            capture_output=True,
            check=False,
        )
        # pytest exits with 1 for failed tests; any other error is a fault of the row.
        if done.returncode not in (0, 1):
            raise ValueError(f"{guard.name}: pytest ended with {done.returncode}")
        return done.returncode == 1


@contextlib.contextmanager
def scratch_copy(
    name: str, changes: Iterable[tuple[str, str, str]]
) -> Iterator[tuple[Path, dict[str, str]]]:
    """
    Yield a changed copy of the code, and the environment in which programs import it.

    :param changes: Path, text to replace and its replacement, for each change.
    :raises ValueError: If a text does not occur exactly once in its file.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("packages", "platform", "tests"):
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(_ROOT / part, copy / part, ignore=ignore)
        shutil.copy(_ROOT / "pyproject.toml", copy)
        for file, before, after in changes:
            path = copy / file
            text = path.read_text()
            if text.count(before) != 1:
                raise ValueError(f"{name}: not once in {file}")
            path.write_text(text.replace(before, after))
        sources = [str(copy / "packages" / part / "src") for part in _PACKAGES]
        yield copy, {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}


def main(words: list[str]) -> int:
    """
    Print a row per guard.

    :param words: Selects the guards whose name contains one of them; all if empty.
    :returns: 0 if every removal fails its test, else 1.
    """
    good = True
    for guard in GUARDS:
        if words and not any(word in guard.name for word in words):
            continue
        has_failed = fails_without(guard)
        good = good and has_failed
        print(f"{guard.name:<50} {'red' if has_failed else 'NOT NOTICED'}", flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
