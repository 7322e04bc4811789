# SPDX-License-Identifier: MIT

"""
Placement of items, moves between engines, and classification of long texts.
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
    candidates: list[PlacementCandidate], is_long: bool, best_gap: float | None = 0.040
) -> str:
    chosen = choose_placement(candidates, best_gap, is_long)
    assert chosen is not None
    return chosen.name


def test_a_long_text_goes_to_the_fastest_engine():
    """
    A step ends with its longest text.
    """
    candidates = [
        PlacementCandidate("slow", 0, 0, 0.052),
        PlacementCandidate("fast", 9, 3, 0.040),
    ]
    assert _chosen(candidates, is_long=True) == "fast"


def test_a_long_text_goes_apart_from_others_where_engines_are_alike():
    """
    Among equally fast engines, the one with fewer long texts is chosen.
    """
    candidates = [
        PlacementCandidate("with-long", 3, 2, 0.0400),
        PlacementCandidate("without", 5, 0, 0.0403),
    ]
    assert _chosen(candidates, is_long=True) == "without"


def test_a_short_text_goes_where_no_long_one_runs():
    """
    A somewhat slower engine is chosen too, since a short text does not delay its step.
    """
    candidates = [
        PlacementCandidate("fast", 3, 2, 0.040),
        PlacementCandidate("slower", 9, 0, 0.052),
    ]
    assert _chosen(candidates, is_long=False) == "slower"


def test_a_short_text_goes_to_no_engine_that_is_slow():
    """
    There, it could become the text that ends last.
    """
    candidates = [
        PlacementCandidate("fast", 11, 5, 0.040),
        PlacementCandidate("slow", 0, 0, 0.150),
    ]
    assert _chosen(candidates, is_long=False) == "fast"


def test_an_engine_of_unknown_speed_is_tried():
    """
    Otherwise an engine once found slow would never be measured again.
    """
    candidates = [
        PlacementCandidate("known", 2, 0, 0.050),
        PlacementCandidate("unknown", 0, 0, None),
    ]
    assert _chosen(candidates, is_long=True) == "unknown"
    assert choose_placement([], None, True) is None
    assert _chosen(candidates, is_long=True, best_gap=None) == "unknown"


def test_a_text_moves_only_for_what_it_gains():
    """
    Neither for a few remaining events nor for small differences in speed.
    """
    assert is_worth_moving(100, 0.150, 0.040)
    assert is_worth_moving(100, 0.050, 0.040)
    assert not is_worth_moving(5, 0.050, 0.040)
    assert not is_worth_moving(150, 0.043, 0.040)


def test_a_text_that_has_moved_moves_again_only_for_more():
    """
    Otherwise texts would follow every change of the engines' load.
    """
    assert is_worth_moving(50, 0.050, 0.040, moves=0)
    assert not is_worth_moving(50, 0.050, 0.040, moves=2)
    assert is_worth_moving(50, 0.150, 0.040, moves=2)


def test_texts_with_large_estimates_are_classified_as_long():
    """
    With inaccurate estimates, most long texts and few short ones are classified as long
    before they start.
    """
    random = Random(7)
    events = [
        150 if random.random() < 0.1 else random.randint(5, 50) for _ in range(400)
    ]
    estimates = [round(50 * n * random.lognormvariate(0, 0.5)) for n in events]
    lengths = TextLengthEstimator()
    lengths.announce(estimates)
    long = [lengths.is_long(estimate, 0) for estimate in estimates]
    detected = sum(is_long for is_long, n in zip(long, events, strict=True) if n == 150)
    assert detected >= 0.8 * events.count(150)
    assert sum(long) <= 0.25 * len(long)


def test_a_text_that_has_become_long_counts_as_long():
    """
    Also if its estimate was low.
    """
    lengths = TextLengthEstimator()
    lengths.announce([1000] * 50 + [5000] * 10)
    for _ in range(20):
        lengths.finished(1000, 20)
    assert not lengths.is_long(1000, 20)
    assert lengths.is_long(1000, 100)


def test_remaining_events_follow_the_tokens_per_event():
    """
    The number of tokens per event is estimated from finished texts.
    """
    lengths = TextLengthEstimator()
    for _ in range(9):
        lengths.finished(1000, 10)
    assert lengths.remaining_events(3000, 5) == 25
    # The text is longer than its estimate.
    assert lengths.remaining_events(1000, 40) == 20


def test_without_estimates_no_text_is_long():
    """
    All texts are placed like short ones then.
    """
    lengths = TextLengthEstimator()
    lengths.announce([0, 0])
    assert not lengths.is_long(0, 500)
