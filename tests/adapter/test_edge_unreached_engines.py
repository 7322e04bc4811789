# SPDX-License-Identifier: MIT

"""
Items of jobs at engines that cannot be reached.

Guards against items that are quarantined as poison because attempts without a
connection counted as interrupted runs.
"""

from __future__ import annotations

import signal
import time

from platform_documents import MODEL, make_job, texts, whole_texts


#: Downtime of the engines, in seconds; long enough for several attempts of each item.
_DOWN = 2.0


def test_an_item_is_not_blamed_for_engines_that_it_did_not_reach(platform_bed):
    """
    It is submitted while its engines are down and runs once they are back.
    """
    bed = platform_bed
    engines = [name for name in bed.engine_ports if name.startswith("engine")]
    for name in engines:
        bed.signal(name, signal.SIGKILL)
        bed.wait_end(name)
    assert bed.submit("job-1", make_job()).status == 202
    time.sleep(_DOWN)
    lines = bed.log("edge-0")
    failed = [line for line in lines if line["event"] == "item_attempt_failed"]
    assert {line["item"] for line in failed} == {f"item-{n}" for n in range(6)}
    assert [line for line in lines if line["event"] == "engine_ended"] == []
    for name in engines:
        bed.start_engine(name, "pool", MODEL, bed.engine_ports[name])
    assert texts(bed.finished("job-1", 6)) == whole_texts()
