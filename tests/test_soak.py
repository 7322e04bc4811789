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
    make_line,
    make_observations,
    make_read,
    make_report,
    make_request,
    make_result,
)

from soak.__main__ import main
from soak.checks import CHECKS, judge
from soak.observed import JobEnd, JobSubmission, PlannedStop
from soak.plan import (
    DESKS,
    EDGES,
    HOLDER,
    JOINER,
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
    A plan is deterministic, and differs between seeds.
    """
    plans = [SoakPlan.from_seed(seed, _SETTINGS) for seed in (1, 1, 2)]
    assert plans[0] == plans[1]
    assert plans[0].faults != plans[2].faults


@pytest.mark.parametrize("seed", range(20))
def test_faults_of_different_processes_overlap(seed):
    """
    Faults of one process do not overlap; all faults lie within the run.
    """
    plan = SoakPlan.from_seed(seed, _SETTINGS)
    for target in (*EDGES, *POOL, *DESKS, STORE, OPERATOR, HOLDER, JOINER):
        process_faults = plan.of(target)
        for before, after in itertools.pairwise(process_faults):
            assert before.at + before.duration <= after.at
    assert all(0 < fault.at < _SETTINGS.seconds for fault in plan.faults)
    spans = [(f.at, f.at + f.duration) for f in plan.faults]
    assert any(a < c < b for a, b in spans for c, _ in spans)


def test_planned_stops_follow_pauses_shorter_than_callers_timeout():
    """
    Edges pause for 0.2 to 0.5 s before a stop; all other faults are of services.
    """
    settings = SoakSettings(series=Series.STOPS)
    faults = [
        f for seed in range(20) for f in SoakPlan.from_seed(seed, settings).faults
    ]
    assert {fault.target for fault in faults} == {*EDGES, *DESKS}
    lengths = [fault.duration for fault in faults if fault.kind is Kind.THAW_STOP]
    assert 0.2 <= min(lengths) < max(lengths) <= 0.5


def test_some_seeds_draw_every_kind_of_fault():
    """
    Twenty seeds of each series draw all of its kinds.
    """
    plans = [
        SoakPlan.from_seed(seed, SoakSettings(series=series))
        for series in Series
        for seed in range(1, 21)
    ]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(Kind)


def test_a_correct_run_has_no_findings():
    """
    No check fails on the builders' default records.
    """
    assert judge(make_observations(requests=[make_request()])) == []


#: The check that must find a violation, and the records that cause it.
_VIOLATIONS = [
    ("whole_answers", {"requests": [make_request(body="answer to other")]}),
    ("whole_answers", {"requests": [make_request(signature="")]}),
    ("runs_once", {"engine_lines": [make_line(target="/book/x")] * 2}),
    (
        "never_runs",
        {"requests": [make_request(status=503)], "engine_lines": [make_line()]},
    ),
    (
        "never_runs",
        {
            "submissions": [JobSubmission("other", 1, 1, (503, 429), 4.0)],
            "engine_lines": [make_line(id="other.i0")],
        },
    ),
    ("accepted_stays", {"reads": [make_read(status=404)]}),
    ("accepted_stays", {"unrecovered": ["edge-0 answers 503"]}),
    ("positions", {"reads": [make_read(make_result(), make_result())]}),
    ("positions", {"reads": [make_read(make_result(), since=1)]}),
    ("positions", {"reads": [make_read(total=2)]}),
    (
        "positions_stay",
        {"reads": [make_read(began=9.5, at=9.6, results=())]},
    ),
    ("versions", {"submissions": [JobSubmission("job", 1, 3, (202,), 4.0)]}),
    (
        "versions",
        {"reads": [make_read(make_result(id="job.i1", score="seal-job.s1"))]},
    ),
    ("texts", {"reads": [make_read(make_result(message="job.i0-1"))]}),
    ("texts", {"reads": [make_read(make_result(state="dead"))]}),
    ("scores", {"reads": [make_read(make_result(score="seal-other"))]}),
    ("scores", {"engine_lines": [make_line(id="job.s0", at=4.9)]}),
    (
        "workspaces",
        {"requests": [make_request()], "engine_lines": [make_line(tenant="blue")]},
    ),
    ("workspaces", {"requests": [make_request()], "engine_lines": [make_line()]}),
    ("workspaces", {"engine_lines": [make_line(id="job.i0", tenant="blue")]}),
    ("workspaces", {"engine_lines": [make_line(id="job.s0", tenant="red")]}),
    ("workspaces", {"engine_lines": [make_line(tenant="red", key="red-0")]}),
    (
        "workspaces",
        {"requests": [make_request(key="nobody-0")], "engine_lines": [make_line()]},
    ),
    ("keys", {"requests": [make_request(key="nobody-0")]}),
    ("keys", {"requests": [make_request(status=401)]}),
    (
        "keys",
        {
            "requests": [
                make_request(key="red-3"),
                make_request(key="red-3", status=401, at=11.0),
                make_request(key="red-3", began=11.3, at=11.4),
            ]
        },
    ),
    ("usage", {"reports": [make_report(), make_report(counts=(("red", 2),))]}),
    ("usage", {"reports": [make_report(), make_report(window=8, holder="edge-1")]}),
    (
        "nothing_after_the_end",
        {"ended": [JobEnd("job", 0.5, 1.0)], "engine_lines": []},
    ),
    (
        "fences",
        {
            "engine_lines": [
                make_line("order", holder="edge-0", fence=7, at=7.0),
                make_line("order", holder="edge-1", fence=3, at=7.1),
            ]
        },
    ),
    (
        "fences",
        {
            "engine_lines": [
                make_line("order", holder="edge-0", fence=7, at=7.0),
                make_line("order", engine="e", holder="edge-1", fence=3, at=8.1),
            ]
        },
    ),
    (
        "fences",
        {
            "engine_lines": [
                make_line("order", holder="edge-0", fence=7),
                make_line("order", holder="edge-1", fence=7),
            ]
        },
    ),
    ("planned_stops", {"stops": [PlannedStop("edge-0", 1, 9.0, 1, 3.0)]}),
    ("planned_stops", {"stops": [PlannedStop("edge-0", 1, 9.0, 0, 8.5)]}),
    ("planned_stops", {"stops": [PlannedStop("edge-0", 1, 9.0, None, 12.0)]}),
    (
        "stops_cut_nothing",
        {
            "stops": [PlannedStop("edge-0", 1, 13.0, 0, 4.0)],
            "requests": [make_request(status=0)],
            "engine_lines": [make_line()],
        },
    ),
    (
        # The caller's timeout ran out during a process pause of the edge.
        "stops_cut_nothing",
        {
            "stops": [PlannedStop("edge-0", 1, 14.3, 0, 3.7)],
            "requests": [make_request(status=0, began=9.0, at=11.6)],
            "resumes": [("edge-0", 10.67)],
        },
    ),
    (
        "stops_cut_nothing",
        {
            "stops": [PlannedStop("edge-0", 1, 13.0, 0, 4.0)],
            "requests": [make_request(status=0, began=9.0, at=11.6)],
            "resumes": [("edge-0", 8.9), ("edge-1", 10.0)],
        },
    ),
    (
        "stops_cut_nothing",
        {
            "stops": [PlannedStop("edge-0", 1, 13.0, 0, 4.0)],
            "requests": [make_request(status=0, began=9.0, at=11.0)],
            "resumes": [("edge-0", 10.0)],
        },
    ),
    (
        "configuration",
        {
            "requests": [
                make_request(target="/r1/"),
                make_request(target="/r1/", status=404, began=11.0, at=11.1),
            ]
        },
    ),
]


def test_rotated_keys_and_repeated_reports_have_no_findings():
    """
    A key may be refused before it is added and after it is removed.
    """
    caller_requests = [
        make_request(key="red-3", status=401, at=9.0),
        make_request(key="red-3"),
        make_request(key="red-3", status=401, at=11.0),
        make_request(key="nobody-0", status=401),
    ]
    reports = [make_report(), make_report(at=2.0, holder="edge-1", fence=5)]
    assert judge(make_observations(requests=caller_requests, reports=reports)) == []


@pytest.mark.parametrize(("check", "added"), _VIOLATIONS)
def test_a_violation_is_found(check, added):
    """
    The expected check reports each violation.
    """
    assert check in {finding.check for finding in judge(make_observations(**added))}


def test_every_check_is_tested_and_documented():
    """
    docs/PROMISES.md names each check in the row that the check watches.
    """
    assert {name for name, _ in _VIOLATIONS} == {check.name for check in CHECKS}
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
def test_invalid_seeds_and_settings_are_named(arguments, field):
    """
    The command prints one line and exits with status 2 before starting anything.
    """
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 2
    assert done.stderr.startswith(f"{field}: ")
    assert len(done.stderr.splitlines()) == 1
    assert done.stdout == ""
