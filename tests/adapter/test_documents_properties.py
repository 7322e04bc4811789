# SPDX-License-Identifier: MIT

"""
For any body, decoders return a valid value or raise `InvalidBodyError`.
"""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from document_strategies import json_bytes, json_values, mutated
from documents import (
    InvalidBodyError,
    decode_config,
    decode_engine_entry,
    decode_engine_state,
    decode_job,
    decode_named_version,
)
from engine_documents import as_bytes, make_entry, make_report
from platform_documents import make_config, make_job
from saddledoor import (
    EngineEntry,
    GatewayConfig,
    Job,
    JobOpened,
    RouteTable,
    StoredText,
    decode_job_items,
    decode_job_record,
    encode_job_items,
    encode_job_record,
)
from saddledoord.ports import EngineState, KeyedPage, NamedVersion, UnusableValue
from store import KeyedTopic
from store_documents import KeyedStore, make_record, make_row


_NAMED = {"model": "model-a", "version": 2}
_PLACE = re.compile(r"[\w.\[\]: -]+")

_quick = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def _bodies(document: dict) -> st.SearchStrategy[bytes]:
    almost_good = mutated(document)
    # Twice, since most of the others fail at the first field.
    return st.one_of(st.binary(max_size=64), json_bytes(), almost_good, almost_good)


def _decoded(decode: Callable[[bytes], object], data: bytes) -> object | None:
    """
    Return the decoded value; None for an invalid body.
    """
    try:
        return decode(data)
    except InvalidBodyError as error:
        assert _PLACE.match(str(error))
        return None


def _is_text(value: object) -> bool:
    return isinstance(value, str) and value != "" and value.encode().decode() == value


def _is_whole(value: object, least: int = 0) -> bool:
    return type(value) is int and least <= value < 2**53


def _is_finite(value: object) -> bool:
    return type(value) in (int, float) and value >= 0 and math.isfinite(value)


def _hold_versions(versions: dict[str, int]) -> bool:
    return all(_is_text(n) and _is_whole(v) for n, v in versions.items())


@_quick
@given(_bodies(make_entry()))
def test_an_entry_is_one_that_can_be_used(data):
    """
    It has a host, a valid port and at least one slot.
    """
    entry = _decoded(lambda data: decode_engine_entry("engine-a", data), data)
    if entry is None:
        return
    assert isinstance(entry, EngineEntry)
    assert _is_text(entry.service)
    assert _is_text(entry.data_centre)
    host, _, port = entry.address.rpartition(":")
    assert host and not re.search(r"[\s/@?#]", host)
    assert 0 < int(port) < 65536
    assert _is_whole(entry.slots, 1)
    assert type(entry.draining) is bool
    assert _hold_versions(entry.versions)
    assert entry.started_at is None or _is_whole(entry.started_at)


@_quick
@given(st.text(max_size=6))
def test_any_key_names_an_engine_or_none(key):
    """
    The id of a decoded entry is a valid header value.
    """
    data = as_bytes(make_entry())
    entry = _decoded(lambda data: decode_engine_entry(key, data), data)
    assert entry is None or (entry.engine_id == key and key.isascii())
    assert entry is None or (key.isprintable() and " " not in key and key)


@_quick
@given(_bodies(make_report()))
def test_a_report_is_one_that_an_order_can_count_on(data):
    """
    Versions and the number of accepted orders are non-negative integers.
    """
    report = _decoded(decode_engine_state, data)
    if report is None:
        return
    assert isinstance(report, EngineState)
    assert _hold_versions(report.versions)
    assert type(report.busy) is bool
    assert _is_whole(report.accepted_orders)
    assert report.started_at is None or _is_whole(report.started_at)


@_quick
@given(_bodies(_NAMED))
def test_a_named_version_is_a_number_of_a_model(data):
    """
    The version can be compared with those of engines.
    """
    named = _decoded(decode_named_version, data)
    if named is not None:
        assert isinstance(named, NamedVersion)
        assert _is_text(named.model)
        assert _is_whole(named.version)


@_quick
@given(_bodies(make_config()))
def test_a_configuration_is_one_that_routes_can_be_found_in(data):
    """
    Times are finite, and each route has a service.
    """
    config = _decoded(decode_config, data)
    if config is None:
        return
    assert isinstance(config, GatewayConfig)
    assert _is_whole(config.version)
    table = RouteTable.from_config(config.routes)
    for route in config.routes:
        assert (
            table.find(route.host, route.path_prefix) is not None or ":" in route.host
        )
        assert _is_text(route.service(0.5))
        times = (route.timeout, route.objective, route.max_item_age or 0.0)
        assert all(_is_finite(time) for time in times)
        assert _is_whole(route.max_attempts) and _is_whole(route.rank)
    for name, service in config.services.items():
        assert service.name == name and _is_whole(service.max_connections)
        assert all(_is_text(model) for model in service.models)
    assert _is_finite(config.limits.idle_timeout)


@_quick
@given(_bodies(make_job(2)))
def test_a_job_is_one_that_the_log_can_hold(data):
    """
    A decoded job survives encoding to the log and back.
    """
    job = _decoded(lambda data: decode_job("job-a", "host", "/train/x", data), data)
    if job is None:
        return
    assert isinstance(job, Job)
    assert len({item.item_id for item in job.items}) == len(job.items) > 0
    assert decode_job_items(encode_job_items(job.items)) == job.items
    opened = JobOpened.of(job, StoredText((1,), 1))
    assert decode_job_record(encode_job_record(opened)) == opened


def _is_sound(page: KeyedPage) -> bool:
    values = [entry.value for entry in page.entries]
    return all(
        isinstance(value, EngineEntry | UnusableValue | None) for value in values
    )


@_quick
@given(st.lists(json_values() | st.binary(max_size=8), max_size=4))
def test_any_rows_leave_the_newest_values_readable(rows):
    """
    The valid row among them is always returned.
    """
    good = make_row("good", as_bytes(make_entry()), 1)
    registry = KeyedTopic(
        KeyedStore([[*rows, good]]), "keyed.servers", decode_engine_entry
    )
    page = asyncio.run(registry.newest())
    assert _is_sound(page)
    assert isinstance(page.entries[-1].value, EngineEntry)


@_quick
@given(st.lists(st.binary(max_size=12), max_size=4))
def test_any_records_leave_the_changes_readable(records):
    """
    The valid record after them is always returned, at its own offset.
    """
    good = make_record(b"good", as_bytes(make_entry()))
    registry = KeyedTopic(
        KeyedStore(records=[*records, good]), "keyed.servers", decode_engine_entry
    )
    page = asyncio.run(registry.changes(0, 0.0))
    assert _is_sound(page)
    assert page.entries[-1].offset == len(records)
    assert page.next_offset == len(records) + 1
