# SPDX-License-Identifier: MIT

"""
The gateway's pure decisions: routes, engine registry, job records, weight loads.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from builders import make_engine_entry, make_job, make_job_opened, make_route
from saddledoor import (
    EngineDirectory,
    FailureCounted,
    ItemCheckpoint,
    ItemFailed,
    ItemRejected,
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobFold,
    ModelWeights,
    RouteTable,
    ScoreCall,
    ServiceShare,
    StoredText,
    decode_job_items,
    decode_job_record,
    encode_job_items,
    encode_job_record,
    following_engines,
    max_concurrent_loads,
    plan_weight_loads,
)
from saddledoor.exceptions import UndecodableRecordError


def test_the_longest_prefix_of_the_host_wins():
    """
    A path without a matching prefix, or on another host, has no route.
    """
    routes = [make_route("/a/"), make_route("/a/b/"), make_route("/", host="other")]
    table = RouteTable.from_config(routes)
    assert table.find("desk.example:80", "/a/b/c").name == "/a/b/"
    assert table.find("DESK.example", "/a/bc").name == "/a/"
    assert table.find("desk.example", "/b/") is None
    assert table.find("other", "/b/").name == "/"


def test_shares_of_a_route_follow_their_weights():
    """
    A service with weight 0 gets no requests.
    """
    shares = (ServiceShare("a", 90), ServiceShare("b", 0), ServiceShare("c", 10))
    route = make_route("/", shares=shares)
    drawn = [route.service(n / 100) for n in range(100)]
    assert (drawn.count("a"), drawn.count("b"), drawn.count("c")) == (90, 0, 10)


def test_an_engine_whose_entry_is_removed_is_unusable_at_once():
    """
    Without a store outage, a removed entry means that the engine is leaving.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1"))
    directory.remove("e-1", 10.0)
    assert directory.usable("desk", 10.0) == []


def test_a_draining_engine_is_not_usable():
    """
    Guards against an engine that is chosen, and denied only right before the send.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1", draining=True))
    assert directory.usable("desk", 10.0) == []


def test_an_entry_that_lapses_around_an_outage_is_bridged_for_a_while():
    """
    It stays usable until a running engine would have written it again, unless the
    engine was draining.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1"))
    directory.put(make_engine_entry("e-2", draining=True))
    directory.record_store_recovery(10.0)
    directory.remove("e-1", 10.1)
    directory.remove("e-2", 10.1)
    assert [e.engine_id for e in directory.usable("desk", 12.4)] == ["e-1"]
    assert directory.usable("desk", 12.6) == []


def test_an_entry_removed_late_after_an_outage_is_bridged_briefly():
    """
    A running engine would have written its entry again by then.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1"))
    directory.record_store_recovery(10.0)
    directory.remove("e-1", 12.4)
    assert directory.usable("desk", 12.6) == []


@pytest.mark.parametrize(
    "record",
    [
        make_job_opened(make_job(), 3, 4),
        ItemResultRecorded(
            "j", ItemResult("i", True, StoredText((7, 9), 30), (1, 2), "mark")
        ),
        ItemFailed("j", "i", "f-1", True),
        ItemRejected("j", "0123abcd"),
        FailureCounted("j", "0123abcd", "f-1"),
        ItemCheckpoint("j", "i", 3, 2, "c-1", "c-2", (1,), StoredText((8,), 20)),
        JobEnded("j"),
    ],
)
def test_records_survive_their_bytes(record):
    """
    Records of every type, with all fields, decode to themselves.
    """
    assert decode_job_record(encode_job_record(record)) == record


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x91\xa1z", b"\x92\xa1r\xa1j"])
def test_bytes_that_are_no_record_are_refused(data):
    """
    Decoding raises an error of the library.
    """
    with pytest.raises(UndecodableRecordError):
        decode_job_record(data)


def test_items_survive_their_bytes():
    """
    With a scoring call and without one.
    """
    plain = make_job().items[0]
    call = ScoreCall("s-1", "desk.example", "/score", b"\x00body")
    scored = replace(plain, item_id="scored", score=call, expected_tokens=7)
    assert decode_job_items(encode_job_items((plain, scored))) == (plain, scored)


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x91\xa1z", b"\x91\x92\xa1r\xa1j"])
def test_bytes_that_are_no_items_are_refused(data):
    """
    Decoding raises an error of the library.
    """
    with pytest.raises(UndecodableRecordError):
        decode_job_items(data)


def test_a_job_that_is_opened_twice_is_taken_once():
    """
    A caller may submit a job to two nodes, each of which stores the items; the first
    record counts.
    """
    fold = JobFold()
    first, second = make_job_opened(make_job(), 1), make_job_opened(make_job(), 9)
    for record in [first, JobEnded("job-a"), second]:
        fold.apply(record)
    assert fold.get("job-a").job == first
    assert fold.get("job-a").ended


def test_a_job_is_open_until_every_item_has_a_result():
    """
    Also on nodes that have not read its items; a repeated result counts once.
    """
    listed = [
        ItemResultRecorded("job-a", ItemResult(f"item-{n}", True)) for n in range(2)
    ]
    assert len(_fold_with(listed[0], listed[0]).open_jobs()) == 1
    assert _fold_with(*listed).open_jobs() == []


def _weights(versions: dict[str, int], oldest: int, **changes: object) -> ModelWeights:
    fields = {"model": "m", "models": ("m",), "named": 5}
    return ModelWeights(oldest_allowed=oldest, versions=versions, **(fields | changes))


@pytest.mark.parametrize(
    ("versions", "oldest", "wanted"),
    [
        # Half of the engines load the new version; the others still serve the old one.
        ({"a": 4, "b": 4, "c": 4, "d": 4}, 4, ["a", "b"]),
        # Engines that are too old for the current job all come first.
        ({"a": 4, "b": 3, "c": 3, "d": 3}, 4, ["b", "c", "d"]),
        ({"a": 5, "b": 5, "c": 4, "d": 3}, 4, ["d"]),
        # A job that wants the newest version needs every engine.
        ({"a": 4, "b": 5, "c": 4}, 5, ["a", "c"]),
        ({"a": 5, "b": 5, "c": 4}, 4, []),
        ({}, 4, []),
    ],
)
def test_half_of_the_engines_follow_and_all_that_are_too_old(versions, oldest, wanted):
    """
    The trainer has named version 5.
    """
    loads = plan_weight_loads([_weights(versions, oldest)])
    assert loads == [(name, "m") for name in wanted]


def test_the_model_with_the_fewest_usable_engines_loads_first():
    """
    Otherwise its step would stall while other models gain little.
    """
    models = ("m", "n")
    served = _weights({"a": 5, "b": 4, "c": 4, "d": 3}, 4, models=models)
    starved = _weights({"a": 3, "b": 3, "c": 3, "d": 3}, 4, model="n", models=models)
    loads = plan_weight_loads([served, starved])
    assert loads[:3] == [("a", "n"), ("b", "n"), ("c", "n")]
    assert sorted(loads[3:]) == [("d", "m"), ("d", "n")]


def test_of_equal_models_the_one_named_first_loads_first():
    """
    Its trainer has waited longest; then the models alternate.
    """
    versions = {"a": 3, "b": 3}
    first = _weights(versions, 4, model="n", models=("m", "n"))
    second = _weights(versions, 4, model="m", models=("m", "n"))
    loads = plan_weight_loads([first, second])
    assert loads == [("a", "n"), ("a", "m"), ("b", "n"), ("b", "m")]


def _fold_with(*records) -> JobFold:
    fold = JobFold()
    for record in [make_job_opened(make_job()), *records]:
        fold.apply(record)
    return fold


def test_a_failure_that_is_appended_twice_counts_once():
    """
    An append without an answer is repeated, although it may have taken effect.
    """
    once = ItemFailed("job-a", "item-0", "f-1")
    scoring = ItemFailed("job-a", "item-0", "f-2", True)
    other = ItemFailed("job-a", "item-0", "f-3")
    state = _fold_with(once, once, scoring, scoring, other).get("job-a")
    assert state.failures("item-0") == 2
    assert state.score_failures("item-0") == 1


def test_a_job_is_kept_while_it_is_open_and_for_its_readers_after():
    """
    A job whose items all have results is retained like an open one until it is ended.
    """
    listed = [
        ItemResultRecorded("job-a", ItemResult(f"item-{n}", True)) for n in range(2)
    ]
    fold = _fold_with(*listed)
    fold.forget(now=299.0, ended_retention=120.0, open_retention=300.0)
    assert fold.get("job-a") is not None
    fold.apply(JobEnded("job-a"), now=299.0)
    fold.forget(now=299.0, ended_retention=120.0, open_retention=300.0)
    assert fold.get("job-a") is None


def test_an_ended_job_can_still_be_read_for_a_while():
    """
    Its results are retained for a limited time after it was accepted.
    """
    fold = _fold_with(JobEnded("job-a"))
    fold.forget(now=119.0, ended_retention=120.0, open_retention=300.0)
    assert fold.get("job-a") is not None
    fold.forget(now=121.0, ended_retention=120.0, open_retention=300.0)
    assert fold.get("job-a") is None


def test_engines_load_two_fifths_of_a_pool_at_once():
    """
    More concurrent loads would slow down all of them. One load is always allowed.
    """
    counts = [max_concurrent_loads(engines) for engines in (1, 2, 5, 6, 7, 22, 23)]
    assert counts == [1, 1, 2, 2, 2, 8, 9]


def _followed(engines: list[str], models: tuple[str, ...], model: str) -> list[str]:
    versions = dict.fromkeys(engines, 1)
    return following_engines(_weights(versions, 1, model=model, models=models))


def test_each_engine_follows_two_of_several_models():
    """
    Each model is followed by the same number of engines, give or take one.
    """
    engines = [f"e-{n:02}" for n in range(22)]
    models = ("a", "b", "c", "d")
    rings = [_followed(engines, models, model) for model in models]
    assert [len(set(ring)) for ring in rings] == [11, 11, 11, 11]
    follows = Counter(name for ring in rings for name in ring)
    assert set(follows.values()) == {2}


def test_every_engine_follows_where_there_are_one_or_two_models():
    """
    This also holds for few engines.
    """
    assert _followed(["a", "b", "c"], ("m",), "m") == ["a", "b", "c"]
    assert _followed(["a", "b", "c"], ("m", "n"), "n") == ["a", "b", "c"]
    assert _followed(["a", "b"], ("m", "n", "o", "p"), "o") == ["a", "b"]
    assert _followed([], ("m",), "m") == []


def test_following_engines_keep_following_when_one_is_removed():
    """
    Otherwise a change of the pool would cause needless loads.
    """
    models = ("a", "b", "c")
    versions = {"e-1": 1, "e-2": 4, "e-3": 5, "e-4": 5, "e-5": 1, "e-6": 1}
    weights = _weights(versions, 4, model="c", models=models)
    before = following_engines(weights)
    assert {"e-2", "e-3", "e-4"} < set(before)
    left = {name: version for name, version in versions.items() if name != "e-3"}
    after = following_engines(_weights(left, 4, model="c", models=models))
    assert {"e-2", "e-4"} < set(after)


def _checkpoint(first: int, count: int, follows: str, chain: str) -> ItemCheckpoint:
    stored = StoredText((first, count), 1)
    return ItemCheckpoint("job-a", "item-0", first, count, follows, chain, (1,), stored)


def test_a_whole_text_takes_the_place_of_a_shorter_one_of_another_run():
    """
    Otherwise a node whose first record came late could never store a checkpoint.
    """
    state = _fold_with(
        _checkpoint(1, 4, "", "c-1"),
        _checkpoint(5, 2, "c-2", "c-2"),
        _checkpoint(1, 6, "", "c-2"),
        _checkpoint(7, 1, "c-2", "c-2"),
        _checkpoint(1, 5, "", "c-1"),
    ).get("job-a")
    checkpoint = state.kept["item-0"]
    assert (checkpoint.count, checkpoint.chain) == (7, "c-2")
    assert [part.offsets for part in checkpoint.parts] == [(1, 6), (7, 1)]


def test_a_rejected_item_is_remembered_for_as_long_as_the_log_keeps_the_record():
    """
    It was sent again in the next job once its own job was forgotten.
    """
    fold = JobFold()
    fold.apply(ItemRejected("job-a", "key"), 0.0)
    fold.apply(ItemRejected("job-b", "key"), 200.0)
    fold.forget(300.0, 130.0, 300.0)
    assert fold.is_rejected("key")
    assert not fold.is_rejected("another key")
    fold.forget(300.1, 130.0, 300.0)
    assert not fold.is_rejected("key")


def test_rejected_items_are_bounded_in_count():
    """
    The oldest are forgotten first.
    """
    fold = JobFold()
    for number in range(65_540):
        fold.apply(ItemRejected("job-a", f"{number}"), 0.0)
    assert not fold.is_rejected("3")
    assert fold.is_rejected("4")


def test_failures_count_in_all_jobs_once_each():
    """
    A record may be in the log twice, and is remembered as long as the log keeps it.
    """
    fold = JobFold()
    for job, failure, now in (
        ("job-a", "f-1", 0.0),
        ("job-a", "f-1", 1.0),
        ("job-b", "f-2", 200.0),
    ):
        fold.apply(FailureCounted(job, "key", failure), now)
    assert (fold.failures("key"), fold.failures("another key")) == (2, 0)
    fold.forget(300.1, 130.0, 300.0)
    assert fold.failures("key") == 0


def test_failed_items_are_bounded_in_count():
    """
    The oldest are forgotten first.
    """
    fold = JobFold()
    for number in range(65_540):
        fold.apply(FailureCounted("job-a", f"{number}", "f-1"), 0.0)
    assert (fold.failures("3"), fold.failures("4")) == (0, 1)


def test_an_entry_that_was_written_late_changes_nothing():
    """
    A heartbeat that the store carried out seconds late ended the draining of an engine,
    which got new work until its next one.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1", sequence=4))
    directory.put(make_engine_entry("e-1", sequence=7, draining=True))
    assert not directory.put(make_engine_entry("e-1", sequence=6))
    assert directory.usable("desk", 10.0) == []


def test_an_entry_with_a_wrong_number_does_not_hide_an_engine_for_good():
    """
    Only a running engine keeps writing, so the second entry in a row counts.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1", sequence=10**9, draining=True))
    assert not directory.put(make_engine_entry("e-1", sequence=8))
    assert directory.put(make_engine_entry("e-1", sequence=9))
    assert [e.engine_id for e in directory.usable("desk", 10.0)] == ["e-1"]


def test_an_entry_that_was_written_late_after_its_removal_changes_nothing():
    """
    Engines that never state that they drain leave by the removal of their entry.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1", sequence=7))
    directory.remove("e-1", 10.0)
    assert not directory.put(make_engine_entry("e-1", sequence=6))
    assert directory.usable("desk", 10.0) == []
    # A running engine writes its entry again after an absence of the store.
    assert directory.put(make_engine_entry("e-1", sequence=8))
    assert [e.engine_id for e in directory.usable("desk", 10.0)] == ["e-1"]


def test_an_engine_that_started_again_counts_its_entries_anew():
    """
    Guards against a new process whose entries count as late.
    """
    directory = EngineDirectory()
    directory.put(make_engine_entry("e-1", sequence=70, started_at=1000))
    assert directory.put(make_engine_entry("e-1", sequence=1, started_at=2000))
