# SPDX-License-Identifier: MIT

"""
Forwarded requests, with engines that fail in various ways.
"""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor

from platform_bed import until
from platform_documents import HOST, make_config, make_job


def test_a_request_reaches_the_engine_unchanged(platform_bed):
    """
    Method, path, query and body are forwarded; status, body and signature come back.
    """
    answer = platform_bed.ask("PUT", "/look/a%20b//c?x=1&y=%2F", b"\x00body", "r-1")
    assert answer.status == 200
    assert answer.body == b"answer to r-1"
    assert answer.headers["saddledoor-server-seal"] == "seal-r-1"
    (run,) = platform_bed.runs()
    assert (run["method"], run["target"]) == ("PUT", "/look/a%20b//c?x=1&y=%2F")
    assert run["body"] == "\x00body"


def test_an_answer_to_head_has_no_body_and_is_whole(platform_bed):
    """
    It is complete without a length.
    """
    answer = platform_bed.ask("HEAD", "/look/x", request_id="r-1")
    assert (answer.status, answer.body) == (200, b"")
    assert len(platform_bed.runs()) == 1


def test_without_a_route_the_answer_is_404(platform_bed):
    """
    Neither another host nor another path has a route.
    """
    assert platform_bed.ask("GET", "/nowhere/", request_id="r-1").status == 404
    other = platform_bed.ask("GET", "/look/x", request_id="r-2", Host="other.example")
    assert other.status == 404
    assert platform_bed.runs() == []


def test_an_extra_answer_reaches_nobody(platform_bed):
    """
    Bytes after a complete answer belong to no request.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, extra=True)
    for index in range(6):
        answer = platform_bed.ask("POST", "/look/x", b"b", f"r-{index}")
        assert answer.body == f"answer to r-{index}".encode()


def test_the_answer_of_another_request_is_not_passed_on(platform_bed):
    """
    An answer with another id does not count as this request's answer.
    """
    platform_bed.fake_engine("desk-0", wrong_id=True)
    # Engines are chosen at random; 12 requests make use of the faulty one near certain.
    for index in range(12):
        answer = platform_bed.ask("POST", "/look/x", b"b", f"r-{index}")
        assert (answer.status, answer.body) == (200, f"answer to r-{index}".encode())


def test_an_unrepeatable_request_runs_once_and_is_not_called_not_run(platform_bed):
    """
    After another request's answer it may have run: it is not retried, and the result
    does not claim that it did not run.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, wrong_id=True)
    answer = platform_bed.ask("POST", "/book/x", b"b", "r-1")
    assert answer.status == 502
    assert len(platform_bed.runs()) == 1


def test_an_unrepeatable_request_without_an_answer_is_not_called_not_run(platform_bed):
    """
    Its timeout passes while an engine runs it, so the status is neither 503 nor 429.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, delay=5.0)
    for index in range(8):
        answer = platform_bed.ask(
            "POST", "/book/x", b"b", f"r-{index}", Saddledoor_Deadline_Ms="150"
        )
        assert answer.status == 502
    assert len(platform_bed.runs()) == 8


def test_a_success_without_the_engine_s_signature_is_not_passed_on(platform_bed):
    """
    Another engine is tried, or the caller gets 502.
    """
    platform_bed.fake_engine("desk-0", unsigned=True)
    for index in range(12):
        answer = platform_bed.ask("POST", "/look/x", b"b", f"r-{index}")
        assert answer.headers["saddledoor-server-seal"] == f"seal-r-{index}"
    platform_bed.fake_engine("desk-1", unsigned=True)
    assert platform_bed.ask("POST", "/look/x", b"b", "r-9").status == 502


def test_a_slow_engine_does_not_make_a_repeatable_request_late(platform_bed):
    """
    After half of the objective a second engine runs it as well.
    """
    platform_bed.fake_engine("desk-0", delay=1.5)
    for index in range(12):
        began = time.monotonic()
        answer = platform_bed.ask("POST", "/look/x", b"b", f"r-{index}")
        assert (answer.status, answer.body) == (200, f"answer to r-{index}".encode())
        assert time.monotonic() - began < 1.0


def test_an_engine_that_refuses_is_not_an_attempt_that_ran(platform_bed):
    """
    If every engine guarantees that it did not run it, the answer has ``Retry-After``.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, fail=503)
    began = time.monotonic()
    answer = platform_bed.ask("POST", "/book/x", b"b", "r-1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert time.monotonic() - began < 1.0
    assert platform_bed.runs() == []


def test_a_failure_of_the_engine_is_passed_on_for_an_unrepeatable_request(platform_bed):
    """
    The engine's status is returned, and the request is not retried.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, fail=500)
    assert platform_bed.ask("POST", "/book/x", b"b", "r-1").status == 500
    assert len(platform_bed.runs()) == 1


def test_an_engine_stops_when_the_caller_leaves(platform_bed):
    """
    The engine's run is cancelled well before its end.
    """
    for name in ("desk-0", "desk-1"):
        platform_bed.fake_engine(name, delay=5.0)
    with socket.create_connection(
        ("127.0.0.1", platform_bed.front_ports["edge-0"])
    ) as caller:
        head = f"POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
        caller.sendall(f"{head}Saddledoor-Attempt-Id: r-1\r\n\r\nb".encode())
        until(lambda: [run for run in platform_bed.runs()])
    until(lambda: platform_bed.runs()[0]["ended"] == "cancelled", 0.6)


def test_an_address_that_comes_back_as_another_service_runs_nothing(platform_bed):
    """
    The request names its incarnation; another one refuses it.
    """
    platform_bed.put_entry("desk-gone", "desk", platform_bed.engine_ports["engine-0"])
    for index in range(8):
        assert platform_bed.ask("POST", "/book/x", b"b", f"r-{index}").status == 200
    assert platform_bed.fake_engine("engine-0")["runs"] == []


def test_a_leaving_engine_gets_nothing_more(platform_bed):
    """
    Neither an engine that is draining nor one whose entry was removed.
    """
    port = platform_bed.engine_ports["desk-0"]
    platform_bed.put_entry("desk-0", "desk", port, state="draining")
    time.sleep(0.3)
    for index in range(6):
        assert platform_bed.ask("POST", "/look/x", b"b", f"r-{index}").status == 200
    platform_bed.remove_entry("desk-0")
    time.sleep(0.3)
    for index in range(6):
        assert platform_bed.ask("POST", "/look/x", b"b", f"s-{index}").status == 200
    assert platform_bed.fake_engine("desk-0")["runs"] == []


def test_entries_that_lapse_with_the_store_are_bridged(platform_bed):
    """
    After an outage an engine without an entry stays in use until it should have written
    a new one; then it is dropped.
    """
    platform_bed.fake_store(mode="busy")
    until(lambda: _logged(platform_bed, "store_lost"))
    for name in ("desk-0", "desk-1"):
        platform_bed.remove_entry(name)
    platform_bed.fake_store(mode="ok")
    until(lambda: _logged(platform_bed, "engine_entry_gone"))
    assert platform_bed.ask("POST", "/look/x", b"b", "r-1").status == 200
    time.sleep(1.6)
    assert platform_bed.ask("POST", "/look/x", b"b", "r-2").status == 200
    time.sleep(1.1)
    assert platform_bed.ask("POST", "/look/x", b"b", "r-3").status == 503


def test_an_edge_is_ready_only_once_it_knows_the_engines(platform_bed):
    """
    Otherwise its first requests would be refused.
    """
    platform_bed.fake_store(slow_entries=0.4)
    platform_bed.start_edge("edge-1")
    until(lambda: platform_bed.ready("edge-1"))
    answer = platform_bed.ask("POST", "/look/x", b"b", "r-1", edge="edge-1")
    assert answer.status == 200


def test_an_edge_without_an_answer_of_the_store_asks_for_no_callers(platform_bed):
    """
    It becomes not ready soon, and ready again once the store answers.
    """
    platform_bed.fake_store(mode="silent")
    until(lambda: not platform_bed.ready("edge-0"), 1.3)
    began = time.monotonic()
    assert platform_bed.submit("job-1", make_job()).status == 503
    assert time.monotonic() - began < 0.3
    platform_bed.fake_store(mode="ok")
    until(lambda: platform_bed.ready("edge-0"), 4.0)


def test_the_configuration_never_goes_back(platform_bed):
    """
    Neither a later record with an older version nor a truncated log changes it.
    """
    config = make_config(5)
    config["routes"] = config["routes"][:1]
    platform_bed.configure(config)
    until(lambda: platform_bed.ask("GET", "/book/x", request_id="r").status == 404)
    platform_bed.configure(make_config(4))
    platform_bed.fake_store(forget=["keyed.op"])
    time.sleep(0.5)
    assert platform_bed.ask("GET", "/book/x", request_id="s").status == 404


def test_a_broken_record_in_the_store_is_skipped_with_a_line(platform_bed):
    """
    The configuration in force stays, and the log line names the location.
    """
    platform_bed.put("keyed.op", "config", '{"version": 9, "routes": [{}]}')
    platform_bed.put("keyed.servers", "odd", '{"service": 1}')
    until(lambda: len(_logged(platform_bed, "record_skipped")) == 2)
    reasons = [line["reason"] for line in _logged(platform_bed, "record_skipped")]
    assert "routes[0]: 'route_type' is missing" in reasons[0]
    assert platform_bed.ask("POST", "/look/x", b"b", "r-1").status == 200


def test_records_that_cannot_be_used_are_counted(platform_bed):
    """
    Counted by the kind of their content.
    """
    kinds = ("operator", "engines", "leases", "jobs", "texts", "items")
    none = dict.fromkeys(kinds, 0)
    assert platform_bed.skipped_records("edge-0") == none
    platform_bed.put("keyed.op", "config", "nonsense")
    platform_bed.put("keyed.servers", "odd", "nonsense")
    wanted = {**none, "operator": 1, "engines": 1}
    until(lambda: platform_bed.skipped_records("edge-0") == wanted)


def test_an_engine_whose_entry_was_overwritten_gets_nothing_more(platform_bed):
    """
    The other engines of its service stay in use.
    """
    platform_bed.put("keyed.servers", "desk-1", "overwritten")
    until(lambda: _logged(platform_bed, "record_skipped"))
    for number in range(4):
        assert platform_bed.ask("GET", "/look/x", b"", f"r-{number}").status == 200
    assert platform_bed.fake_engine("desk-1")["runs"] == []


def test_a_body_over_the_limit_is_refused(platform_bed):
    """
    The status is 413, and no engine gets it.
    """
    assert platform_bed.ask("POST", "/look/x", b"b" * 100_001, "r-1").status == 413
    assert platform_bed.runs() == []


def test_requests_are_answered_while_the_store_is_away(platform_bed):
    """
    Routes and engines known before the outage stay in use.
    """
    platform_bed.fake_store(mode="silent")
    for index in range(4):
        assert platform_bed.ask("POST", "/look/x", b"b", f"r-{index}").status == 200


def test_a_planned_stop_answers_everyone(two_edges):
    """
    It is not ready at once, answers further requests, closes connections, and exits
    with status 0.
    """
    for name in ("desk-0", "desk-1"):
        two_edges.fake_engine(name, delay=1.0)
    with ThreadPoolExecutor(4) as pool:
        asked = [
            pool.submit(two_edges.ask, "POST", "/look/x", b"b", f"r-{index}")
            for index in range(4)
        ]
        # Each of them runs at a second engine as well after 0.1 s.
        until(lambda: len({run["request_id"] for run in two_edges.runs()}) == 4)
        two_edges.signal("edge-0", 15)
        until(lambda: not two_edges.ready("edge-0"), 1.0)
        late = two_edges.ask("POST", "/look/x", b"b", "late")
        assert (late.status, late.headers["connection"]) == (200, "close")
        assert [answer.result().status for answer in asked] == [200] * 4
    assert two_edges.wait_end("edge-0", 8.0) == 0


def _logged(bed, event: str) -> list[dict]:
    return [line for line in bed.log("edge-0") if line["event"] == event]
