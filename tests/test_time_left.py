# SPDX-License-Identifier: MIT

"""
Remaining hold time of a request that may have waited before it was read.
"""

from __future__ import annotations

import pytest

from saddledoor import time_left


@pytest.mark.parametrize(
    ("waited", "left"), [(0.0, 2.0), (0.9, 1.1), (1.7, 0.4), (10.0, 0.4)]
)
def test_waiting_time_counts_down_to_a_minimum_hold_time(waited, left):
    """
    The limit is two seconds, the objective 0.2 s.
    """
    assert time_left(2.0, 0.2, waited) == pytest.approx(left)


def test_no_request_is_held_longer_than_the_limit():
    """
    Also if the limit is shorter than the minimum hold time.
    """
    assert time_left(0.1, 0.2, 5.0) == pytest.approx(0.1)
