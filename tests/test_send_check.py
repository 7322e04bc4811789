# SPDX-License-Identifier: MIT

"""
The check of a send: which reason is reported, and when there is none.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from saddledoor import Denial, EngineFacts, SendNeeds, check_send, intersect_regions


_IN_REGION = EngineFacts(region="north")
_NEEDS = SendNeeds(frozenset({"north"}))


@pytest.mark.parametrize(
    ("change", "denial"),
    [
        ({}, None),
        ({"is_usable": False}, Denial.LEAVING),
        ({"region": "south"}, Denial.REGION),
        ({"region": None}, Denial.REGION),
        ({"is_evacuated": True}, Denial.EVACUATED),
        ({"is_cold": True, "may_send_to_cold": False}, Denial.COLD),
        ({"is_cold": True}, None),
        ({"sends_left": 0}, Denial.RATE),
        ({"sends_left": 1}, None),
        ({"is_up_to_date": False}, Denial.OUTDATED),
    ],
)
def test_each_restriction_denies_the_send_by_itself(change, denial):
    """
    A restriction that is ignored would let a request reach a forbidden engine.
    """
    assert check_send(_NEEDS, replace(_IN_REGION, **change)) is denial


def test_a_request_without_regions_may_go_to_an_engine_of_unknown_region():
    """
    Deployments whose settings name no regions are served as before.
    """
    assert check_send(SendNeeds(), EngineFacts()) is None


@pytest.mark.parametrize(
    ("allowed", "expected"),
    [
        ((None, None), None),
        (({"a", "b"}, None), {"a", "b"}),
        (({"a", "b"}, {"b", "c"}), {"b"}),
        (({"a"}, {"c"}), set()),
    ],
)
def test_restrictions_of_route_and_workspace_both_bind(allowed, expected):
    """
    An empty intersection allows no region; it must not count as no restriction.
    """
    restrictions = [None if a is None else frozenset(a) for a in allowed]
    assert intersect_regions(*restrictions) == expected
