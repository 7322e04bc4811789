# SPDX-License-Identifier: MIT

"""
Items of jobs and engines that cannot be reached.

What happened: a trainer never got one of its items. Soak, seed 9432: 5 of 6 results of
a job 12 s after the last fault. The edge's log: `item_barred`, as if three engines had
ended under it. It had been at the end of one. At the two others it had only failed to
connect, since they were down (`ClientConnectorError`), and 1 ms later `engine_ended`
named it each time.

Why: a failed connection counted as a run that broke off, so the engine was asked
whether it had ended, and it had; whoever had just begun a run there was noted. Plain
requests told the two apart already.
"""

from __future__ import annotations

import signal
import time

from platform_documents import MODEL, make_job, texts, whole_texts


#: How long the engines are down, in seconds: some attempts of each item.
_DOWN = 2.0


def test_an_item_is_not_blamed_for_engines_that_it_did_not_reach(platform_bed):
    """
    Its engines are down when it comes, and it is run once they are back.
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
