# SPDX-License-Identifier: MIT

"""
The evacuations that a VM knows, and the age of its knowledge.
"""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from builders import make_engine_entry
from saddledoor import Denial, SendNeeds, least_outstanding
from saddledoord._clock import boot_time
from saddledoord.cluster.evacuations import EvacuationKnowledge, RegistryReadState
from saddledoord.cluster.follow import RegistryFollower
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import (
    Evacuation,
    KeyedEntry,
    KeyedPage,
    LogTruncatedError,
    StoreUnavailableError,
    UnusableValue,
)
from saddledoord.serving.gate import SendGate, SendSettings
from saddledoord.serving.pool import EnginePool


_DATA_CENTRES = ("dc-a", "dc-b", "dc-c")


class _Registry:
    """
    A registry that keeps the newest value of each key, and drops its history.
    """

    def __init__(self) -> None:
        self.values: dict[str, KeyedEntry] = {}
        self.changed: list[KeyedEntry] = []
        self.first = 0
        self.is_away = False

    def put(self, data_centre: str, is_evacuated: bool) -> None:
        offset = self.first + len(self.changed)
        value = Evacuation(data_centre) if is_evacuated else None
        entry = KeyedEntry(f"key of {data_centre}", offset, value)
        self.changed.append(entry)
        self.values[entry.key] = entry

    def drop_history(self) -> None:
        self.first, self.changed = self.first + len(self.changed), []

    def evacuated(self) -> set[str]:
        return {e.value.data_centre for e in self.values.values() if e.value}

    async def newest(self) -> KeyedPage:
        await asyncio.sleep(0)
        if self.is_away:
            raise StoreUnavailableError("away")
        entries = tuple(entry for entry in self.values.values() if entry.value)
        return KeyedPage(entries, self.first + len(self.changed), whole=True)

    async def changes(self, start: int, wait: float) -> KeyedPage:
        await asyncio.sleep(0)
        if self.is_away:
            raise StoreUnavailableError("away")
        if start < self.first:
            raise LogTruncatedError(self.first)
        entries = tuple(self.changed[start - self.first :])
        return KeyedPage(entries, start + len(entries))


_STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(_DATA_CENTRES), st.booleans()),
        st.sampled_from(["drop", "read", "lose"]),
    ),
    max_size=30,
)


@given(_STEPS)
def test_what_a_vm_has_read_is_what_the_registry_says(steps):
    """
    Whatever was dropped or missed: an evacuation must neither be forgotten nor stay
    after its end.
    """

    async def scenario() -> None:
        registry, view = _Registry(), ClusterView()
        follower = RegistryFollower(
            registry, "operator", view.apply_operator, view.retain_operator_keys
        )

        async def read() -> None:
            try:
                page = await follower._page()
            except StoreUnavailableError:
                follower._next = None
            else:
                follower._apply_page(page)

        for step in (*steps, "read"):
            if step == "drop":
                registry.drop_history()
            elif step == "read":
                await read()
                assert view.evacuated_data_centres() == registry.evacuated()
            elif step == "lose":
                registry.is_away = True
                await read()
                registry.is_away = False
            else:
                registry.put(*step)

    asyncio.run(scenario())


def test_a_value_that_cannot_be_used_ends_no_evacuation():
    """
    Only the removal of the key does.
    """
    view = ClusterView()
    view.apply_operator(KeyedEntry("key", 1, Evacuation("dc-a")))
    view.apply_operator(KeyedEntry("key", 2, UnusableValue("body")))
    assert view.evacuated_data_centres() == {"dc-a"}
    assert view.evacuations.ended_at("dc-a") is None
    view.apply_operator(KeyedEntry("key", 3, None))
    assert view.evacuated_data_centres() == set()
    assert view.evacuations.ended_at("dc-a") <= boot_time()


def test_the_pool_and_the_gate_pass_over_evacuated_engines():
    """
    Also if no other engine is left.
    """
    view = ClusterView()
    engine = make_engine_entry("desk-0")
    view.apply_engine(KeyedEntry("desk-0", 0, engine))
    gate = SendGate(view)
    pool = EnginePool(view, least_outstanding(lambda: 0.0), gate)
    assert pool.choose("desk") == engine
    view.apply_operator(KeyedEntry("key", 1, Evacuation("dc-a")))
    assert pool.choose("desk") is None
    assert pool.with_free_slots("desk", "model-a") == []
    assert gate.permit(engine, SendNeeds(), boot_time()) is Denial.EVACUATED
    assert gate.refusal("desk", SendNeeds()).retry_after == 5.0


@pytest.mark.parametrize(
    ("limit", "state", "is_recent"),
    [
        (None, RegistryReadState(0.0, True, 0.0, 90.0), True),
        (5.0, RegistryReadState(97.0, True, 97.0, 0.0), True),
        (5.0, RegistryReadState(96.0, True, 96.0, 0.0), False),
        (5.0, RegistryReadState(96.0, True, 96.0, 99.9), False),
        # The read that was in flight during the pause has failed.
        (5.0, RegistryReadState(96.0, False, 97.0, 99.9), False),
        # A read that began after the pause has failed.
        (5.0, RegistryReadState(96.0, False, 98.5, 98.0), True),
        # Only that read went without an answer: other calls are answered.
        (5.0, RegistryReadState(96.0, False, 98.5, 98.0, 99.0), False),
        (5.0, RegistryReadState(96.0, False, 98.5, 98.0, 98.4), True),
        (5.0, RegistryReadState(0.0, False, 99.0, float("-inf")), True),
    ],
)
def test_knowledge_is_recent_if_an_evacuation_would_be_known(limit, state, is_recent):
    """
    At 100 s, an evacuation must be known if it may have to take effect before a request
    that is sent now arrives, unless the store is lost.
    """
    knowledge = EvacuationKnowledge(lambda: state, limit, lambda: False)
    assert knowledge.is_recent(100.0) == is_recent


def test_the_first_evacuation_sets_a_limit_where_the_settings_give_none():
    """
    The VM would otherwise neither check nor log the age of its knowledge.
    """
    view = ClusterView()
    state = RegistryReadState(96.0, True, 96.0, 0.0)
    knowledge = EvacuationKnowledge(
        lambda: state, None, lambda: view.evacuations.are_used
    )
    assert knowledge.max_age is None
    view.apply_operator(KeyedEntry("key", 1, Evacuation("dc-a")))
    assert knowledge.max_age == 3.5
    assert not knowledge.is_recent(100.0)
    view.apply_operator(KeyedEntry("key", 2, None))
    assert knowledge.max_age == 3.5


def test_nothing_is_sent_by_outdated_knowledge():
    """
    After a pause of the process an evacuation may have to be in effect already.
    """
    view = ClusterView()
    engine = make_engine_entry("desk-0")
    view.apply_engine(KeyedEntry("desk-0", 0, engine))
    state = RegistryReadState(boot_time() - 4.0, True, 0.0, 0.0)
    knowledge = EvacuationKnowledge(lambda: state, 5.0, lambda: False)
    gate = SendGate(view, knowledge=knowledge)
    pool = EnginePool(view, least_outstanding(lambda: 0.0), gate)
    assert gate.permit(engine, SendNeeds(), boot_time()) is Denial.OUTDATED
    assert pool.choose("desk") is None
    state = RegistryReadState(boot_time(), True, 0.0, 0.0)
    assert pool.choose("desk") == engine


def test_a_changed_limit_takes_effect():
    """
    The settings may change while the process runs.
    """
    state = RegistryReadState(96.0, True, 96.0, 0.0)
    knowledge = EvacuationKnowledge(lambda: state, None, lambda: False)
    gate = SendGate(ClusterView(), knowledge=knowledge)
    assert knowledge.is_recent(100.0)
    gate.set_settings(SendSettings(evacuation_limit=5.0))
    assert not knowledge.is_recent(100.0)


def test_a_read_does_not_wait_at_the_store_when_the_last_one_is_old():
    """
    After a process pause requests wait for it.
    """
    waits = []

    class Registry(_Registry):
        async def changes(self, start: int, wait: float) -> KeyedPage:
            waits.append(wait)
            return await super().changes(start, wait)

    async def scenario() -> None:
        max_age = [float("inf")]
        follower = RegistryFollower(
            Registry(), "operator", lambda entry: None, max_age=lambda: max_age[0]
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.05)
        assert 0.0 not in waits
        max_age[0] = -1.0
        await asyncio.sleep(0.05)
        assert waits[-1] == 0.0
        task.cancel()

    asyncio.run(scenario())


def test_what_is_known_stays_recent_while_the_store_answers():
    """
    Guards against requests that wait, or are refused, since a read of the registry
    waited for longer at the store than what is known may be used.
    """

    class Registry(_Registry):
        async def changes(self, start: int, wait: float) -> KeyedPage:
            await asyncio.sleep(wait + 0.1)
            return await super().changes(start, wait)

    async def scenario() -> list[float]:
        max_age = 1.5
        follower = RegistryFollower(
            Registry(), "operator", lambda entry: None, max_age=lambda: max_age
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        ages = []
        for _ in range(150):
            await asyncio.sleep(0.02)
            ages.append(boot_time() - follower.synced_at)
        task.cancel()
        return ages

    assert max(asyncio.run(scenario())) < 1.5
