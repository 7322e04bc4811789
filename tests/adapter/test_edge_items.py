# SPDX-License-Identifier: MIT

"""
Items of jobs at engines whose streams break, stall, are slow, or fail.
"""

from __future__ import annotations

import base64
import time

import pytest

from platform_bed import until
from platform_documents import ITEMS, make_config, make_job, texts, whole_texts


def test_a_text_larger_than_a_record_of_the_store_is_listed_whole(two_edges):
    """
    The other edge reads it completely as well.
    """
    for engine in ("engine-0", "engine-1"):
        two_edges.fake_engine(engine, events=400, pace=0.001)
    assert two_edges.submit("job-1", make_job(2)).status == 202
    for edge in ("edge-0", "edge-1"):
        assert texts(two_edges.finished("job-1", 2, edge)) == whole_texts(2, 400)


def test_a_stream_cut_within_an_event_goes_on_after_the_last_whole_one(platform_bed):
    """
    It resumes at another engine; the text has no gap, duplicate or partial event.
    """
    platform_bed.fake_engine("engine-0", cut_after=2)
    assert platform_bed.submit("job-1", make_job()).status == 202
    assert texts(platform_bed.finished("job-1", ITEMS)) == whole_texts()
    resumed = [run for run in platform_bed.runs() if run["resume_after"]]
    assert resumed
    assert {run["resume_after"] for run in resumed} <= {2}


def test_an_item_leaves_an_engine_that_falls_silent(platform_bed):
    """
    It moves well before the stream's timeout and resumes after the last event.
    """
    platform_bed.fake_engine("engine-0", hang_after=2)
    began = time.monotonic()
    assert platform_bed.submit("job-1", make_job()).status == 202
    assert texts(platform_bed.finished("job-1", ITEMS)) == whole_texts()
    assert time.monotonic() - began < 1.9
    resumed = [run["resume_after"] for run in platform_bed.runs()]
    assert 2 in resumed


def test_an_item_comes_to_its_end_at_engines_slower_than_expected(platform_bed):
    """
    It must not move back and forth between them.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, pace=0.8)
    assert platform_bed.submit("job-1", make_job(2)).status == 202
    assert texts(platform_bed.finished("job-1", 2)) == whole_texts(2)


def test_an_item_stays_at_an_engine_that_accepted_it_late(platform_bed):
    """
    The engine is not silent before it has the item, so nothing is run twice.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, accept_delay=0.4, pace=0.3)
    assert platform_bed.submit("job-1", make_job(2)).status == 202
    platform_bed.finished("job-1", 2)
    items = [run for run in platform_bed.runs() if run["request_id"].startswith("item")]
    assert len(items) == 2


def test_a_stream_without_its_end_marker_is_not_taken_as_whole(platform_bed):
    """
    Without the end marker an item has no result until an engine completes the stream.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, no_end=True)
    assert platform_bed.submit("job-1", make_job(2)).status == 202
    time.sleep(1.0)
    assert platform_bed.results("job-1") == []
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, no_end=False)
    assert texts(platform_bed.finished("job-1", 2)) == whole_texts(2)


def test_an_item_that_always_fails_is_given_up_after_its_attempts(platform_bed):
    """
    Its result is a failure after the route's maximum number of attempts.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=500)
    assert platform_bed.submit("job-1", make_job(1)).status == 202
    (result,) = platform_bed.finished("job-1", 1)
    assert result["state"] == "dead"
    assert len(platform_bed.runs()) == 3


def test_an_item_that_can_never_be_done_is_given_up_at_once(platform_bed):
    """
    A single response with status 422 is final.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=422)
    assert platform_bed.submit("job-1", make_job(1)).status == 202
    assert platform_bed.finished("job-1", 1)[0]["state"] == "dead"
    assert len(platform_bed.runs()) == 1


def test_an_item_that_can_never_be_done_is_not_sent_in_a_later_job(platform_bed):
    """
    It was sent again in each job; an item with the same id and a changed body is new.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=422)
    assert platform_bed.submit("job-1", make_job(1)).status == 202
    assert platform_bed.finished("job-1", 1)[0]["state"] == "dead"
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=0)
    assert platform_bed.submit("job-2", make_job(1)).status == 202
    assert platform_bed.finished("job-2", 1)[0]["state"] == "dead"
    assert len(platform_bed.runs()) == 1
    changed = make_job(1)
    changed["requests"][0]["body"] = base64.b64encode(b"changed").decode()
    assert platform_bed.submit("job-3", changed).status == 202
    assert platform_bed.finished("job-3", 1)[0]["state"] == "completed"


@pytest.mark.parametrize("failures", [2, 3])
def test_an_item_that_always_fails_gets_no_attempts_anew_in_a_later_job(
    platform_bed, failures
):
    """
    Answers of 500 were counted in each job alone, so that the item reached engines
    again in each; its attempts are those of all jobs.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=500, accept_delay=0.2)
    assert platform_bed.submit("job-1", make_job(1)).status == 202
    until(lambda: len(platform_bed.runs()) == failures)
    time.sleep(0.1)
    platform_bed.ask("DELETE", "/v1/lots/job-1")
    time.sleep(0.5)
    for job in ("job-2", "job-3"):
        assert platform_bed.submit(job, make_job(1)).status == 202
        assert platform_bed.finished(job, 1)[0]["state"] == "dead"
    assert len(platform_bed.runs()) == 3


def test_a_scoring_call_that_always_fails_gets_no_attempts_anew_in_a_later_job(
    platform_bed,
):
    """
    It is a part of its item, which comes again under the same ids.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, fail=500)
    for job in ("job-1", "job-2"):
        assert platform_bed.submit(job, make_job(1)).status == 202
        assert platform_bed.finished(job, 1)[0]["state"] == "dead"
    calls = [run for run in platform_bed.runs() if run["request_id"] == "score-0"]
    assert len(calls) == 3


def test_items_go_to_no_service_that_their_route_gives_nothing(platform_bed):
    """
    A service with weight 0 gets no item, even if it is listed first.
    """
    config = make_config(2)
    del config["routes"][2]["service"]
    config["routes"][2]["backends"] = [
        {"service": "desk", "weight": 0},
        {"service": "pool", "weight": 5},
    ]
    platform_bed.configure(config)
    until(lambda: _versions_in_force(platform_bed) == [1, 2])
    assert platform_bed.submit("job-1", make_job()).status == 202
    assert texts(platform_bed.finished("job-1", ITEMS)) == whole_texts()
    for desk in ("desk-0", "desk-1"):
        bodies = {run["body"] for run in platform_bed.fake_engine(desk)["runs"]}
        assert bodies <= {"score"}


def _versions_in_force(bed) -> list[int]:
    lines = bed.log("edge-0")
    return [line["version"] for line in lines if "routes" in line]
