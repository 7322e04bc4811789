# SPDX-License-Identifier: MIT

"""
Work is sent only while the node's read of the jobs' log is fresh.
"""

from __future__ import annotations

import pytest

from saddledoord.jobs.log_freshness import LogFreshness, LogReadState
from saddledoord.process_pauses import ProcessPauses


_NOW = 100.0
_NEVER = float("-inf")


def _make_freshness(
    age: float, is_store_reachable: bool = True, resumed_ago: float | None = None
):
    resumed_at = _NEVER if resumed_ago is None else _NOW - resumed_ago
    read_state = LogReadState(_NOW - age, is_store_reachable, resumed_at)
    return LogFreshness(lambda: read_state, cancel_limit=3.0)


@pytest.mark.parametrize(
    ("age", "is_store_reachable", "may_start", "may_score"),
    [
        (1.9, True, True, True),
        (2.1, True, False, False),
        (5.9, False, True, True),
        (6.1, False, False, True),
    ],
)
def test_work_is_sent_while_the_read_of_the_log_is_fresh(
    age, is_store_reachable, may_start, may_score
):
    """
    The limit is longer while the store is unreachable, since no job can end then.
    """
    freshness = _make_freshness(age, is_store_reachable)
    assert (freshness.may_start(_NOW), freshness.may_score(_NOW)) == (
        may_start,
        may_score,
    )


@pytest.mark.parametrize("is_store_reachable", [True, False])
def test_a_read_before_a_process_pause_is_not_fresh(is_store_reachable):
    """
    Another node may have ended a job during the process pause.
    """
    freshness = _make_freshness(
        age=0.7, is_store_reachable=is_store_reachable, resumed_ago=0.1
    )
    assert not freshness.may_start(_NOW)
    assert not freshness.may_score(_NOW)
    assert _make_freshness(
        age=0.7, is_store_reachable=is_store_reachable, resumed_ago=0.8
    ).may_start(_NOW)


class _Clock:
    def __init__(self) -> None:
        self.now = _NOW

    def __call__(self) -> float:
        return self.now


def test_a_process_pause_is_detected_before_any_timer_fires():
    """
    The first task that runs after the pause already sees it.
    """
    clock = _Clock()
    pauses = ProcessPauses(clock)
    assert pauses.ended_at == _NEVER
    clock.now += 4.0
    assert pauses.ended_at == clock.now
    clock.now += 0.1
    assert (pauses.ended_at, pauses.count) == (_NOW + 4.0, 1)


def test_a_busy_event_loop_is_not_a_process_pause():
    """
    Late timers alone do not count as a process pause.
    """
    clock = _Clock()
    pauses = ProcessPauses(clock)
    for _ in range(10):
        clock.now += 0.3
        assert pauses.count == 0


def test_a_read_right_after_a_process_pause_may_be_delayed_by_all_of_it():
    """
    Only reads soon after the process pause count as delayed by it.
    """
    clock = _Clock()
    pauses = ProcessPauses(clock)
    clock.now += 4.0
    assert pauses.read_delay() == pytest.approx(4.0)
    clock.now += 0.1
    assert pauses.read_delay() == pytest.approx(4.0)
    clock.now += 0.2
    assert pauses.read_delay() == 0.0
