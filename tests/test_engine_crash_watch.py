# SPDX-License-Identifier: MIT

"""
What a node makes of a request that breaks off, and what it tells the others.
"""

from __future__ import annotations

import asyncio

import pytest
from crash_watches import Told, make_crash_watch

from builders import make_engine_entry
from saddledoor import EngineCrashed, PoisonStatus, RequestsCleared
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import KeyedEntry
from saddledoord.serving import engine_crash_watch
from saddledoord.serving.engine_crash_watch import EngineCrashWatch


class _Node:
    """
    A watch over engines that are all gone when they are asked, or all there.
    """

    def __init__(self, gone: bool = True, told: Told | None = None) -> None:
        self.told = told or Told()
        self.view = ClusterView()
        self.watch: EngineCrashWatch = make_crash_watch(self.view, self.told, gone)

    async def breaks(self, index: int, *keys: str) -> None:
        """
        Have all requests at an engine break off at once.
        """
        engine = make_engine_entry(f"engine-{index}")
        runs = [self.watch.track_run(engine.incarnation, key) for key in keys]
        for at_engine in [run.__enter__() for run in runs]:
            at_engine.record_interrupted(engine)
        await asyncio.sleep(0.01)
        for run in runs:
            run.__exit__(None, None, None)

    def standings(self, *keys: str) -> list[PoisonStatus]:
        return [self.watch.poison_status(key) for key in keys]

    async def written(self) -> None:
        """
        Bring what was told into the log.
        """
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.watch.run()


def test_a_request_under_which_three_engines_ended_is_barred():
    """
    And those beside it, one of them at all three, once it was there alone.
    """

    async def play() -> list[PoisonStatus]:
        node = _Node()
        await node.breaks(0, "cause", "b", "c")
        await node.breaks(1, "cause", "b")
        await node.breaks(2, "cause", "b")
        unclear = node.standings("cause", "b")
        assert unclear == [PoisonStatus.AMBIGUOUS] * 2
        await node.breaks(3, "cause")
        return node.standings("cause", "b", "c")

    expected = [PoisonStatus.QUARANTINED, PoisonStatus.CLEAN, PoisonStatus.CLEAN]
    assert asyncio.run(play()) == expected


def test_an_engine_that_still_serves_speaks_against_nobody():
    """
    Its connection was closed for another reason, however often.
    """

    async def play() -> tuple[list[PoisonStatus], list[bytes]]:
        node = _Node(gone=False)
        for _ in range(5):
            await node.breaks(0, "a")
        await node.written()
        return node.standings("a"), node.told.records

    assert asyncio.run(play()) == ([PoisonStatus.CLEAN], [])


def test_while_an_engine_is_asked_a_request_that_broke_off_is_a_suspect():
    """
    So that those that broke off together do not go on together.
    """

    async def play() -> list[PoisonStatus]:
        node = _Node()
        engine = make_engine_entry("engine-0")
        with node.watch.track_run(engine.incarnation, "a") as run:
            run.record_interrupted(engine)
            return node.standings("a", "b")

    assert asyncio.run(play()) == [PoisonStatus.SUSPECT, PoisonStatus.CLEAN]


def test_a_later_life_in_the_entry_tells_of_the_end():
    """
    Without a question; the connection may say nothing.
    """

    async def play() -> list[PoisonStatus]:
        node = _Node(gone=False)
        first = make_engine_entry("engine-0", started_at=1)
        node.view.apply_engine(KeyedEntry("engine-0", 0, first))
        with node.watch.track_run(first.incarnation, "a"):
            second = make_engine_entry("engine-0", started_at=2)
            node.view.apply_engine(KeyedEntry("engine-0", 1, second))
        return node.standings("a")

    assert asyncio.run(play()) == [PoisonStatus.SUSPECT]


def test_a_request_that_ran_for_long_is_not_blamed(monkeypatch):
    """
    An engine that ends under it after that ends by itself.
    """
    monkeypatch.setattr(engine_crash_watch, "_SOON", 0.05)

    async def play() -> list[PoisonStatus]:
        node = _Node()
        engine = make_engine_entry("engine-0")
        with node.watch.track_run(engine.incarnation, "a") as run:
            await asyncio.sleep(0.1)
            run.record_interrupted(engine)
            await asyncio.sleep(0.01)
        return node.standings("a")

    assert asyncio.run(play()) == [PoisonStatus.CLEAN]


def test_a_suspect_is_cleared_once_it_has_run_for_long(monkeypatch):
    """
    While it runs on; and the other nodes are told.
    """
    monkeypatch.setattr(engine_crash_watch, "_SOON", 0.05)

    async def play() -> tuple[list[PoisonStatus], bool]:
        node = _Node()
        await node.breaks(0, "a")
        with node.watch.track_run(make_engine_entry("engine-1").incarnation, "a"):
            await asyncio.sleep(0.1)
            standings = node.standings("a")
        await node.written()
        return standings, node.told.holds(RequestsCleared(("a",)))

    assert asyncio.run(play()) == ([PoisonStatus.CLEAN], True)


def test_a_standstill_clears_nobody(monkeypatch):
    """
    The timer that was to show that the engine lived fires after it; nothing is known.
    """
    monkeypatch.setattr(engine_crash_watch, "_SOON", 0.05)
    slept = 0.0
    monkeypatch.setattr(engine_crash_watch, "boot_time", lambda: boot_time() + slept)

    async def play() -> list[PoisonStatus]:
        nonlocal slept
        node = _Node()
        await node.breaks(0, "a")
        with node.watch.track_run(make_engine_entry("engine-1").incarnation, "a"):
            slept = 5.0
            await asyncio.sleep(0.1)
            return node.standings("a")

    assert asyncio.run(play()) == [PoisonStatus.SUSPECT]


@pytest.mark.parametrize("end", ["record_completed", "record_not_started"])
def test_what_the_engine_answered_before_its_end_is_not_blamed(end):
    """
    Neither what it ran nor what it refused, in the moment before.
    """

    async def play() -> list[PoisonStatus]:
        node = _Node()
        with node.watch.track_run(
            make_engine_entry("engine-0").incarnation, "a"
        ) as run:
            getattr(run, end)()
        await node.breaks(0, "b")
        return node.standings("a", "b")

    assert asyncio.run(play()) == [PoisonStatus.CLEAN, PoisonStatus.SUSPECT]


def test_what_left_an_engine_just_before_its_end_may_be_the_cause():
    """
    The engine may have begun to run it all the same.
    """

    async def play() -> list[PoisonStatus]:
        node = _Node()
        with node.watch.track_run(make_engine_entry("engine-0").incarnation, "a"):
            pass
        await node.breaks(0, "b")
        return node.standings("a", "b")

    assert asyncio.run(play()) == [PoisonStatus.SUSPECT] * 2


def test_an_answer_is_told_only_of_a_suspect():
    """
    Answers of all others cost no record.
    """

    async def play() -> list[bytes]:
        node = _Node()
        with node.watch.track_run(
            make_engine_entry("engine-1").incarnation, "a"
        ) as run:
            run.record_completed()
        await node.written()
        return node.told.records

    assert asyncio.run(play()) == []


def test_whoever_has_stood_still_asks_first():
    """
    And knows what was told meanwhile; whoever is current does not ask.
    """

    async def play() -> list[PoisonStatus]:
        node = _Node(told=Told(asked_at=boot_time() - 5.0))
        node.told.missed = [EngineCrashed(f"e-{n}", 1, ("a",)) for n in range(3)]
        assert not node.watch.is_current()
        await node.watch.refresh()
        assert node.watch.is_current()
        return node.standings("a")

    assert asyncio.run(play()) == [PoisonStatus.QUARANTINED]


def test_a_node_that_has_just_asked_in_vain_holds_nothing_up():
    """
    What is known holds meanwhile.
    """

    class _Away(Told):
        async def sync(self) -> bool:
            raise AssertionError("not asked")

    async def play() -> list[PoisonStatus]:
        node = _Node(told=_Away(asked_at=boot_time()))
        for number in range(3):
            await node.breaks(number, "a")
        await node.watch.refresh()
        return node.standings("a")

    assert asyncio.run(play()) == [PoisonStatus.QUARANTINED]


def test_a_store_that_says_nothing_holds_a_request_up_for_a_moment():
    """
    After a standstill; 0.3 s, and then it goes by what is known.
    """

    class _Silent(Told):
        async def sync(self) -> bool:
            await asyncio.sleep(60)
            return True

    async def play() -> float:
        node = _Node(told=_Silent(asked_at=0.0))
        began = boot_time()
        await node.watch.refresh()
        return boot_time() - began

    assert 0.2 < asyncio.run(play()) < 0.6


def test_what_waits_for_the_store_is_bounded():
    """
    256 records, the newest.
    """

    async def play() -> list[bytes]:
        node = _Node()
        for number in range(300):
            await node.breaks(number, f"key-{number}")
        await node.written()
        return node.told.records

    records = asyncio.run(play())
    assert len(records) == 256
    assert b"key-299" in records[-1]
