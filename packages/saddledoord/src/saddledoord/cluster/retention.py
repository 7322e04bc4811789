# SPDX-License-Identifier: MIT

"""
Checks whether the log keeps its records for as long as their readers need them.
"""

from __future__ import annotations

from collections.abc import Mapping

import structlog


__all__ = ["log_short_retention"]

_log = structlog.get_logger()


def log_short_retention(retention: float, needed: Mapping[str, float]) -> None:
    """
    Write a log line that names the readers for which the retention is too short. The
    process still runs, since a refusal to start would stop the whole deployment.

    :param retention: Age up to which the log keeps records, in seconds.
    :param needed: Shortest sufficient retention by reader, in seconds.
    """
    short = {name: need for name, need in needed.items() if need > retention}
    if short:
        _log.warning("retention_too_short", retention=retention, needed=short)
