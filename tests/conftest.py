# SPDX-License-Identifier: MIT

"""
Fixtures that several test modules use.
"""

from __future__ import annotations

import pytest

from saddledoor_standins.testbed import Shape, Testbed
from testbed_helpers import QUICK


@pytest.fixture
def bed():
    """
    Two data centres with two VMs, an engine and a service instance each.
    """
    with Testbed.open(Shape(timings=QUICK)) as bed:
        yield bed
