# SPDX-License-Identifier: MIT

"""
Recorded traces hold against their stated outcomes; each broken twin names its event.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from saddledoor.tracing import CHECKS
from saddledoorctl._cli import main


_FOLDER = Path(__file__).parent.parent / "traces"
_TRACES = sorted(_FOLDER.glob("*.jsonl"))


def _replay(path: Path):
    return CliRunner().invoke(main, ["replay", str(path)])


@pytest.mark.parametrize("path", _TRACES, ids=[path.stem for path in _TRACES])
def test_a_recorded_trace_holds(path):
    """
    Replaying a trace of real processes makes the same decisions and breaks nothing.
    """
    done = _replay(path)
    assert done.exit_code == 0, done.output


@pytest.mark.parametrize("promise", CHECKS)
def test_a_broken_twin_is_found_out(promise, record_property):
    """
    A trace that differs in one event breaks its promise at that event.
    """
    record_property("promise", promise)
    done = _replay(_FOLDER / "broken" / f"{promise}.jsonl")
    assert done.exit_code == 1
    assert f"{promise} is broken by event " in done.output


def test_every_promise_has_a_trace():
    """
    No check stands without a recorded trace that states it.
    """
    stated = "".join(path.with_suffix(".outcomes.json").read_text() for path in _TRACES)
    assert [promise for promise in CHECKS if f'"{promise}"' not in stated] == []


@pytest.mark.parametrize(
    ("content", "outcomes"),
    [
        (b"", "{}"),
        (b"not json\n", '{"promises": [], "counts": {}}'),
        (b"\xff\n", '{"promises": [], "counts": {}}'),
        (b'{"at": 1, "node": "a", "event": {"kind": "moon"}}\n', "{}"),
        (None, '{"promises": ["moon"], "counts": {}}'),
        (None, "not json"),
        (None, None),
    ],
)
def test_a_file_that_cannot_be_used_is_told(tmp_path, content, outcomes):
    """
    Unusable traces and outcomes end with status 2 and name the place.
    """
    path = tmp_path / "trace.jsonl"
    good = b'{"at": 1, "node": "a", "event": {"kind": "node_began"}}\n'
    path.write_bytes(good if content is None else content)
    if outcomes is not None:
        path.with_suffix(".outcomes.json").write_text(outcomes)
    done = _replay(path)
    assert done.exit_code == 2
    assert "found" in done.output
