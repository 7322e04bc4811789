# SPDX-License-Identifier: MIT

"""
Log output is rate-limited and never blocks the process.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time

import pytest
import structlog

from saddledoord.observability.logs import EventRateLimiter, NonBlockingLogger


def test_frequent_event_is_rate_limited_and_counted():
    """
    Other events are not affected; the next line has the number of dropped lines.
    """
    now = [0.0]
    bounded = EventRateLimiter(burst=3, per_second=1.0, clock=lambda: now[0])
    accepted = 0
    for _ in range(10):
        try:
            bounded(None, "info", {"event": "flood"})
            accepted += 1
        except structlog.DropEvent:
            pass
    assert accepted == 3
    assert bounded(None, "info", {"event": "other"}) == {"event": "other"}
    now[0] = 1.0
    assert bounded(None, "info", {"event": "flood"})["dropped_before"] == 7


def test_unread_lines_are_dropped_and_counted():
    """
    Writing does not block, and the reader gets complete lines only.
    """
    reader, writer = os.pipe()
    lines = NonBlockingLogger(writer)
    started_at = time.monotonic()
    for number in range(5000):
        lines.msg(json.dumps({"number": number, "text": "x" * 200}))
    assert time.monotonic() - started_at < 2.0
    data = os.read(reader, 1 << 20)
    lines.msg('{"number": -1}')
    lines.msg('{"number": -2}')
    data += os.read(reader, 1 << 20)
    read = [json.loads(line) for line in data.decode().splitlines()]
    assert len(read) < 5000
    assert any(line.get("lines_lost", 0) > 0 for line in read[-2:])


@pytest.mark.parametrize("read", [True, False])
def test_process_is_not_blocked_by_unread_output(read):
    """
    A process that logs more than a pipe holds still exits in time.
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
