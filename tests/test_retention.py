# SPDX-License-Identifier: MIT

"""
The log line on a retention of records that is too short.
"""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from saddledoord.cluster.retention import log_short_retention


@pytest.mark.parametrize(
    ("retention", "short"), [(300.0, []), (120.0, [{"crashes": 240.0}])]
)
def test_a_retention_that_is_too_short_is_named_once(retention, short):
    """
    Guards against a state that nodes cannot know, without a hint to the operator.
    """
    with capture_logs() as lines:
        log_short_retention(retention, {"leases": 3.0, "crashes": 240.0})
    assert [line["needed"] for line in lines] == short
    assert all(line["event"] == "retention_too_short" for line in lines)
