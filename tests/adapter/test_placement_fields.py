# SPDX-License-Identifier: MIT

"""
Fields of configuration, entries and settings that restrict where requests may go.
"""

from __future__ import annotations

import pytest

from boot import load_boot_settings
from documents import (
    InvalidBodyError,
    decode_config,
    decode_engine_entry,
    decode_evacuation,
)
from engine_documents import as_bytes, make_entry
from platform_documents import SETTINGS, make_config
from saddledoor import ScalingLimits
from saddledoord.ports import Evacuation


_SCALING = {
    "min": 1,
    "max": 24,
    "boot_s": 4.0,
    "spot_price": 0.18,
    "zone_prices": {"dc-a": 1.0, "dc-b": 0.8},
}


def _config_with_service(**fields: object):
    config = make_config()
    config["services"][1].update(fields)
    return decode_config(as_bytes(config)).services["pool"]


def test_a_service_states_its_scaling_and_its_cold_start():
    """
    Times are in seconds and prices by data centre.
    """
    service = _config_with_service(scaling=_SCALING, cold_start_s=3.0, cold_per_s=8.9)
    prices = {"dc-a": 1.0, "dc-b": 0.8}
    assert service.scaling == ScalingLimits(1, 24, 4.0, 0.18, prices)
    assert (service.cold_start, service.cold_rate) == (3.0, 8.9)


def test_a_service_without_these_fields_has_no_limits():
    """
    Earlier deployments must not order engines or limit sends.
    """
    service = _config_with_service()
    assert service.scaling is None
    assert (service.cold_start, service.cold_rate) == (0.0, 0.0)


@pytest.mark.parametrize(
    ("change", "location"),
    [
        ({"max": 0}, "max"),
        ({"min": -1}, "min"),
        ({"boot_s": "4"}, "boot_s"),
        ({"zone_prices": {"dc-a": "1"}}, "zone_prices"),
    ],
)
def test_invalid_scaling_names_the_field(change, location):
    """
    A configuration is taken whole or not at all.
    """
    with pytest.raises(InvalidBodyError, match=location):
        _config_with_service(scaling={**_SCALING, **change})


def test_routes_and_workspaces_state_their_regions():
    """
    A missing field allows all regions, an empty list none.
    """
    config = make_config()
    config["routes"][0]["allowed_regions"] = ["north", "south"]
    config["routes"][1]["allowed_regions"] = []
    config["tenants"] = [{"name": "w", "api_keys": ["k"], "allowed_regions": ["north"]}]
    decoded = decode_config(as_bytes(config))
    assert [route.allowed_regions for route in decoded.routes] == [
        frozenset({"north", "south"}),
        frozenset(),
        None,
    ]
    assert decoded.workspaces.find("k").allowed_regions == frozenset({"north"})


@pytest.mark.parametrize("regions", ["north", [1], [""], {}])
def test_invalid_regions_are_refused(regions):
    """
    A list that cannot be read must not count as no restriction.
    """
    config = make_config()
    config["routes"][0]["allowed_regions"] = regions
    with pytest.raises(InvalidBodyError, match="allowed_regions"):
        decode_config(as_bytes(config))


def test_an_entry_states_the_cold_time_and_the_time_left():
    """
    Both are in seconds; an engine that is warm may write a negative time.
    """
    entry = make_entry(cold_left_ms=1500, spot=True, leaves_ms=2500)
    decoded = decode_engine_entry("engine-a", as_bytes(entry))
    assert (decoded.cold_left, decoded.is_spot, decoded.leaves_in) == (1.5, True, 2.5)
    plain = decode_engine_entry("engine-a", as_bytes(make_entry(cold_left_ms=-5)))
    assert (plain.cold_left, plain.is_spot, plain.leaves_in) == (0.0, False, None)


def test_an_evacuation_names_its_data_centre():
    """
    The key carries the name; the body is an object.
    """
    assert decode_evacuation("dc-a", b"{}") == Evacuation("dc-a")
    for data_centre, body in (("", b"{}"), ("dc-a", b"[]")):
        with pytest.raises(InvalidBodyError):
            decode_evacuation(data_centre, body)


def test_settings_state_regions_and_bounds(tmp_path):
    """
    Without these fields nothing is restricted and no engines are ordered.
    """
    path = tmp_path / "boot.toml"
    text = SETTINGS.format("edge-0", 1001, 1002, 1003, 1000, 300)
    path.write_text(text)
    plain = load_boot_settings(path)
    assert (plain.region, dict(plain.regions)) == ("", {})
    assert (plain.cold_bounds, plain.orders_engines) == ((1.0, 0.0), False)
    added = '[zones]\ndc-a = "north"\n[cloud_api]\naddress = "127.0.0.1:1"\n'
    path.write_text(
        'region = "north"\n'
        + text.replace("lease_ms", "cold_excess = 1.5\ncold_slack = 5\nlease_ms", 1)
        + added
        + 'duties = ["scale"]\n'
    )
    settings = load_boot_settings(path)
    assert (settings.region, dict(settings.regions)) == ("north", {"dc-a": "north"})
    assert (settings.cold_bounds, settings.orders_engines) == ((1.5, 5.0), True)
