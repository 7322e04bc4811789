# SPDX-License-Identifier: MIT

"""
Replay of the recorded traces, and of traces with one event that breaks a promise.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from saddledoor.tracing import CHECKS
from saddledoorctl._cli import main


_TRACE_FOLDER = Path(__file__).parent.parent / "traces"
_TRACES = sorted(_TRACE_FOLDER.glob("*.jsonl"))


def _replay(path: Path):
    return CliRunner().invoke(main, ["replay", str(path)])


@pytest.mark.parametrize("path", _TRACES, ids=[path.stem for path in _TRACES])
def test_a_recorded_trace_holds(path):
    """
    The replay of a recorded trace repeats its decisions and finds no violation.
    """
    result = _replay(path)
    assert result.exit_code == 0, result.output


@pytest.mark.parametrize("promise", CHECKS)
def test_an_altered_trace_breaks_its_promise(promise, record_property):
    """
    The replay of a trace with one altered event reports the violation at an event.
    """
    record_property("promise", promise)
    result = _replay(_TRACE_FOLDER / "broken" / f"{promise}.jsonl")
    assert result.exit_code == 1
    assert f"{promise} is broken by event " in result.output


def test_every_promise_has_a_trace():
    """
    Each check is among the expected outcomes of a recorded trace.
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
def test_an_unusable_file_is_reported(tmp_path, content, outcomes):
    """
    An unusable trace or outcome file causes status 2 and an error message.
    """
    path = tmp_path / "trace.jsonl"
    good = b'{"at": 1, "node": "a", "event": {"kind": "node_began"}}\n'
    path.write_bytes(good if content is None else content)
    if outcomes is not None:
        path.with_suffix(".outcomes.json").write_text(outcomes)
    result = _replay(path)
    assert result.exit_code == 2
    assert "found" in result.output


def test_a_line_separator_in_a_name_does_not_end_a_line(tmp_path):
    """
    Events are encoded without escapes, and only a line feed ends one.
    """
    path = tmp_path / "trace.jsonl"
    line = '{"at": 1, "node": "a\u2028b", "event": {"kind": "node_began"}}\n'
    path.write_text(line, encoding="utf-8")
    path.with_suffix(".outcomes.json").write_text('{"promises": [], "counts": {}}')
    result = _replay(path)
    assert result.exit_code == 0, result.output
