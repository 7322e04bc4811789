# SPDX-License-Identifier: MIT

"""
Which engines a pool chooses after refusals and failures.
"""

from __future__ import annotations

from builders import make_engine_entry
from saddledoor import EngineEntry, least_outstanding, least_outstanding_rendezvous
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import KeyedEntry
from saddledoord.serving.gate import SendGate
from saddledoord.serving.pool import EnginePool


def _pool() -> tuple[EnginePool, EngineEntry]:
    """
    Return a pool of one engine with two slots, and the engine.
    """
    view = ClusterView()
    engine = make_engine_entry("e-1", slots=2)
    view.apply_engine(KeyedEntry("e-1", 0, engine))
    return EnginePool(view, least_outstanding(lambda: 0.0), SendGate(view)), engine


def _pool_of_two() -> tuple[EnginePool, EngineEntry, EngineEntry]:
    """
    Return a pool of two engines, and the engines in the order of preference.
    """
    view = ClusterView()
    engines = [make_engine_entry(f"e-{n}") for n in (1, 2)]
    for offset, engine in enumerate(engines):
        view.apply_engine(KeyedEntry(engine.engine_id, offset, engine))
    pool = EnginePool(view, least_outstanding(lambda: 0.0), SendGate(view))
    return pool, *engines


def _has_free_slot(pool: EnginePool, engine: EngineEntry, model: str) -> bool:
    return engine in pool.with_free_slots(engine.service, model)


def test_an_engine_that_refuses_one_model_takes_items_of_the_others():
    """
    It may be loading the weights of that model only.
    """
    pool, engine = _pool()
    pool.record_refusal(engine, "model-a")
    assert not _has_free_slot(pool, engine, "model-a")
    assert _has_free_slot(pool, engine, "model-b")


def test_an_event_of_another_model_does_not_take_a_refusal_back():
    """
    Otherwise each event would send all waiting items to the engine again.
    """
    pool, engine = _pool()
    pool.record_refusal(engine, "model-a")
    pool.record_success(engine, "model-b")
    pool.record_success(engine)
    assert not _has_free_slot(pool, engine, "model-a")
    pool.record_success(engine, "model-a")
    assert _has_free_slot(pool, engine, "model-a")


def test_one_item_at_a_time_tries_an_engine_that_refused(monkeypatch):
    """
    The other items wait for its result.
    """
    pool, engine = _pool()
    pool.record_refusal(engine, "model-a")
    monkeypatch.setattr("saddledoord.serving.pool.boot_time", lambda: 1e9)
    assert _has_free_slot(pool, engine, "model-a")
    with pool.reserve(engine, "model-a"):
        assert not _has_free_slot(pool, engine, "model-a")
    assert _has_free_slot(pool, engine, "model-a")


def test_a_request_that_cannot_wait_goes_to_an_engine_that_refused():
    """
    A backoff does not leave a request without an engine.
    """
    pool, engine = _pool()
    pool.record_refusal(engine)
    assert pool.choose(engine.service) == engine


def test_an_engine_that_was_overtaken_is_asked_after_the_others(monkeypatch):
    """
    For a limited time; a failed engine is chosen after it.
    """
    pool, slow, other = _pool_of_two()
    assert pool.choose("desk") == slow
    pool.record_overtaken(slow)
    assert pool.choose("desk") == other
    pool.record_failure(other)
    assert pool.choose("desk") == slow
    now = boot_time()
    monkeypatch.setattr("saddledoord.serving.pool.boot_time", lambda: now + 5.0)
    pool.record_success(other)
    assert pool.choose("desk") == slow


def test_a_hedge_goes_to_an_engine_of_another_data_centre():
    """
    The next engine of the node's order may be in the data centre that is slow.
    """
    view = ClusterView()
    for number in range(9):
        name = f"e-{number}"
        engine = make_engine_entry(name, data_centre=f"dc-{number % 3}")
        view.apply_engine(KeyedEntry(name, number, engine))
    for node in range(20):
        policy = least_outstanding_rendezvous(f"vm-{node}")
        pool = EnginePool(view, policy, SendGate(view))
        first = pool.choose("desk")
        second = pool.choose("desk", exclude=[first.incarnation])
        assert second.data_centre != first.data_centre
        with pool.reserve(first):
            # Also while it runs at the first engine.
            assert pool.choose("desk", exclude=[first.incarnation]) == second
