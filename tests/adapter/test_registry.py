# SPDX-License-Identifier: MIT

"""
Keyed topics with invalid records, which must not hide valid ones.
"""

from __future__ import annotations

import asyncio

import pytest
from structlog.testing import capture_logs

from documents import decode_engine_entry
from engine_documents import HOSTILE_BYTES, as_bytes, make_entry
from saddledoord._clock import boot_time
from saddledoord.cluster.follow import RegistryFollower
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import KeyedPage, StoreUnavailableError, UnusableValue
from store import KeyedTopic
from store_documents import KeyedStore, make_record, make_row


_GOOD = as_bytes(make_entry())
_BAD = b"nonsense"


def _registry(store: KeyedStore) -> KeyedTopic:
    return KeyedTopic(store, "keyed.servers", decode_engine_entry)


def _newest(*pages: list) -> KeyedPage:
    return asyncio.run(_registry(KeyedStore(pages)).newest())


def _changes(*records: bytes) -> KeyedPage:
    return asyncio.run(_registry(KeyedStore(records=records)).changes(0, 0.0))


def _usable_keys(page: KeyedPage) -> list[str]:
    return [e.key for e in page.entries if not isinstance(e.value, UnusableValue)]


async def _followed(registry: KeyedTopic, view: ClusterView) -> asyncio.Task:
    """
    Start a follower, and wait until it has read the first pages.
    """
    follower = RegistryFollower(registry, "engines", view.apply_engine)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.05)
    return task


@pytest.mark.parametrize("name", [n for n, data in HOSTILE_BYTES.items() if data])
def test_an_entry_that_cannot_be_read_hides_no_other_one(name):
    """
    The follower keeps running, whether it reads the entry at its start or later.
    """
    bad = HOSTILE_BYTES[name]
    rows = [make_row("a", bad, 0), make_row("b", _GOOD, 1)]
    records = [make_record(b"a", bad), make_record(b"b", _GOOD)]

    async def play():
        view = ClusterView()
        task = await _followed(_registry(KeyedStore([rows], records)), view)
        assert not task.done()
        task.cancel()
        return view.directory.known_ids()

    assert asyncio.run(play()) == {"b"}
    assert _usable_keys(_changes(*records)) == ["b"]


@pytest.mark.parametrize(
    "row",
    [
        None,
        7,
        "row",
        [],
        {},
        make_row("", _GOOD),
        {**make_row("a", _GOOD), "private_key": 7},
        {**make_row("a", _GOOD), "private_key": None},
        {**make_row("a", _GOOD), "offset": "0"},
        {**make_row("a", _GOOD), "offset": 1e300},
        {**make_row("a", _GOOD), "value": None},
        {**make_row("a", _GOOD), "value": "no base64!"},
        {**make_row("a", _GOOD), "value": "\u00e9"},
        {**make_row("a", _GOOD), "value": ["e30="]},
        {"private_key": "a", "offset": 0},
    ],
)
def test_a_row_that_cannot_be_read_hides_no_other_one(row):
    """
    The other rows of the page are returned, whatever the row's position.
    """
    good = make_row("b", _GOOD, 1)
    assert _usable_keys(_newest([row, good])) == ["b"]
    assert _usable_keys(_newest([good, row])) == ["b"]


@pytest.mark.parametrize(
    "record", [b"", b"\x00", b"\x00{}", b"\x05ab", b"\xff", b"\x02\xff\xfe{}"]
)
def test_a_record_without_a_key_hides_no_other_one(record):
    """
    Nor does it shift the offsets of later records.
    """
    page = _changes(make_record(b"a", _GOOD), record, make_record(b"b", _GOOD))
    assert [(entry.key, entry.offset) for entry in page.entries] == [("a", 0), ("b", 2)]
    assert page.next_offset == 3


def test_a_list_goes_on_behind_the_last_key_that_can_be_read():
    """
    An invalid last row must neither end nor restart the listing.
    """
    first = [make_row("a", _GOOD, 0), {"private_key": 7}]
    store = KeyedStore([first, [make_row("b", _GOOD, 1)]])
    page = asyncio.run(_registry(store).newest())
    assert _usable_keys(page) == ["a", "b"]
    assert store.asked == [None, "a"]


def test_a_list_that_leads_no_further_is_no_answer():
    """
    A partial listing would remove the engines on later pages.
    """
    with pytest.raises(StoreUnavailableError):
        _newest([None], [make_row("b", _GOOD, 1)])


def test_a_reason_is_logged_once_for_each_key_and_change():
    """
    Engines write several times a second; each line has the key and the reason.
    """
    worse = as_bytes(make_entry(slots="8"))
    writes = [
        (b"a", _BAD),
        (b"a", _BAD),
        (b"b", _BAD),
        (b"a", worse),
        (b"a", worse),
        (b"a", _GOOD),
        (b"a", worse),
        (b"a", b""),
        (b"a", worse),
    ]
    with capture_logs() as lines:
        _changes(*(make_record(key, value) for key, value in writes))
    assert [(line["key"], line["offset"]) for line in lines] == [
        ("a", 0),
        ("b", 2),
        ("a", 3),
        ("a", 6),
        ("a", 8),
    ]
    assert lines[2]["reason"].startswith("slots: a whole number")
    assert {line["event"] for line in lines} == {"record_skipped"}


def test_reading_all_keys_anew_logs_nothing_anew():
    """
    All keys are read again after each outage of the store.
    """
    store = KeyedStore([[make_row("a", _BAD), make_row("b", _GOOD)]])
    registry = _registry(store)

    async def play():
        for _ in range(3):
            await registry.newest()

    with capture_logs() as lines:
        asyncio.run(play())
    assert [line["key"] for line in lines] == ["a"]


@pytest.mark.parametrize(("value", "used"), [(_BAD, []), (b"", ["a"])])
def test_an_entry_spoilt_at_the_stores_return_is_not_one_that_lapsed(value, used):
    """
    An expired entry may return unchanged; an overwritten one has not expired.
    """
    view = ClusterView()
    page = _changes(make_record(b"a", _GOOD), make_record(b"a", value))
    view.apply_engine(page.entries[0])
    view.store_reached()
    view.apply_engine(page.entries[1])
    engines = view.directory.usable("pool", boot_time())
    assert [engine.engine_id for engine in engines] == used


def test_an_entry_that_lapsed_and_comes_back_spoilt_names_no_engine():
    """
    The entry that was kept for its return is dropped.
    """
    view = ClusterView()
    (good, invalid) = _changes(
        make_record(b"a", _GOOD), make_record(b"a", _BAD)
    ).entries
    view.apply_engine(good)
    view.store_reached()
    view.retain_engines(set())
    assert len(view.directory.usable("pool", boot_time())) == 1
    view.apply_engine(invalid)
    assert view.directory.usable("pool", boot_time()) == []
