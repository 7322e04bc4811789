# SPDX-License-Identifier: MIT

"""
Structured logs on standard output: rate-limited by event and non-blocking.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Callable

import structlog

from .._clock import boot_time


__all__ = ["EventRateLimiter", "NonBlockingLogger", "set_up_json_logs"]

#: Lines of one event that may be written at once.
_BURST = 200
#: Lines of one event per second after a burst; at 300 bytes a line and a dozen busy
#: events, a process writes under 2 MB in a minute.
_PER_SECOND = 8.0


class EventRateLimiter:
    """
    Structlog processor that limits the rate of each event and counts dropped lines.

    :param burst: Lines of one event that may be written at once.
    :param per_second: Lines of one event per second after a burst.
    :param clock: Returns monotonic time, in seconds.
    """

    def __init__(
        self,
        burst: float = _BURST,
        per_second: float = _PER_SECOND,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self._burst = burst
        self._per_second = per_second
        self._clock = clock
        self._buckets: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def __call__(self, logger, method: str, event: dict) -> dict:
        kind = event["event"]
        now = self._clock()
        tokens, since = self._buckets.get(kind, (self._burst, now))
        tokens = min(self._burst, tokens + (now - since) * self._per_second)
        if tokens < 1:
            self._buckets[kind] = (tokens, now)
            self._dropped[kind] = self._dropped.get(kind, 0) + 1
            raise structlog.DropEvent
        self._buckets[kind] = (tokens - 1, now)
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            event["dropped_before"] = dropped
        return event


class NonBlockingLogger:
    """
    Logger that drops and counts lines while its file descriptor would block.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self._dropped_lines = 0

    def msg(self, message: str) -> None:
        """
        Write a line, or drop it if the descriptor would block.
        """
        if not self._flush():
            self._dropped_lines += 1
            return
        line = message.encode()
        if self._dropped_lines:
            # The line is a JSON object; the number becomes its last field.
            line = line[:-1] + b', "lines_lost": %d}' % self._dropped_lines
            self._dropped_lines = 0
        self._pending = line + b"\n"
        self._flush()

    log = debug = info = warning = warn = error = critical = exception = fatal = msg

    def _flush(self) -> bool:
        """
        Write pending bytes; return True if none remain.
        """
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone: the pending bytes are discarded.
            self._pending = b""
        return True


def set_up_json_logs(vm: str) -> None:
    """
    Send every line to standard output as JSON, with the VM's name.
    """
    logging.basicConfig(level=logging.CRITICAL, stream=sys.stdout)
    lines = NonBlockingLogger(sys.stdout.fileno())
    structlog.configure(
        processors=[
            EventRateLimiter(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *args: lines,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
