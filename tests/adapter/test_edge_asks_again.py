# SPDX-License-Identifier: MIT

"""
Retries of repeatable requests at an engine that has recovered.

Guards against requests that fail although time and attempts are left, because every
engine has had them once.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pytest


#: Duration of the fault, in seconds; less than the route's timeout.
_FAULT = 0.3


@pytest.mark.parametrize(
    "fault", [{"wrong_id": True}, {"unsigned": True}, {"fail": 500}, {"fail": 503}]
)
def test_a_repeatable_request_goes_again_to_an_engine_that_is_well(platform_bed, fault):
    """
    After an answer to another request, an unsigned answer, a failure or a refusal.
    """
    platform_bed.fake_engine("desk-0", **fault)
    platform_bed.fake_engine("desk-1", delay=3.0)
    began = time.monotonic()
    with ThreadPoolExecutor() as pool:
        asking = pool.submit(platform_bed.ask, "POST", "/look/x", b"b", "r-1")
        time.sleep(_FAULT)
        platform_bed.fake_engine("desk-0", **{name: 0 for name in fault})
        answer = asking.result()
    assert (answer.status, answer.body) == (200, b"answer to r-1")
    assert time.monotonic() - began < 1.5
