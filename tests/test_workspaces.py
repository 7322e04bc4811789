# SPDX-License-Identifier: MIT

"""
Callers by key: whose request it is, and what a node may decide by the age of its news.
"""

from __future__ import annotations

import pytest

from builders import make_job, make_job_opened, make_route
from saddledoor import (
    Admitted,
    KeyFreshnessBounds,
    NotRun,
    ResultCode,
    RouteKind,
    RouteTable,
    Workspace,
    WorkspaceTable,
    admit,
    decode_job_record,
    encode_job_record,
)


_LENIENT = KeyFreshnessBounds(propagation_limit=2.0)
_STRICT = KeyFreshnessBounds(propagation_limit=2.0, revocation_limit=5.0)
_TABLE = WorkspaceTable.from_workspaces(
    [Workspace.from_keys("red", ["r1", "r2"], 1), Workspace.from_keys("blue", ["b1"])]
)


def _decide(
    needs_key: bool, key: str, age: float, bounds: KeyFreshnessBounds
) -> object:
    outcome = admit(_TABLE, needs_key, key, age, bounds)
    return outcome.code if isinstance(outcome, NotRun) else outcome.workspace


@pytest.mark.parametrize(
    ("needs_key", "key", "age", "bounds", "outcome"),
    [
        # A known key is served however old the news is, unless it has to be sure.
        (True, "r1", 0.1, _LENIENT, "red"),
        (True, "r2", 99.0, _LENIENT, "red"),
        (True, "b1", 5.0, _STRICT, "blue"),
        (True, "b1", 5.1, _STRICT, ResultCode.KEYS_UNSURE),
        # An unknown one may have been put in force since.
        (True, "x", 2.0, _LENIENT, ResultCode.UNAUTHENTICATED),
        (True, "x", 2.1, _LENIENT, ResultCode.KEYS_UNSURE),
        (True, "x", 2.1, _STRICT, ResultCode.KEYS_UNSURE),
        # A missing one does not become known.
        (True, "", 99.0, _LENIENT, ResultCode.UNAUTHENTICATED),
        (True, "", 99.0, _STRICT, ResultCode.UNAUTHENTICATED),
        # Where none is needed, whoever has one is still told apart.
        (False, "", 99.0, _STRICT, ""),
        (False, "x", 0.1, _LENIENT, ""),
        (False, "r1", 0.1, _LENIENT, "red"),
    ],
)
def test_what_a_node_decides_of_a_key(needs_key, key, age, bounds, outcome):
    """
    By whether the key is known, and by the age of what the node knows.
    """
    assert _decide(needs_key, key, age, bounds) == outcome


def test_without_workspaces_everybody_is_served():
    """
    Deployments of before have none.
    """
    assert admit(None, True, "any", 99.0, _STRICT) == Admitted(None)


def test_a_workspace_without_keys_is_nobodys():
    """
    It has lost its last key; its jobs go on under its name.
    """
    table = WorkspaceTable.from_workspaces([Workspace.from_keys("red", [])])
    assert table.find("") is None


@pytest.mark.parametrize(
    "workspaces",
    [
        [Workspace.from_keys("red", ["a"]), Workspace.from_keys("blue", ["a"])],
        [Workspace.from_keys("red", ["a"]), Workspace.from_keys("red", ["b"])],
    ],
    ids=["a key of two", "a name of two"],
)
def test_a_key_or_a_name_of_two_workspaces_is_refused(workspaces):
    """
    Nobody could say whose a request is; the message names a workspace and no key.
    """
    with pytest.raises(ValueError, match="'red'") as caught:
        WorkspaceTable.from_workspaces(workspaces)
    assert "'a'" not in str(caught.value)


def test_no_key_can_be_read_out_of_a_table():
    """
    Neither from its text nor from its fields.
    """
    table = WorkspaceTable.from_workspaces([Workspace.from_keys("red", ["a-secret"])])
    assert "a-secret" not in repr(table)
    assert table.find("a-secret").name == "red"


def test_calls_about_jobs_need_a_key_unless_no_route_of_jobs_does():
    """
    They name a host only.
    """
    plain = make_route("/look/", needs_key=False)
    closed = make_route("/a/", kind=RouteKind.JOB)
    open_ = make_route("/b/", kind=RouteKind.JOB, needs_key=False)
    assert RouteTable.from_config([plain]).jobs_need_key("desk.example")
    assert RouteTable.from_config([closed, open_]).jobs_need_key("desk.example:80")
    assert not RouteTable.from_config([plain, open_]).jobs_need_key("desk.example")


@pytest.mark.parametrize("workspace", ["red", "", None])
def test_a_jobs_workspace_is_kept_in_its_record(workspace):
    """
    None, as in the records of writers that knew of no workspaces.
    """
    job = make_job()
    opened = make_job_opened(job.__class__(**{**vars(job), "workspace": workspace}))
    assert decode_job_record(encode_job_record(opened)) == opened


@pytest.mark.parametrize(
    ("owner", "caller", "seen"),
    [
        ("red", "red", True),
        ("red", "blue", False),
        ("red", "", False),
        ("red", None, True),
        ("", "blue", True),
        (None, "blue", True),
    ],
)
def test_who_may_ask_for_a_job(owner, caller, seen):
    """
    Its own workspace; anybody if it has none, or if there are none any more.
    """
    job = make_job()
    opened = make_job_opened(job.__class__(**{**vars(job), "workspace": owner}))
    assert opened.may_be_seen_by(caller) is seen
