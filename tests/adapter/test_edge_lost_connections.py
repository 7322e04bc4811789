# SPDX-License-Identifier: MIT

"""
Engines that leave while an edge has lost its connections to the store, or the store was
away.

Guards against taking "this VM could not read" for "the store was away".
"""

from __future__ import annotations

import contextlib
import itertools
import json
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from links import Link

from platform_bed import PlatformBed


#: Bound of the settings for an engine that left, in seconds.
_DRAIN = 2.0
#: Time after the disturbance at which the engine leaves, and time for which requests
#: are sent after that, in seconds.
_LEAVES_AFTER, _TAIL = 0.3, 4.0
#: Time after the store's return in which a running engine writes its entry again, in
#: seconds.
_RETURN = 2.0


@pytest.fixture
def bed(tmp_path):
    """
    One edge, which reaches the store over a link.
    """
    with PlatformBed.open(tmp_path, store_link=Link.open) as bed:
        yield bed


@contextlib.contextmanager
def _look_ups(bed: PlatformBed) -> Iterator[None]:
    """
    Send some 60 requests a second.
    """
    ended = threading.Event()

    def send(sender: int) -> None:
        number = 0
        while not ended.wait(0.06):
            number += 1
            with contextlib.suppress(OSError):
                bed.ask("POST", "/look/x", b"x", f"r-{sender}-{number}")

    with ThreadPoolExecutor(4) as pool:
        for sender in range(4):
            pool.submit(send, sender)
        try:
            yield
        finally:
            ended.set()


def _run_times(bed: PlatformBed, engine: str) -> list[float]:
    lines = map(json.loads, bed.journal(engine).read_text().splitlines())
    return [line["at"] for line in lines if line["what"] == "run"]


@pytest.mark.parametrize("how", ["silent", "one-way", "reset", "slow"])
def test_an_engine_whose_entry_is_gone_gets_no_work_after_lost_connections(bed, how):
    """
    It got work for 2.5 s after the edge's reads had recovered, until its end cut off
    requests.
    """
    with _look_ups(bed):
        time.sleep(1.0)
        bed.store_link.disturb(how)
        time.sleep(_LEAVES_AFTER)
        bed.remove_entry("desk-0")
        acknowledged_at = time.monotonic()
        time.sleep(_TAIL)
    times = _run_times(bed, "desk-0")
    assert len([at for at in times if at < acknowledged_at]) > 5
    assert [at for at in times if at > acknowledged_at + _DRAIN] == []
    # The others went on.
    assert max(_run_times(bed, "desk-1")) > acknowledged_at + _TAIL - 1.0


@pytest.mark.parametrize("mode", ["silent", "reset", "busy"])
def test_an_entry_that_lapsed_while_the_store_was_away_is_used_for_a_while(bed, mode):
    """
    The engine runs, and writes its entry again within about two seconds.
    """
    with _look_ups(bed):
        time.sleep(1.0)
        bed.fake_store(mode=mode)
        time.sleep(2.0)
        bed.remove_entry("desk-0")
        bed.fake_store(mode="ok")
        returned_at = time.monotonic()
        time.sleep(_RETURN)
        bed.put_entry("desk-0", "desk", bed.engine_ports["desk-0"])
        time.sleep(1.0)
    times = _run_times(bed, "desk-0")
    gaps = [b - a for a, b in itertools.pairwise(times) if a > returned_at]
    assert times[-1] > returned_at + _RETURN + 0.5
    assert max(gaps) < 0.5
