# SPDX-License-Identifier: MIT

"""
How long a request may be held that may have waited before it was read.
"""

from __future__ import annotations

import pytest

from saddledoor import time_left


@pytest.mark.parametrize(
    ("waited", "left"), [(0.0, 2.0), (0.9, 1.1), (1.7, 0.4), (10.0, 0.4)]
)
def test_what_it_may_have_waited_counts_but_an_engine_that_is_well_can_answer(
    waited, left
):
    """
    Two seconds with an objective of 0.2 s.
    """
    assert time_left(2.0, 0.2, waited) == pytest.approx(left)


def test_nobody_is_held_longer_than_the_limit():
    """
    Its caller allows 0.1 s.
    """
    assert time_left(0.1, 0.2, 5.0) == pytest.approx(0.1)
