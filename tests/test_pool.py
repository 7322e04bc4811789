# SPDX-License-Identifier: MIT

"""
Engines that refuse: for how long, and for which requests.
"""

from __future__ import annotations

from builders import make_engine_entry
from saddledoor import EngineEntry, least_outstanding
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import KeyedEntry
from saddledoord.serving.pool import EnginePool


def _pool() -> tuple[EnginePool, EngineEntry]:
    """
    A pool of one engine with two slots.
    """
    view = ClusterView()
    engine = make_engine_entry("e-1", slots=2)
    view.apply_engine(KeyedEntry("e-1", 0, engine))
    return EnginePool(view, least_outstanding(lambda: 0.0)), engine


def _pool_of_two() -> tuple[EnginePool, EngineEntry, EngineEntry]:
    """
    A pool whose first engine is first in this node's order.
    """
    view = ClusterView()
    engines = [make_engine_entry(f"e-{n}") for n in (1, 2)]
    for offset, engine in enumerate(engines):
        view.apply_engine(KeyedEntry(engine.engine_id, offset, engine))
    pool = EnginePool(view, least_outstanding(lambda: 0.0))
    return pool, *engines


def _room(pool: EnginePool, engine: EngineEntry, model: str) -> bool:
    return engine in pool.with_free_slots(engine.service, model)


def test_an_engine_that_refuses_one_model_takes_items_of_the_others():
    """
    It loads the weights of that one.
    """
    pool, engine = _pool()
    pool.record_refusal(engine, "model-a")
    assert not _room(pool, engine, "model-a")
    assert _room(pool, engine, "model-b")


def test_an_event_of_another_model_does_not_take_a_refusal_back():
    """
    Otherwise every waiting item comes to the engine again after each of them.
    """
    pool, engine = _pool()
    pool.record_refusal(engine, "model-a")
    pool.record_success(engine, "model-b")
    pool.record_success(engine)
    assert not _room(pool, engine, "model-a")
    pool.record_success(engine, "model-a")
    assert _room(pool, engine, "model-a")


def test_one_item_at_a_time_tries_an_engine_that_refused(monkeypatch):
    """
    The others wait for what becomes of it.
    """
    pool, engine = _pool()
    pool.record_refusal(engine, "model-a")
    monkeypatch.setattr("saddledoord.serving.pool.boot_time", lambda: 1e9)
    assert _room(pool, engine, "model-a")
    with pool.reserve(engine, "model-a"):
        assert not _room(pool, engine, "model-a")
    assert _room(pool, engine, "model-a")


def test_a_request_that_cannot_wait_goes_to_an_engine_that_refused():
    """
    A pause is a guess, a refusal is certain.
    """
    pool, engine = _pool()
    pool.record_refusal(engine)
    assert pool.choose(engine.service) == engine


def test_an_engine_that_was_overtaken_is_asked_after_the_others(monkeypatch):
    """
    For a while; and rather than one that failed.
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
