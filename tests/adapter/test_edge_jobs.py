# SPDX-License-Identifier: MIT

"""
Batch jobs with failures of the store, engines and edges.
"""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_bed import until
from platform_documents import ITEMS, make_job, texts, whole_texts


def test_a_job_is_run_scored_and_read_at_any_edge(two_edges):
    """
    Texts, versions and scores are complete, and positions are equal at every edge.
    """
    assert two_edges.submit("job-1", make_job()).status == 202
    results = two_edges.finished("job-1", ITEMS)
    assert texts(results) == whole_texts()
    for result in results:
        assert result["state"] == "completed"
        assert result["versions"] == [1]
        assert result["score"] == f"seal-score-{result['id'].removeprefix('item-')}"
    assert two_edges.results("job-1", "edge-1") == results
    assert two_edges.results("job-1", "edge-1", since=4) == results[4:]


def test_an_unknown_job_is_404_and_503_while_the_store_is_away(platform_bed):
    """
    An edge that cannot read the log must not answer that the job does not exist.
    """
    assert platform_bed.ask("GET", "/v1/lots/none").status == 404
    platform_bed.fake_store(mode="busy")
    answer = platform_bed.ask("GET", "/v1/lots/none")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


def test_a_job_submitted_again_is_taken_once(two_edges):
    """
    Any edge accepts it again, and its items run once.
    """
    job = make_job()
    for edge in ("edge-0", "edge-1", "edge-0"):
        assert two_edges.submit("job-1", job, edge).status == 202
    two_edges.finished("job-1", ITEMS)
    names = [run["request_id"] for run in two_edges.runs() if run["body"] == "prompt"]
    assert sorted(names) == [f"item-{i}" for i in range(ITEMS)]


def test_an_accept_whose_answer_was_lost_is_taken_once(platform_bed):
    """
    Both if the append was carried out and if it was not.
    """
    platform_bed.fake_store(lose_done=1)
    assert platform_bed.submit("job-1", make_job()).status == 202
    platform_bed.fake_store(lose_undone=1)
    assert platform_bed.submit("job-2", make_job()).status == 202
    assert texts(platform_bed.finished("job-1", ITEMS)) == whole_texts()
    assert texts(platform_bed.finished("job-2", ITEMS)) == whole_texts()


def test_a_job_that_may_come_into_the_log_later_is_not_called_not_run(platform_bed):
    """
    Neither 429 nor 503 while an unanswered append may still take effect.
    """
    platform_bed.fake_store(lose_undone=1000, late_by=2.5, lose_in="jobs")
    assert platform_bed.submit("job-1", make_job()).status == 502
    platform_bed.fake_store(lose_undone=0)
    assert texts(platform_bed.finished("job-1", ITEMS)) == whole_texts()


def test_a_job_whose_items_may_come_into_the_log_later_is_refused(platform_bed):
    """
    Items without the job's own record never run, so a refusal is safe.
    """
    platform_bed.fake_store(lose_undone=1000, late_by=2.5)
    assert platform_bed.submit("job-1", make_job()).status == 503
    platform_bed.fake_store(lose_undone=0)
    time.sleep(3.0)
    assert platform_bed.ask("GET", "/v1/lots/job-1").status == 404
    assert platform_bed.runs() == []


@pytest.mark.parametrize("appends", [1, 2, 3])
def test_a_job_of_several_appends_is_taken_whole_or_not_at_all(platform_bed, appends):
    """
    The store becomes busy between two appends: the job is refused, and no item runs.
    """
    job = make_job(60)
    platform_bed.fake_store(busy_after=appends)
    assert platform_bed.submit("job-1", job).status == 503
    platform_bed.fake_store(mode="ok", busy_after=0)
    time.sleep(1.0)
    assert platform_bed.ask("GET", "/v1/lots/job-1").status == 404
    assert platform_bed.runs() == []
    platform_bed.fake_store(lose_done=1)
    assert platform_bed.submit("job-1", job).status == 202
    assert texts(platform_bed.finished("job-1", 60)) == whole_texts(60)


def test_a_job_refused_while_the_store_is_busy_never_runs(platform_bed):
    """
    The store guarantees that nothing was appended, so a refusal is safe.
    """
    platform_bed.fake_store(mode="busy")
    answer = platform_bed.submit("job-1", make_job())
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    platform_bed.fake_store(mode="ok")
    time.sleep(1.0)
    assert platform_bed.ask("GET", "/v1/lots/job-1").status == 404
    assert platform_bed.runs() == []


def test_an_accepted_job_outlives_the_death_of_every_edge(two_edges):
    """
    All are killed right after accepting it; a restarted edge runs it.
    """
    assert two_edges.submit("job-1", make_job()).status == 202
    for edge in ("edge-0", "edge-1"):
        two_edges.signal(edge, signal.SIGKILL)
        two_edges.wait_end(edge)
    for edge in ("edge-0", "edge-1"):
        two_edges.start_edge(edge)
    until(lambda: two_edges.ready("edge-1"))
    assert texts(two_edges.finished("job-1", ITEMS, "edge-1")) == whole_texts()


def test_an_edge_that_starts_anew_reads_no_texts(platform_bed):
    """
    It reads only their positions, so that all edges can start at once; texts are read
    on request.
    """
    assert platform_bed.submit("job-1", make_job()).status == 202
    results = platform_bed.finished("job-1", ITEMS)
    platform_bed.signal("edge-0", signal.SIGKILL)
    platform_bed.wait_end("edge-0")
    before = platform_bed.fake_store()["reads"].get("texts", 0)
    platform_bed.start_edge("edge-0")
    until(lambda: platform_bed.ready("edge-0"))
    assert platform_bed.fake_store()["reads"].get("texts", 0) == before
    assert platform_bed.results("job-1") == results
    assert platform_bed.fake_store()["reads"]["texts"] > before


def test_two_edges_that_both_run_an_item_list_it_once(two_edges):
    """
    One is paused, another takes over, and the first one resumes within its run.

    The log's order decides, so positions are the same at both.
    """
    for engine in ("engine-0", "engine-1"):
        two_edges.fake_engine(engine, pace=0.6)
    owner = two_edges.owner()
    other = "edge-1" if owner == "edge-0" else "edge-0"
    assert two_edges.submit("job-1", make_job(2), other).status == 202
    until(lambda: len(two_edges.runs()) == 2)
    two_edges.signal(owner, signal.SIGSTOP)
    until(lambda: len(two_edges.runs()) == 4)
    two_edges.signal(owner, signal.SIGCONT)
    results = two_edges.finished("job-1", 2, other)
    time.sleep(0.5)
    assert two_edges.results("job-1", owner) == results
    assert texts(results) == whole_texts(2)
    assert len({result["id"] for result in results}) == 2
    assert two_edges.owner() == other


def test_nothing_of_an_ended_job_runs(two_edges):
    """
    Running items stop, waiting ones never start, and earlier results stay.
    """
    for engine in ("engine-0", "engine-1"):
        two_edges.fake_engine(engine, pace=0.2)
    assert two_edges.submit("job-1", make_job(20)).status == 202
    until(lambda: len(two_edges.results("job-1")) >= 2)
    listed = two_edges.results("job-1")
    assert two_edges.ask("DELETE", "/v1/lots/job-1", edge="edge-1").status == 200
    assert two_edges.ask("DELETE", "/v1/lots/job-1", edge="edge-0").status == 200
    until(lambda: all(r["ended"] != "running" for r in two_edges.runs()), 2.0)
    began = len(two_edges.runs())
    time.sleep(1.0)
    assert len(two_edges.runs()) == began
    assert two_edges.results("job-1")[: len(listed)] == listed


def test_an_edge_that_reads_the_log_anew_runs_nothing_of_an_ended_job(platform_bed):
    """
    It reads the job's end in a later page than the job: nothing starts in between,
    although the items are loaded and the share is held.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, pace=0.2)
    assert platform_bed.submit("job-1", make_job(20)).status == 202
    assert platform_bed.ask("DELETE", "/v1/lots/job-1").status == 200
    platform_bed.signal("edge-0", signal.SIGKILL)
    platform_bed.wait_end("edge-0")
    began = len(platform_bed.runs())
    taken_up = len(_taken_up(platform_bed))
    platform_bed.fake_store(page=1, slow_by=1.5, slow_in="jobs")
    platform_bed.start_edge("edge-0")
    until(lambda: platform_bed.ready("edge-0"), 20.0)
    time.sleep(1.0)
    assert len(platform_bed.runs()) == began
    assert len(_taken_up(platform_bed)) == taken_up


def _taken_up(bed) -> list[dict]:
    return [line for line in bed.log("edge-0") if line["event"] == "job_taken_up"]


def test_nothing_starts_after_a_long_silence_of_the_store(platform_bed):
    """
    The job may have ended during the outage; items start once the log is read again.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=503)
    assert platform_bed.submit("job-1", make_job()).status == 202
    platform_bed.fake_store(mode="silent")
    time.sleep(7.0)
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, fail=0)
    time.sleep(1.0)
    assert platform_bed.runs() == []
    platform_bed.fake_store(mode="ok")
    assert texts(platform_bed.finished("job-1", ITEMS)) == whole_texts()


def test_the_body_of_an_item_that_is_not_listed_can_be_read(two_edges):
    """
    At any edge; an unknown item is not found.
    """
    for engine in ("engine-0", "engine-1"):
        two_edges.fake_engine(engine, pace=0.5)
    assert two_edges.submit("job-1", make_job()).status == 202
    answer = two_edges.ask("GET", "/v1/items/job-1?id=item-3", edge="edge-1")
    assert (answer.status, answer.body) == (200, b"prompt")
    assert two_edges.ask("GET", "/v1/items/job-1?id=none").status == 404


def test_a_job_with_a_broken_item_is_refused_whole(platform_bed):
    """
    The answer names the location, and no item runs.
    """
    job = make_job()
    del job["requests"][3]["id"]
    answer = platform_bed.submit("job-1", job)
    assert answer.status == 400
    assert b"requests[3]: 'id' is missing" in answer.body
    time.sleep(0.3)
    assert platform_bed.runs() == []


def test_reading_while_results_come_waits_for_the_next(platform_bed):
    """
    A read at the last position waits until there is a further result.
    """
    for engine in ("engine-0", "engine-1"):
        platform_bed.fake_engine(engine, pace=0.1)
    assert platform_bed.submit("job-1", make_job(1)).status == 202
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(
            platform_bed.ask, "GET", "/v1/lots/job-1", Saddledoor_Wait_Ms="1000"
        )
        assert asked.result().media["next_token"] == 1
