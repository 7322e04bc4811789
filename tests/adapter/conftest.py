# SPDX-License-Identifier: MIT

"""
Fixtures for the adapters' tests.
"""

from __future__ import annotations

import pytest

from platform_bed import PlatformBed


@pytest.fixture
def platform_bed(tmp_path):
    """
    One edge, two model engines, two instances of a plain service.
    """
    with PlatformBed.open(tmp_path) as bed:
        yield bed


@pytest.fixture
def two_edges(tmp_path):
    """
    Two edges, two model engines, two instances of a plain service.
    """
    with PlatformBed.open(tmp_path, edges=2) as bed:
        yield bed


@pytest.fixture
def long_lease(tmp_path):
    """
    One edge, with a lease term of 8 s for orders.
    """
    with PlatformBed.open(tmp_path, lease_ms=8000) as bed:
        yield bed
