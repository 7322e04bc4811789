# SPDX-License-Identifier: MIT

"""
Admission by key: a request's workspace, and decisions by the age of a node's keys.
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
        # A known key is accepted however old it is, unless revocation is limited.
        (True, "r1", 0.1, _LENIENT, "red"),
        (True, "r2", 99.0, _LENIENT, "red"),
        (True, "b1", 5.0, _STRICT, "blue"),
        (True, "b1", 5.1, _STRICT, ResultCode.KEYS_UNSURE),
        # An unknown key may have been added since.
        (True, "x", 2.0, _LENIENT, ResultCode.UNAUTHENTICATED),
        (True, "x", 2.1, _LENIENT, ResultCode.KEYS_UNSURE),
        (True, "x", 2.1, _STRICT, ResultCode.KEYS_UNSURE),
        # A missing key is refused at any age.
        (True, "", 99.0, _LENIENT, ResultCode.UNAUTHENTICATED),
        (True, "", 99.0, _STRICT, ResultCode.UNAUTHENTICATED),
        # Where no key is needed, a known key still gives the workspace.
        (False, "", 99.0, _STRICT, ""),
        (False, "x", 0.1, _LENIENT, ""),
        (False, "r1", 0.1, _LENIENT, "red"),
    ],
)
def test_decisions_about_a_key(needs_key, key, age, bounds, outcome):
    """
    It depends on whether the key is known and on the age of the node's configuration.
    """
    assert _decide(needs_key, key, age, bounds) == outcome


def test_without_workspaces_every_request_is_served():
    """
    Deployments without workspaces need no keys.
    """
    assert admit(None, True, "any", 99.0, _STRICT) == Admitted(None)


def test_a_workspace_without_keys_matches_no_key():
    """
    The empty key must not match a workspace whose last key was removed.
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
    A request's workspace would be ambiguous; the message must not contain the key.
    """
    with pytest.raises(ValueError, match="'red'") as caught:
        WorkspaceTable.from_workspaces(workspaces)
    assert "'a'" not in str(caught.value)


def test_no_key_can_be_read_out_of_a_table():
    """
    Keys must not appear in logs through the table's text form.
    """
    table = WorkspaceTable.from_workspaces([Workspace.from_keys("red", ["a-secret"])])
    assert "a-secret" not in repr(table)
    assert table.find("a-secret").name == "red"


def test_calls_about_jobs_need_a_key_unless_no_route_of_jobs_does():
    """
    Such calls have a host but no path of a route.
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
    Also none, as in records written before workspaces existed.
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
def test_which_callers_may_read_a_job(owner, caller, seen):
    """
    Its own workspace; every caller if it has none or no workspaces are configured.
    """
    job = make_job()
    opened = make_job_opened(job.__class__(**{**vars(job), "workspace": owner}))
    assert opened.may_be_seen_by(caller) is seen
