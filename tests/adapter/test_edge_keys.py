# SPDX-License-Identifier: MIT

"""
Callers' keys: engines get the workspace's name and never the key.
"""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from documents import InvalidBodyError, decode_config
from platform_bed import PlatformBed, until
from platform_documents import make_config, make_job, texts, whole_texts


_RED = {"name": "red", "api_keys": ["red-1", "red-2"], "priority": 1}
_BLUE = {"name": "blue", "api_keys": ["blue-1"]}


def _config(version: int, *tenants: dict, exempt: str = "") -> dict:
    config = make_config(version, tenants=list(tenants))
    for route in config["routes"]:
        route["auth_exempt"] = route["name"] == exempt
    return config


def _key(key: str) -> dict[str, str]:
    return {"Saddledoor_Key": key}


@pytest.fixture
def keyed(tmp_path):
    """
    One edge that knows two workspaces.
    """
    with PlatformBed.open(tmp_path) as bed:
        _put(bed, _config(2, _RED, _BLUE))
        yield bed


def _put(bed: PlatformBed, config: dict) -> None:
    bed.configure(config)
    for edge in bed.front_ports:
        until(lambda edge=edge: _in_force(bed, edge) == config["version"])


def _in_force(bed: PlatformBed, edge: str) -> int:
    events = [e for e in bed.log(edge) if e["event"] == "configuration_in_force"]
    return events[-1]["version"] if events else 0


def test_an_engine_is_shown_the_workspace_in_place_of_the_key(keyed):
    """
    A workspace header sent by the caller is replaced.
    """
    headers = {**_key("red-2"), "Saddledoor_Tenant": "blue"}
    assert keyed.ask("POST", "/look/x", b"b", "r-1", **headers).status == 200
    (run,) = keyed.runs()
    assert (run["tenant"], run["key"]) == ("red", None)


@pytest.mark.parametrize("headers", [{}, _key("nobody"), _key("red"), _key("RED-1")])
@pytest.mark.parametrize("path", ["/look/x", "/train/x", "/v1/lots/j", "/v1/items/j"])
def test_without_a_known_key_nothing_runs(keyed, headers, path):
    """
    The status is 401, both for plain requests and for calls about jobs.
    """
    method = "GET" if path.startswith("/v1/") else "POST"
    answer = keyed.ask(method, path, b"x" * 20_000, "r-1", **headers)
    assert answer.status == 401
    assert keyed.runs() == []


def test_a_route_may_go_without_a_key(keyed):
    """
    The request then has no workspace, unless its key is known.
    """
    _put(keyed, _config(3, _RED, exempt="look-up"))
    for key in ("", "nobody", "red-1"):
        headers = {**_key(key), "Saddledoor_Tenant": "blue"} if key else {}
        assert keyed.ask("POST", "/look/x", b"b", "r-1", **headers).status == 200
    shown = [(run["tenant"], run["key"]) for run in keyed.runs()]
    assert sorted(shown, key=str) == [("red", None), (None, None), (None, None)]
    assert keyed.ask("POST", "/book/x", b"b", "r-2").status == 401


def test_a_key_that_is_taken_away_is_refused_and_a_new_one_taken(keyed):
    """
    Also at an edge that has accepted it before.
    """
    assert keyed.ask("POST", "/look/x", b"b", "r-1", **_key("red-1")).status == 200
    _put(keyed, _config(3, {**_RED, "api_keys": ["red-2", "red-3"]}))
    assert keyed.ask("POST", "/look/x", b"b", "r-2", **_key("red-1")).status == 401
    assert keyed.ask("POST", "/look/x", b"b", "r-3", **_key("red-3")).status == 200


def test_an_edge_without_the_store_calls_no_key_unknown(keyed):
    """
    Others may know the key, so the status is 503. Keys known to the edge are accepted.
    """
    keyed.fake_store(mode="busy")
    until(lambda: keyed.ask("POST", "/look/x", b"b", "r-1", **_key("x")).status == 503)
    assert keyed.ask("POST", "/look/x", b"b", "r-2", **_key("red-1")).status == 200
    assert keyed.ask("POST", "/look/x", b"b", "r-3").status == 401
    keyed.fake_store(mode="ok")
    until(lambda: keyed.ask("POST", "/look/x", b"b", "r-4", **_key("x")).status == 401)


def test_a_strict_edge_without_the_store_serves_no_key_for_long(tmp_path):
    """
    The key may have been revoked since.
    """
    with PlatformBed.open(tmp_path) as bed:
        strict = "config_apply_ms = 2000\nrevoke_strict = true\nrevoke_ms = 1500"
        bed.change_settings("edge-0", "config_apply_ms = 2000", strict)
        before = bed.settings_in_force("edge-0")
        until(lambda: bed.settings_in_force("edge-0") != before)
        _put(bed, _config(2, _RED))
        look = ("POST", "/look/x", b"b")
        assert bed.ask(*look, "r-1", **_key("red-1")).status == 200
        bed.fake_store(mode="busy")
        until(lambda: bed.ask(*look, "r-2", **_key("red-1")).status == 503)
        bed.fake_store(mode="ok")
        until(lambda: bed.ask(*look, "r-3", **_key("red-1")).status == 200)


def test_a_jobs_items_run_for_its_workspace(keyed):
    """
    Also if an item has such headers of its own; scoring calls have no workspace.
    """
    job = make_job(2)
    for item in job["requests"]:
        item["headers"] |= {"saddledoor-tenant": "blue", "Saddledoor-KEY": "blue-1"}
    assert keyed.submit("job-1", job, **_key("red-1")).status == 202
    assert texts(keyed.finished("job-1", 2, **_key("red-2"))) == whole_texts(2)
    shown = {(run["body"], run["tenant"], run["key"]) for run in keyed.runs()}
    assert shown == {("prompt", "red", None), ("score", None, None)}


def test_a_job_is_unknown_to_other_workspaces(keyed):
    """
    Other workspaces cannot read, end or submit a job under its id; its own key can.
    """
    keyed.submit("job-1", make_job(2), **_key("red-1"))
    keyed.finished("job-1", 2, **_key("red-1"))
    calls = [
        ("GET", "/v1/lots/job-1"),
        ("GET", "/v1/items/job-1?id=item-0"),
        ("DELETE", "/v1/lots/job-1"),
    ]
    for method, path in calls:
        assert keyed.ask(method, path, **_key("blue-1")).status == 404
        assert keyed.ask(method, path).status == 401
        assert keyed.ask(method, path, **_key("red-2")).status == 200
    assert keyed.submit("job-1", make_job(2), **_key("blue-1")).status == 400
    assert keyed.submit("job-1", make_job(2), **_key("red-1")).status == 202


def test_taking_a_key_away_ends_no_job(tmp_path):
    """
    Its items continue at whichever edge runs them, for the same workspace.
    """
    with PlatformBed.open(tmp_path, edges=2) as bed:
        _put(bed, _config(2, _RED))
        for engine in ("engine-0", "engine-1"):
            bed.fake_engine(engine, pace=0.3)
        assert bed.submit("job-1", make_job(2), **_key("red-1")).status == 202
        until(lambda: len(bed.runs()) == 2)
        _put(bed, _config(3, {**_RED, "api_keys": ["red-9"]}))
        bed.processes[bed.owner()].end()
        (left,) = [name for name in bed.front_ports if bed.is_running(name)]
        results = bed.finished("job-1", 2, left, **_key("red-9"))
        assert texts(results) == whole_texts(2)
        items = [run for run in bed.runs() if run["body"] == "prompt"]
        assert {run["tenant"] for run in items} == {"red"}


def test_no_key_stands_in_a_log(keyed):
    """
    Neither an accepted nor a refused one.
    """
    with ThreadPoolExecutor(4) as pool:
        keys = ["red-1", "no-such-key", "blue-1", "red-2"]
        list(pool.map(lambda key: keyed.ask("POST", "/look/x", **_key(key)), keys))
    text = json.dumps(keyed.log("edge-0"))
    assert not [key for key in keys if key in text]
    assert "key_refused" in text


@pytest.mark.parametrize(
    ("tenants", "place"),
    [
        ([{"name": "red"}], r"tenants\[0\]: 'api_keys'"),
        ([{**_RED, "api_keys": ["a", ""]}], r"tenants\[0\]\.api_keys\[1\]"),
        ([{**_RED, "api_keys": ["a b"]}], r"tenants\[0\]\.api_keys\[0\]"),
        ([{**_RED, "api_keys": [7]}], r"tenants\[0\]\.api_keys\[0\]"),
        ([{**_RED, "name": "r\nd"}], r"tenants\[0\]\.name"),
        ([{**_RED, "priority": -1}], r"tenants\[0\]\.priority"),
        ([_RED, {**_BLUE, "api_keys": ["red-1"]}], "tenants: a key of 'blue'"),
        ([_RED, _RED], "tenants: two workspaces"),
        ({}, "tenants"),
    ],
)
def test_unusable_workspaces_are_refused_with_their_place(tenants, place):
    """
    The whole configuration is rejected, and the message contains no key.
    """
    data = json.dumps(make_config(2, tenants=tenants)).encode()
    with pytest.raises(InvalidBodyError, match=place) as caught:
        decode_config(data)
    assert "red-1" not in str(caught.value)


def test_a_route_goes_without_a_key_only_if_it_says_so_clearly():
    """
    Any other value than true or false rejects the configuration.
    """
    config = _config(2, _RED)
    config["routes"][1]["auth_exempt"] = "false"
    with pytest.raises(InvalidBodyError, match=r"routes\[1\]\.auth_exempt"):
        decode_config(json.dumps(config).encode())


def test_a_configuration_that_is_refused_leaves_the_one_in_force(keyed):
    """
    Its keys are still accepted, and the reason is logged once.
    """
    keyed.configure(_config(3, _RED, {**_BLUE, "api_keys": ["red-1"]}))
    until(lambda: keyed.skipped_records("edge-0")["operator"] == 1)
    assert keyed.ask("POST", "/look/x", b"b", "r-1", **_key("blue-1")).status == 200
