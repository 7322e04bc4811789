# SPDX-License-Identifier: MIT

"""
Fixtures shared by several test modules.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

from saddledoor_standins.testbed import Shape, Testbed
from testbed_helpers import SHORT_TIMINGS


# The same examples in every run; `pytest --hypothesis-profile=default` draws new ones.
settings.load_profile("ci")


@pytest.fixture
def bed():
    """
    Return a testbed of two data centres with two VMs, an engine and a service
    instance each.
    """
    with Testbed.open(Shape(timings=SHORT_TIMINGS)) as bed:
        yield bed
