# SPDX-License-Identifier: MIT

"""
The gateway's pure decisions: routes, engines, records.
"""

from __future__ import annotations

import pytest

from builders import make_job, make_job_records, make_route
from saddledoor import (
    EngineDirectory,
    EngineEntry,
    ItemFailed,
    ItemKept,
    ItemListed,
    ItemResult,
    JobBook,
    JobEnded,
    KeptText,
    RouteTable,
    ServiceShare,
    decode_job,
    decode_job_record,
    encode_job_record,
    engines_to_update,
)
from saddledoor.exceptions import UndecodableRecordError


def test_the_longest_prefix_of_the_host_wins():
    """
    Another host, or no prefix, has no route.
    """
    routes = [make_route("/a/"), make_route("/a/b/"), make_route("/", host="other")]
    table = RouteTable.from_config(routes)
    assert table.find("desk.example:80", "/a/b/c").name == "/a/b/"
    assert table.find("DESK.example", "/a/bc").name == "/a/"
    assert table.find("desk.example", "/b/") is None
    assert table.find("other", "/b/").name == "/"


def test_shares_of_a_route_follow_their_weights():
    """
    A weight of 0 gets nothing, whatever is drawn.
    """
    shares = (ServiceShare("a", 90), ServiceShare("b", 0), ServiceShare("c", 10))
    route = make_route("/", shares=shares)
    drawn = [route.service(n / 100) for n in range(100)]
    assert (drawn.count("a"), drawn.count("b"), drawn.count("c")) == (90, 0, 10)


def _entry(name: str, draining: bool = False) -> EngineEntry:
    return EngineEntry(name, "desk", "127.0.0.1:1", "dc-a", 4, draining)


def test_an_engine_whose_entry_goes_is_left_at_once():
    """
    In calm times a missing entry means that the engine is leaving.
    """
    directory = EngineDirectory(2.0)
    directory.put(_entry("e-1"))
    directory.remove("e-1", 10.0)
    assert directory.usable("desk", 10.0) == []


def test_an_entry_that_lapses_around_an_outage_is_bridged_for_a_while():
    """
    But not one of an engine that had said that it drains.
    """
    directory = EngineDirectory(2.0)
    directory.put(_entry("e-1"))
    directory.put(_entry("e-2", draining=True))
    directory.store_lost()
    directory.store_regained(10.0)
    directory.remove("e-1", 10.1)
    directory.remove("e-2", 10.1)
    assert [e.engine_id for e in directory.usable("desk", 11.5)] == ["e-1"]
    assert directory.usable("desk", 11.7) == []


@pytest.mark.parametrize(
    "record",
    [
        *make_job_records(make_job()),
        ItemListed("j", ItemResult("i", True, "text", (1, 2), "mark")),
        ItemFailed("j", "i", True),
        ItemKept("j", "i", 3, "c-1", KeptText(("a", "b"), (1,), "c-2")),
        JobEnded("j"),
    ],
)
def test_records_survive_their_bytes(record):
    """
    Every type, to the last field.
    """
    assert decode_job_record(encode_job_record(record)) == record


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x91\xa1z", b"\x92\xa1r\xa1j"])
def test_bytes_that_are_no_record_are_refused(data):
    """
    With an error of the library's own.
    """
    with pytest.raises(UndecodableRecordError):
        decode_job_record(data)


def test_a_job_whose_first_pieces_are_gone_is_not_taken_in_part():
    """
    The log may drop its oldest records.
    """
    book = JobBook(decode_job)
    for record in make_job_records(make_job())[1:]:
        book.apply(record)
    assert book.get("job-a") is None


def test_a_job_is_put_together_from_its_pieces():
    """
    A second series of pieces, or the same pieces again before the last, change nothing.
    """
    book = JobBook(decode_job)
    pieces = make_job_records(make_job())
    for record in [*pieces[:2], *pieces[:2], *pieces[2:], *pieces]:
        book.apply(record)
    assert book.get("job-a").job == make_job()
    assert len(book.open_jobs()) == 1


@pytest.mark.parametrize(
    ("versions", "oldest", "wanted"),
    [
        # Half of the engines follow; the others still serve what is asked.
        ({"a": 4, "b": 4, "c": 4, "d": 4}, 4, ["a", "b"]),
        # Those that are too old for the job at hand come first, all of them.
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
    Version 5 has been named.
    """
    assert engines_to_update(versions, 5, oldest) == wanted
