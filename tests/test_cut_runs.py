# SPDX-License-Identifier: MIT

"""
The report of runs: what the logs tell of those that were cut.
"""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from saddledoorctl._cli import main
from saddledoorctl._log_lines import LogLine
from saddledoorctl._runs import read_cuts, read_taken_up


OBJECTIVE = 7.5


def _line(at: float, event: str, **fields: object) -> LogLine:
    return LogLine(at, {"event": event, "job": "j1", **fields})


def _begun() -> list[LogLine]:
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
    ("outcome", "reason", "told"),
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
def test_each_end_of_an_attempt_has_its_reason(outcome, reason, told):
    """
    Silence of one stream and of a whole engine are one reason.
    """
    lines = [*_begun(), _cut(11.0, 5, outcome, reason)]
    (cut,) = read_cuts(lines, OBJECTIVE)
    assert (cut.reason, cut.events, cut.back) == (told, 5, None)


def test_a_move_is_told_with_what_it_gained():
    """
    Ten gaps of 0.2 s before it and ten of 0.1 s after it, and 0.5 s until the next
    event.
    """
    lines = [
        *_begun(),
        _cut(12.5, 11, "slow", "e2 is faster"),
        _listed(14.0, 21, 2, first_event=1.0, events=3.0),
    ]
    (cut,) = read_cuts(lines, OBJECTIVE)
    assert (cut.reason, cut.back, cut.late) == ("pace", 0.5, False)
    assert cut.gained == pytest.approx(10 * 0.2 - 1.5)


def test_a_move_to_an_engine_that_refuses_is_told_apart():
    """
    With the gain of all that the item went through, so it can be set against the rest.
    """
    lines = [
        *_begun(),
        _cut(12.0, 11, "slow", "e2 is faster"),
        _cut(12.1, 11, "not_started", "status 503"),
        _listed(18.0, 21, 3, events=8.0),
    ]
    moved, refused = read_cuts(lines, OBJECTIVE)
    assert (moved.reason, refused.reason) == ("pace, then refused", "refused")
    assert (moved.late, refused.gained) == (True, None)
    assert moved.gained == pytest.approx(10 * 0.2 - 6.0)


def test_a_group_that_is_listed_in_vain_is_not_counted():
    """
    By a node that was cut off while another one ran its share.
    """
    lines = [
        *_begun(),
        _cut(11.0, 5, "slow", "e2 is faster"),
        _cut(11.0, 5, "slow", "e2 is faster", item="i2"),
        _listed(14.0, 21, 2, events=3.0),
    ]
    in_vain = _listed(19.0, 21, 2, events=8.0)
    in_vain.fields["item"] = "i2"
    told = {cut.item: cut.late for cut in read_cuts([*lines, in_vain], OBJECTIVE)}
    assert told == {"i1": False, "i2": None}


def test_what_goes_from_node_to_node_is_counted_with_its_events():
    """
    An item without a line was at a node that was lost; no gain is told of either, since
    the next node's first event is not the text's.
    """
    lines = [
        *_begun(),
        _line(12.0, "item_dropped", item="i1", reason="handed_over", events=11),
        _line(12.5, "job_taken_up", items=2, kept_events=9),
        _listed(14.0, 21, 1, place=0.25, events=1.0),
    ]
    (cut,) = read_cuts(lines, OBJECTIVE)
    assert (cut.reason, cut.back, cut.gained) == ("handed over", 1.0, None)
    counts = {"items": 2, "let_go": 1, "events": 11, "kept": 9}
    assert read_taken_up(lines) == counts


def test_the_report_has_a_row_for_each_reason(tmp_path):
    """
    And refuses a file that tells of no job, which would look like a calm day.
    """
    lines = [*_begun(), _cut(11.0, 5, "slow", "e2 is faster")]
    file = tmp_path / "vm.log"
    file.write_text(
        "".join(f"{line.at} vm-1 {json.dumps(line.fields)}\n" for line in lines)
    )
    done = CliRunner().invoke(main, ["report", "runs", str(file)])
    assert done.exit_code == 0
    assert any(row.split()[:2] == ["pace", "1"] for row in done.output.splitlines())
    file.write_text("nothing\n")
    assert CliRunner().invoke(main, ["report", "runs", str(file)]).exit_code == 1
