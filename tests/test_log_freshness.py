# SPDX-License-Identifier: MIT

"""
When work of a job may still be sent, by what is known of the jobs that have ended.
"""

from __future__ import annotations

import pytest

from saddledoord.jobs.log_freshness import LogFreshness, LogReadState
from saddledoord.process_pauses import ProcessPauses


_NOW = 100.0
_NEVER = float("-inf")


def _known(age: float, reached: bool = True, awake_for: float | None = None):
    resumed_at = _NEVER if awake_for is None else _NOW - awake_for
    view = LogReadState(_NOW - age, reached, resumed_at)
    return LogFreshness(lambda: view, cancel_limit=3.0)


@pytest.mark.parametrize(
    ("age", "reached", "may_start", "may_score"),
    [
        (1.9, True, True, True),
        (2.1, True, False, False),
        (5.9, False, True, True),
        (6.1, False, False, True),
    ],
)
def test_work_is_sent_while_the_log_s_end_is_known(age, reached, may_start, may_score):
    """
    Longer while the store is away: nobody can end a job then.
    """
    known = _known(age, reached)
    assert (known.may_start(_NOW), known.may_score(_NOW)) == (may_start, may_score)


@pytest.mark.parametrize("reached", [True, False])
def test_what_was_known_before_a_standstill_does_not_count(reached):
    """
    However short it was: another node may have told of an end meanwhile.
    """
    known = _known(age=0.7, reached=reached, awake_for=0.1)
    assert not known.may_start(_NOW)
    assert not known.may_score(_NOW)
    assert _known(age=0.7, reached=reached, awake_for=0.8).may_start(_NOW)


class _Clock:
    def __init__(self) -> None:
        self.now = _NOW

    def __call__(self) -> float:
        return self.now


def test_a_standstill_is_noticed_before_any_timer_fires():
    """
    Whichever task goes on first asks about it.
    """
    clock = _Clock()
    standstills = ProcessPauses(clock)
    assert standstills.ended_at == _NEVER
    clock.now += 4.0
    assert standstills.ended_at == clock.now
    clock.now += 0.1
    assert (standstills.ended_at, standstills.count) == (_NOW + 4.0, 1)


def test_a_busy_loop_has_not_stood_still():
    """
    Its beats come late, but they come.
    """
    clock = _Clock()
    standstills = ProcessPauses(clock)
    for _ in range(10):
        clock.now += 0.3
        assert standstills.count == 0


def test_what_is_read_right_after_a_standstill_may_have_waited_for_all_of_it():
    """
    Later than that it has come since.
    """
    clock = _Clock()
    standstills = ProcessPauses(clock)
    clock.now += 4.0
    assert standstills.read_delay() == pytest.approx(4.0)
    clock.now += 0.1
    assert standstills.read_delay() == pytest.approx(4.0)
    clock.now += 0.2
    assert standstills.read_delay() == 0.0
