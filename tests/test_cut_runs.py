# SPDX-License-Identifier: MIT

"""
``saddledoorctl report runs``: interrupted runs, read from logs.
"""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from saddledoorctl._cli import main
from saddledoorctl._log_lines import LogLine
from saddledoorctl._runs import count_handovers, read_cuts


OBJECTIVE = 7.5


def _line(at: float, event: str, **fields: object) -> LogLine:
    return LogLine(at, {"event": event, "job": "j1", **fields})


def _start_lines() -> list[LogLine]:
    return [
        _line(10.0, "job_submitted", outcome="done", model="m", step=1),
        _line(10.0, "job_taken_up", items=2, kept_events=0),
    ]


def _cut(at: float, events: int, outcome: str, reason: str, item="i1") -> LogLine:
    return _line(
        at,
        "item_attempt_failed",
        item=item,
        engine="e1",
        outcome=outcome,
        reason=reason,
        events=events,
    )


def _listed(at: float, made: int, engines: int, **seconds: float) -> LogLine:
    seconds = {"place": 0.0, "first_event": 0.0, "score": 0.0, "log": 0.0} | seconds
    return _line(
        at,
        "group_listed",
        group="g",
        item="i1",
        events=made,
        engines=["e"] * engines,
        seconds=seconds,
    )


@pytest.mark.parametrize(
    ("outcome", "reason", "expected"),
    [
        ("slow", "e2 is faster", "pace"),
        ("stalled", "engine silent", "silence"),
        ("broken", "silent", "silence"),
        ("broken", "broken off", "engine lost"),
        ("restarted", "the engine has started again", "restarted"),
        ("not_started", "status 503", "refused"),
        ("not_started", "weights changed within the text", "weights"),
        ("not_started", "event 3 of version 1 after 2 does not fit 2", "weights"),
        ("failed", "status 500", "failed"),
    ],
)
def test_each_failed_attempt_has_its_reason(outcome, reason, expected):
    """
    A silent stream and a silent engine have the same reason.
    """
    lines = [*_start_lines(), _cut(11.0, 5, outcome, reason)]
    (cut,) = read_cuts(lines, OBJECTIVE)
    assert (cut.reason, cut.events, cut.resume_delay) == (expected, 5, None)


def test_a_move_is_reported_with_the_time_that_it_saved():
    """
    Ten events at 0.2 s before the move, ten at 0.1 s after it, and 0.5 s without any.
    """
    lines = [
        *_start_lines(),
        _cut(12.5, 11, "slow", "e2 is faster"),
        _listed(14.0, 21, 2, first_event=1.0, events=3.0),
    ]
    (cut,) = read_cuts(lines, OBJECTIVE)
    assert (cut.reason, cut.resume_delay, cut.late) == ("pace", 0.5, False)
    assert cut.saved == pytest.approx(10 * 0.2 - 1.5)


def test_a_move_to_an_engine_that_refuses_has_its_own_reason():
    """
    The time saved covers all cuts of the item, so it compares with other moves.
    """
    lines = [
        *_start_lines(),
        _cut(12.0, 11, "slow", "e2 is faster"),
        _cut(12.1, 11, "not_started", "status 503"),
        _listed(18.0, 21, 3, events=8.0),
    ]
    moved, refused = read_cuts(lines, OBJECTIVE)
    assert (moved.reason, refused.reason) == ("pace, then refused", "refused")
    assert (moved.late, refused.saved) == (True, None)
    assert moved.saved == pytest.approx(10 * 0.2 - 6.0)


def test_a_group_that_is_listed_twice_is_counted_once():
    """
    A partitioned node lists it again while another node holds its share.
    """
    lines = [
        *_start_lines(),
        _cut(11.0, 5, "slow", "e2 is faster"),
        _cut(11.0, 5, "slow", "e2 is faster", item="i2"),
        _listed(14.0, 21, 2, events=3.0),
    ]
    repeated = _listed(19.0, 21, 2, events=8.0)
    repeated.fields["item"] = "i2"
    late = {cut.item: cut.late for cut in read_cuts([*lines, repeated], OBJECTIVE)}
    assert late == {"i1": False, "i2": None}


def test_items_that_change_nodes_are_counted_with_their_events():
    """
    An item without an `item_dropped` line was on a node that crashed. No saved time is
    reported: the next node's first event is not the first of the text.
    """
    lines = [
        *_start_lines(),
        _line(12.0, "item_dropped", item="i1", reason="handed_over", events=11),
        _line(12.5, "job_taken_up", items=2, kept_events=9),
        _listed(14.0, 21, 1, place=0.25, events=1.0),
    ]
    (cut,) = read_cuts(lines, OBJECTIVE)
    assert (cut.reason, cut.resume_delay, cut.saved) == ("handed over", 1.0, None)
    counts = {"items": 2, "let_go": 1, "events": 11, "kept": 9}
    assert count_handovers(lines) == counts


def test_the_report_has_a_row_for_each_reason(tmp_path):
    """
    A file without any job is refused: it would look like a period without failures.
    """
    lines = [*_start_lines(), _cut(11.0, 5, "slow", "e2 is faster")]
    file = tmp_path / "vm.log"
    file.write_text(
        "".join(f"{line.at} vm-1 {json.dumps(line.fields)}\n" for line in lines)
    )
    done = CliRunner().invoke(main, ["report", "runs", str(file)])
    assert done.exit_code == 0
    assert any(row.split()[:2] == ["pace", "1"] for row in done.output.splitlines())
    file.write_text("nothing\n")
    assert CliRunner().invoke(main, ["report", "runs", str(file)]).exit_code == 1
