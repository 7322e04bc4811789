# SPDX-License-Identifier: MIT

"""
Which engine an item goes to, when it moves, and which texts count as long.
"""

from __future__ import annotations

from random import Random

from saddledoor import (
    PlacementCandidate,
    TextLengthEstimator,
    choose_placement,
    is_worth_moving,
)


def _chosen(
    seats: list[PlacementCandidate], is_long: bool, best: float | None = 0.040
) -> str:
    seat = choose_placement(seats, best, is_long)
    assert seat is not None
    return seat.name


def test_a_long_text_goes_to_the_fastest_engine():
    """
    Its step waits for it.
    """
    seats = [
        PlacementCandidate("slow", 0, 0, 0.052),
        PlacementCandidate("fast", 9, 3, 0.040),
    ]
    assert _chosen(seats, is_long=True) == "fast"


def test_a_long_text_goes_apart_from_others_where_engines_are_alike():
    """
    Each request that runs beside makes its events later.
    """
    seats = [
        PlacementCandidate("with-long", 3, 2, 0.0400),
        PlacementCandidate("without", 5, 0, 0.0403),
    ]
    assert _chosen(seats, is_long=True) == "without"


def test_a_short_text_goes_where_no_long_one_runs():
    """
    Also to a somewhat slower engine: it has time until the long ones end.
    """
    seats = [
        PlacementCandidate("fast", 3, 2, 0.040),
        PlacementCandidate("slower", 9, 0, 0.052),
    ]
    assert _chosen(seats, is_long=False) == "slower"


def test_a_short_text_goes_to_no_engine_that_is_slow():
    """
    It would become the one that its step waits for.
    """
    seats = [
        PlacementCandidate("fast", 11, 5, 0.040),
        PlacementCandidate("slow", 0, 0, 0.150),
    ]
    assert _chosen(seats, is_long=False) == "fast"


def test_an_engine_of_unknown_pace_is_tried():
    """
    One that was left alone for its slowness gets another chance.
    """
    seats = [
        PlacementCandidate("known", 2, 0, 0.050),
        PlacementCandidate("unknown", 0, 0, None),
    ]
    assert _chosen(seats, is_long=True) == "unknown"
    assert choose_placement([], None, True) is None
    assert _chosen(seats, is_long=True, best=None) == "unknown"


def test_a_text_moves_only_for_what_it_gains():
    """
    Not for a few events, nor for the noise of a pace.
    """
    assert is_worth_moving(100, 0.150, 0.040)
    assert is_worth_moving(100, 0.050, 0.040)
    assert not is_worth_moving(5, 0.050, 0.040)
    assert not is_worth_moving(150, 0.043, 0.040)


def test_a_text_that_has_moved_moves_again_only_for_more():
    """
    Paces change with what runs at an engine, sooner than a text ends.
    """
    assert is_worth_moving(50, 0.050, 0.040, moves=0)
    assert not is_worth_moving(50, 0.050, 0.040, moves=2)
    assert is_worth_moving(50, 0.150, 0.040, moves=2)


def test_the_texts_of_the_longest_steps_are_told_from_the_rest():
    """
    Of texts with a tenth of long ones, whose guesses are off by half their size, most
    long ones are counted as such before they begin, and few short ones are.
    """
    random = Random(7)
    events = [
        150 if random.random() < 0.1 else random.randint(5, 50) for _ in range(400)
    ]
    guesses = [round(50 * n * random.lognormvariate(0, 0.5)) for n in events]
    lengths = TextLengthEstimator()
    lengths.announce(guesses)
    long = [lengths.is_long(guess, 0) for guess in guesses]
    found = sum(is_long for is_long, n in zip(long, events, strict=True) if n == 150)
    assert found >= 0.8 * events.count(150)
    assert sum(long) <= 0.25 * len(long)


def test_a_text_that_has_become_long_counts_as_long():
    """
    Whatever was expected of it.
    """
    lengths = TextLengthEstimator()
    lengths.announce([1000] * 50 + [5000] * 10)
    for _ in range(20):
        lengths.finished(1000, 20)
    assert not lengths.is_long(1000, 20)
    assert lengths.is_long(1000, 100)


def test_what_is_left_follows_what_an_event_holds():
    """
    Tokens for each event are learnt from the texts that ended.
    """
    lengths = TextLengthEstimator()
    for _ in range(9):
        lengths.finished(1000, 10)
    assert lengths.remaining_events(3000, 5) == 25
    # It has outgrown its guess: the tail is heavy.
    assert lengths.remaining_events(1000, 40) == 20


def test_without_guesses_no_text_is_long():
    """
    Then all go where the least runs, as short ones do.
    """
    lengths = TextLengthEstimator()
    lengths.announce([0, 0])
    assert not lengths.is_long(0, 500)
