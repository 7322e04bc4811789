# SPDX-License-Identifier: MIT

"""
Fixtures shared by several test modules.
"""

from __future__ import annotations

import pytest

from saddledoor_standins.testbed import Shape, Testbed
from testbed_helpers import SHORT_TIMINGS


@pytest.fixture
def bed():
    """
    Return a testbed of two data centres with two VMs, an engine and a service
    instance each.
    """
    with Testbed.open(Shape(timings=SHORT_TIMINGS)) as bed:
        yield bed
