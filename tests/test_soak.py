# SPDX-License-Identifier: MIT

"""
The soak's plan, its checks and its command line; a short run is in tests/adapter.
"""

from __future__ import annotations

import itertools
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from soak_records import (
    make_asked,
    make_line,
    make_read,
    make_report,
    make_result,
    make_seen,
)

from soak.__main__ import main
from soak.checks import CHECKS, judge
from soak.observed import Ended, Stopped, Submitted
from soak.plan import (
    DESKS,
    EDGES,
    HOLDER,
    OPERATOR,
    POOL,
    STORE,
    Kind,
    Series,
    SoakPlan,
    SoakSettings,
)


_ROOT = Path(__file__).parent.parent
_SETTINGS = SoakSettings()


def test_a_seed_gives_the_same_plan():
    """
    Again and again; another seed gives another one.
    """
    plans = [SoakPlan.from_seed(seed, _SETTINGS) for seed in (1, 1, 2)]
    assert plans[0] == plans[1]
    assert plans[0].faults != plans[2].faults


@pytest.mark.parametrize("seed", range(20))
def test_the_series_of_different_processes_overlap(seed):
    """
    Those of one process follow one another, within the time of the run.
    """
    plan = SoakPlan.from_seed(seed, _SETTINGS)
    for target in (*EDGES, *POOL, *DESKS, STORE, OPERATOR, HOLDER):
        series = plan.of(target)
        for before, after in itertools.pairwise(series):
            assert before.at + before.lasts <= after.at
    assert all(0 < fault.at < _SETTINGS.seconds for fault in plan.faults)
    spans = [(f.at, f.at + f.lasts) for f in plan.faults]
    assert any(a < c < b for a, b in spans for c, _ in spans)


def test_planned_stops_come_right_after_standstills_that_callers_can_bear():
    """
    Within 50 ms, and while services fail; nothing else is wrong.
    """
    settings = SoakSettings(series=Series.STOPS)
    faults = [
        f for seed in range(20) for f in SoakPlan.from_seed(seed, settings).faults
    ]
    assert {fault.target for fault in faults} == {*EDGES, *DESKS}
    lengths = [fault.lasts for fault in faults if fault.kind is Kind.THAW_STOP]
    assert 0.2 <= min(lengths) < max(lengths) <= 0.5


def test_some_seeds_draw_every_kind_of_fault():
    """
    Twenty seeds of each series leave none out.
    """
    plans = [
        SoakPlan.from_seed(seed, SoakSettings(series=series))
        for series in Series
        for seed in range(1, 21)
    ]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(Kind)


def test_a_run_that_goes_well_breaks_no_promise():
    """
    The builders' records are good ones.
    """
    assert judge(make_seen(asked=[make_asked()])) == []


#: What is added to a good run, and the check that has to find it.
_BROKEN = [
    ("whole_answers", {"asked": [make_asked(body="answer to other")]}),
    ("whole_answers", {"asked": [make_asked(mark="")]}),
    ("runs_once", {"engines": [make_line(target="/book/x")] * 2}),
    ("never_runs", {"asked": [make_asked(status=503)], "engines": [make_line()]}),
    (
        "never_runs",
        {
            "submitted": [Submitted("other", 1, 1, (503, 429), 4.0)],
            "engines": [make_line(id="other.i0")],
        },
    ),
    ("accepted_stays", {"read": [make_read(status=404)]}),
    ("accepted_stays", {"never": ["edge-0 answers 503"]}),
    ("positions", {"read": [make_read(make_result(), make_result())]}),
    ("positions", {"read": [make_read(make_result(), since=1)]}),
    ("positions", {"read": [make_read(total=2)]}),
    (
        "positions_stay",
        {"read": [make_read(began=9.5, at=9.6, results=())]},
    ),
    ("versions", {"submitted": [Submitted("job", 1, 3, (202,), 4.0)]}),
    (
        "versions",
        {"read": [make_read(make_result(id="job.i1", score="seal-job.s1"))]},
    ),
    ("texts", {"read": [make_read(make_result(message="job.i0-1"))]}),
    ("texts", {"read": [make_read(make_result(state="dead"))]}),
    ("scores", {"read": [make_read(make_result(score="seal-other"))]}),
    ("scores", {"engines": [make_line(id="job.s0", at=4.9)]}),
    ("workspaces", {"asked": [make_asked()], "engines": [make_line(tenant="blue")]}),
    ("workspaces", {"asked": [make_asked()], "engines": [make_line()]}),
    ("workspaces", {"engines": [make_line(id="job.i0", tenant="blue")]}),
    ("workspaces", {"engines": [make_line(id="job.s0", tenant="red")]}),
    ("workspaces", {"engines": [make_line(tenant="red", key="red-0")]}),
    (
        "workspaces",
        {"asked": [make_asked(key="nobody-0")], "engines": [make_line()]},
    ),
    ("keys", {"asked": [make_asked(key="nobody-0")]}),
    ("keys", {"asked": [make_asked(status=401)]}),
    (
        "keys",
        {
            "asked": [
                make_asked(key="red-3"),
                make_asked(key="red-3", status=401, at=11.0),
                make_asked(key="red-3", began=11.3, at=11.4),
            ]
        },
    ),
    ("usage", {"reports": [make_report(), make_report(counts=(("red", 2),))]}),
    ("usage", {"reports": [make_report(), make_report(window=8, holder="edge-1")]}),
    (
        "nothing_after_the_end",
        {"ended": [Ended("job", 0.5, 1.0)], "engines": []},
    ),
    (
        "fences",
        {
            "engines": [
                make_line("order", holder="edge-0", fence=7, at=7.0),
                make_line("order", holder="edge-1", fence=3, at=7.1),
            ]
        },
    ),
    (
        "fences",
        {
            "engines": [
                make_line("order", holder="edge-0", fence=7, at=7.0),
                make_line("order", engine="e", holder="edge-1", fence=3, at=8.1),
            ]
        },
    ),
    (
        "fences",
        {
            "engines": [
                make_line("order", holder="edge-0", fence=7),
                make_line("order", holder="edge-1", fence=7),
            ]
        },
    ),
    ("planned_stops", {"stopped": [Stopped("edge-0", 1, 9.0, 1, 3.0)]}),
    ("planned_stops", {"stopped": [Stopped("edge-0", 1, 9.0, 0, 8.5)]}),
    ("planned_stops", {"stopped": [Stopped("edge-0", 1, 9.0, None, 12.0)]}),
    (
        "stops_cut_nothing",
        {
            "stopped": [Stopped("edge-0", 1, 13.0, 0, 4.0)],
            "asked": [make_asked(status=0)],
            "engines": [make_line()],
        },
    ),
    (
        # The caller gave up after a standstill of the edge that it had waited through.
        "stops_cut_nothing",
        {
            "stopped": [Stopped("edge-0", 1, 14.3, 0, 3.7)],
            "asked": [make_asked(status=0, began=9.0, at=11.6)],
            "thaws": [("edge-0", 10.67)],
        },
    ),
    (
        "stops_cut_nothing",
        {
            "stopped": [Stopped("edge-0", 1, 13.0, 0, 4.0)],
            "asked": [make_asked(status=0, began=9.0, at=11.6)],
            "thaws": [("edge-0", 8.9), ("edge-1", 10.0)],
        },
    ),
    (
        "stops_cut_nothing",
        {
            "stopped": [Stopped("edge-0", 1, 13.0, 0, 4.0)],
            "asked": [make_asked(status=0, began=9.0, at=11.0)],
            "thaws": [("edge-0", 10.0)],
        },
    ),
    (
        "configuration",
        {
            "asked": [
                make_asked(target="/r1/"),
                make_asked(target="/r1/", status=404, began=11.0, at=11.1),
            ]
        },
    ),
]


def test_keys_that_come_and_go_and_reports_that_are_repeated_break_nothing():
    """
    A key may be unknown before it is known, and refused once it is taken away.
    """
    asked = [
        make_asked(key="red-3", status=401, at=9.0),
        make_asked(key="red-3"),
        make_asked(key="red-3", status=401, at=11.0),
        make_asked(key="nobody-0", status=401),
    ]
    reports = [make_report(), make_report(at=2.0, holder="edge-1", fence=5)]
    assert judge(make_seen(asked=asked, reports=reports)) == []


@pytest.mark.parametrize(("check", "added"), _BROKEN)
def test_a_broken_promise_is_found(check, added):
    """
    By the check that is meant for it.
    """
    assert check in {finding.check for finding in judge(make_seen(**added))}


def test_every_check_is_tried_and_named_by_the_row_it_watches():
    """
    docs/PROMISES.md names it, with the beginning of a row of the second part.
    """
    assert {name for name, _ in _BROKEN} == {check.name for check in CHECKS}
    text = (_ROOT / "docs" / "PROMISES.md").read_text()
    for check in CHECKS:
        assert re.search(rf"^\| {re.escape(check.row)}", text, re.M)
        assert re.search(
            rf"^\| `{check.name}` \| {re.escape(check.row)} \|", text, re.M
        )


@pytest.mark.parametrize(
    ("arguments", "field"),
    [
        (["--seeds", "1,x"], "seeds"),
        (["--seeds", ""], "seeds"),
        (["--seeds", "1,,2"], "seeds"),
        (["--seeds=-1"], "seeds"),
        (["--seconds", "0"], "seconds"),
        (["--seconds", "long"], "seconds"),
        (["--seconds", "nan"], "seconds"),
        (["--series", "some"], "series"),
    ],
)
def test_seeds_and_settings_that_cannot_be_used_are_named(arguments, field):
    """
    In one line, with status 2, and nothing is started.
    """
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 2
    assert done.stderr.startswith(f"{field}: ")
    assert len(done.stderr.splitlines()) == 1
    assert done.stdout == ""
