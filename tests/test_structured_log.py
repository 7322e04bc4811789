# SPDX-License-Identifier: MIT

"""
Logs stay bounded and never hold the process up.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time

import pytest
import structlog

from saddledoord.observability.logs import BoundedEvents, NonBlockingLines


def test_a_flood_of_one_kind_is_cut_and_counted():
    """
    Other kinds are not affected; the next line says how many were dropped.
    """
    now = [0.0]
    bounded = BoundedEvents(burst=3, per_second=1.0, clock=lambda: now[0])
    taken = 0
    for _ in range(10):
        try:
            bounded(None, "info", {"event": "flood"})
            taken += 1
        except structlog.DropEvent:
            pass
    assert taken == 3
    assert bounded(None, "info", {"event": "other"}) == {"event": "other"}
    now[0] = 1.0
    assert bounded(None, "info", {"event": "flood"})["dropped_before"] == 7


def test_lines_that_nobody_reads_are_dropped_and_counted():
    """
    Writing returns at once, and what is read later is whole lines.
    """
    reader, writer = os.pipe()
    lines = NonBlockingLines(writer)
    began = time.monotonic()
    for number in range(5000):
        lines.msg(json.dumps({"number": number, "text": "x" * 200}))
    assert time.monotonic() - began < 2.0
    data = os.read(reader, 1 << 20)
    lines.msg('{"number": -1}')
    lines.msg('{"number": -2}')
    data += os.read(reader, 1 << 20)
    read = [json.loads(line) for line in data.decode().splitlines()]
    assert len(read) < 5000
    assert any(line.get("lines_lost", 0) > 0 for line in read[-2:])


@pytest.mark.parametrize("read", [True, False])
def test_a_process_whose_output_is_not_read_goes_on(read):
    """
    It logs far more than a pipe holds and ends in time all the same.
    """
    code = (
        "import structlog\n"
        "from saddledoord.observability.logs import set_up_json_logs\n"
        "set_up_json_logs('vm')\n"
        "log = structlog.get_logger()\n"
        "for n in range(3000): log.info('kind-%d' % (n % 50), text='x' * 300)\n"
    )
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    if read:
        for line in process.communicate(timeout=20)[0].splitlines():
            assert json.loads(line)["vm"] == "vm"
    assert process.wait(20) == 0
    process.stdout.close()
