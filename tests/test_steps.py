# SPDX-License-Identifier: MIT

"""
``saddledoorctl report steps``: the time of each step by phase, read from logs.
"""

from __future__ import annotations

import json

from click.testing import CliRunner

from saddledoorctl._cli import main
from saddledoorctl._steps import read_steps


def _submitted(at: float, **changes: object) -> tuple[float, dict]:
    fields = {
        "event": "job_submitted",
        "job": "j1",
        "model": "m",
        "step": 3,
        "items": 4,
        "groups_wanted": 1,
        "outcome": "done",
    }
    return at, fields | changes


def _listed(
    at: float, group: str, placement_seconds: float, event_seconds: float
) -> tuple[float, dict]:
    seconds = {
        "place": placement_seconds,
        "first_event": 0.1,
        "events": event_seconds,
        "log": 0.05,
    }
    return at, {
        "event": "group_listed",
        "job": "j1",
        "group": group,
        "events": 40,
        "engines": ["e1", "e2"],
        "seconds": seconds,
    }


def _ended(at: float) -> tuple[float, dict]:
    return at, {"event": "job_ended", "job": "j1", "acknowledged": True}


def test_a_step_is_reported_by_the_last_group_that_its_trainer_waits_for():
    """
    Groups listed after the number that the trainer wants are left out.
    """
    lines = [
        _submitted(10.0),
        _listed(12.0, "early", 0.25, 1.4),
        _ended(12.5),
        _listed(14.0, "late", 0.0, 3.5),
    ]
    (row,) = read_steps(lines)
    assert (row.model, row.step, row.whole, row.wanted) == ("m", 3, 2, 1)
    assert (row.took, row.attempts) == (2.5, 2)
    assert row.seconds["place"] == 0.25
    assert round(row.before, 3) == 0.2
    assert round(row.after, 3) == 0.5


def test_a_step_without_a_complete_group_is_reported():
    """
    Its trainer has cancelled the job or is still waiting.
    """
    (row,) = read_steps([_submitted(10.0)])
    assert (row.took, row.whole, row.seconds) == (None, 0, {})


def test_the_report_reads_lines_with_a_collectors_timestamp(tmp_path):
    """
    Other text before a line's JSON is ignored, and so are lines without valid JSON.
    """
    lines = [_submitted(10.0), _listed(12.0, "g", 0.25, 1.4), _ended(12.5)]
    file = tmp_path / "vm.log"
    text = "".join(f"{at:9.4f} vm-1 {json.dumps(fields)}\n" for at, fields in lines)
    file.write_text("built\n{cut\n" + text)
    done = CliRunner().invoke(main, ["report", "steps", str(file)])
    assert done.exit_code == 0
    assert "mean seconds of the item that each step waited for" in done.output
    as_json = CliRunner().invoke(main, ["report", "steps", "--json", str(file)])
    assert json.loads(as_json.output)["took"] == 2.5


def test_a_file_without_jobs_is_refused(tmp_path):
    """
    An empty table would look like a period without steps.
    """
    file = tmp_path / "vm.log"
    file.write_text("nothing\n")
    done = CliRunner().invoke(main, ["report", "steps", str(file)])
    assert done.exit_code == 1
    assert "no line tells of a job" in done.output
